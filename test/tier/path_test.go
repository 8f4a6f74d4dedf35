package tier_test

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

const shards = 5

var cut1 = wqfakeplatform.Shards(1, shards)

// start returns a fleet that serves version 1.
func start(t *testing.T, vms int) *wqfakeplatform.Fleet {
	t.Helper()
	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: vms, Shards: shards})
	f.PutConfiguration(f.Configuration(1, cut1))
	f.WaitReady()
	return f
}

// load asks all VMs until stop is called, which returns how many requests were
// sent in all.
func load(f *wqfakeplatform.Fleet, clients int) (stop func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	for i := range clients {
		g.Go(func() {
			targets := []string{"/all/", "/one/", "/write/"}
			for n := i; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				method := http.MethodGet
				if target := targets[n%3]; target == "/write/" {
					method = http.MethodPost
				}
				f.Send(f.VMs[n%len(f.VMs)], method, targets[n%3]+"x", "body", time.Second)
			}
		})
	}
	return func() {
		close(done)
		g.Wait()
	}
}

func checkPromises(t *testing.T, f *wqfakeplatform.Fleet, sets ...[]string) {
	t.Helper()
	must.SliceEmpty(t, f.Violations(append(sets, cut1)...))
}

func TestEveryKindOfRequestIsServed(t *testing.T) {
	f := start(t, 2)
	for _, vm := range f.VMs {
		all := f.Send(vm, http.MethodGet, "/all/a%2Fb?x=1%20", "", time.Second)
		must.Eq(t, http.StatusOK, all.Code)
		must.Eq(t, 0, all.MissingShards())
		must.Eq(t, http.StatusOK, f.Send(vm, http.MethodGet, "/one/a", "", time.Second).Code)
		must.Eq(t, http.StatusOK, f.Send(vm, http.MethodPost, "/write/a", "order", time.Second).Code)
		must.Eq(t, http.StatusNotFound, f.Send(vm, http.MethodGet, "/none/a", "", time.Second).Code)
		must.Eq(t, http.StatusRequestEntityTooLarge, f.Send(vm, http.MethodPost, "/write/a", strings.Repeat("x", 5000), time.Second).Code)
	}
	checkPromises(t, f)
	must.Eq(t, "GET /all/a%2Fb?x=1%20 ", f.SearchersOf(cut1[0])[0].Executions()[0].Request, must.Sprint("the request is passed on unchanged"))
}

func TestNoConfigurationIsNeverNotFound(t *testing.T) {
	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 1, Shards: shards})
	f.Store.SetDown(true)
	vm := f.VMs[0]
	f.Eventually(5*time.Second, func() bool { return f.Send(vm, http.MethodGet, "/one/a", "", time.Second).Code != 0 })
	r := f.Send(vm, http.MethodGet, "/one/a", "", time.Second)
	must.Eq(t, http.StatusServiceUnavailable, r.Code)
	must.NotEq(t, "", r.Header.Get("Retry-After"))
	must.False(t, vm.IsReady())
	f.Store.SetDown(false)
	f.PutConfiguration(f.Configuration(1, cut1))
	f.WaitReady()
}

func TestVersionsAndShardsChangeUnderLoad(t *testing.T) {
	f := start(t, 3)
	stop := load(f, 4)
	cut2 := wqfakeplatform.Shards(2, shards-2)
	for _, s := range cut2 {
		f.AddSearcher(s, "a")
		f.AddSearcher(s, "b")
	}
	time.Sleep(500 * time.Millisecond)
	next := f.Configuration(9, cut2)
	next.Routes = next.Routes[:2] // The write route is gone.
	f.PutConfiguration(next)
	time.Sleep(wqfakeplatform.MaxApplyTime)
	stop()
	checkPromises(t, f, cut2)
	for _, vm := range f.VMs {
		must.Eq(t, http.StatusNotFound, f.Send(vm, http.MethodPost, "/write/a", "", time.Second).Code)
		must.Eq(t, http.StatusOK, f.Send(vm, http.MethodGet, "/all/a", "", time.Second).Code)
	}
	must.SliceNotEmpty(t, f.SearchersOf(cut2[0])[0].Executions())
}

func TestVMThatTheStoreRefusesLearnsFromPeers(t *testing.T) {
	f := start(t, 3)
	f.VMs[0].StoreProxy.Disconnect()
	time.Sleep(time.Second)
	f.PutConfiguration(f.Configuration(5, wqfakeplatform.Shards(1, shards-1)))
	f.Store.Put("op/evacuate/a", struct{}{})
	time.Sleep(wqfakeplatform.MaxApplyTime)
	before := len(f.SearchersOf("orders")[0].Executions())
	for range 10 {
		r := f.Send(f.VMs[0], http.MethodGet, "/all/x", "", time.Second)
		must.Eq(t, shards-1, len(strings.Split(r.Header.Get("Part-Stamps"), ", ")))
		must.Eq(t, http.StatusOK, f.Send(f.VMs[0], http.MethodGet, "/one/x", "", time.Second).Code)
	}
	must.Eq(t, before, len(f.SearchersOf("orders")[0].Executions()), must.Sprint("zone a is out"))
	must.StrContains(t, f.VMs[0].Log(), "items from a peer")
	checkPromises(t, f, wqfakeplatform.Shards(1, shards-1))
}

func TestChangeAfterTheStoreFellSilentReachesAllVMsInTime(t *testing.T) {
	f := start(t, 3)
	f.PutConfiguration(f.Configuration(3, cut1)) // All VMs begin their next call together.
	time.Sleep(700 * time.Millisecond)
	f.Store.SetHanging(true)
	time.Sleep(6 * time.Second)
	f.Store.SetHanging(false)
	next := f.Configuration(5, cut1)
	next.Routes = next.Routes[:2] // The write route is gone.
	f.PutConfiguration(next)
	time.Sleep(wqfakeplatform.MaxApplyTime)
	for _, vm := range f.VMs {
		must.Eq(t, http.StatusNotFound, f.Send(vm, http.MethodPost, "/write/a", "", time.Second).Code)
	}
	checkPromises(t, f)
}

func TestVMStartsWhileTheStoreIsDown(t *testing.T) {
	f := start(t, 3)
	f.PutConfiguration(f.Configuration(4, cut1))
	time.Sleep(time.Second)
	f.Store.SetDown(true)
	f.VMs[0].Kill()
	f.VMs[0].Start()
	f.WaitReady()
	must.Eq(t, http.StatusOK, f.Send(f.VMs[0], http.MethodGet, "/all/x", "", time.Second).Code)
	checkPromises(t, f)
}

func TestStoreThatForgotItsHistoryIsListed(t *testing.T) {
	f := start(t, 1)
	f.Store.SetDown(true)
	f.Store.Remove("servers/" + f.SearchersOf("orders")[0].ID)
	f.Store.CompactHistory()
	f.Store.SetDown(false)
	f.PutConfiguration(f.Configuration(3, cut1))
	time.Sleep(wqfakeplatform.MaxDrainTime)
	before := len(f.SearchersOf("orders")[0].Executions())
	for range 10 {
		must.Eq(t, http.StatusOK, f.Send(f.VMs[0], http.MethodGet, "/one/x", "", time.Second).Code)
	}
	must.Eq(t, before, len(f.SearchersOf("orders")[0].Executions()), must.Sprint("its removal was in the forgotten part"))
}

func TestLeavingSearcherGetsNothingAfterTheBound(t *testing.T) {
	f := start(t, 2)
	stop := load(f, 3)
	leaving := f.SearchersOf("orders")[0]
	f.Register(leaving, "draining", 2)
	time.Sleep(wqfakeplatform.MaxDrainTime)
	before := len(leaving.Executions())
	time.Sleep(time.Second)
	stop()
	must.Eq(t, before, len(leaving.Executions()))
	checkPromises(t, f)
}

func TestStopsUnderLoadCutNoRequest(t *testing.T) {
	f := start(t, 3)
	for _, s := range f.SearchersOf("orders") {
		s.SetBehaviour(wqfakeplatform.Behaviour{ProcessingTime: 300 * time.Millisecond})
	}
	vm := f.VMs[0]
	var g sync.WaitGroup
	for range 10 {
		g.Go(func() {
			r := f.Send(vm, http.MethodGet, "/one/x", "", 2*time.Second)
			must.Eq(t, http.StatusOK, r.Code)
		})
	}
	time.Sleep(100 * time.Millisecond)
	vm.Signal(syscall.SIGTERM)
	f.Eventually(time.Second, func() bool { return !vm.IsReady() })
	late := f.Send(vm, http.MethodGet, "/one/x", "", 2*time.Second)
	must.Eq(t, http.StatusOK, late.Code, must.Sprint("the balancer still sends some"))
	g.Wait()
	select {
	case <-vm.Exited():
	case <-time.After(6 * time.Second):
		t.Fatal("the VM runs on after its time")
	}
	checkPromises(t, f)
}

func TestReloadDoesNotEndTheProcess(t *testing.T) {
	f := start(t, 1)
	f.VMs[0].Signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, http.StatusOK, f.Send(f.VMs[0], http.MethodGet, "/one/x", "", time.Second).Code)
	must.StrContains(t, f.VMs[0].Log(), "settings reloaded")
}
