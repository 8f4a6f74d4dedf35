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

const shardCount = 5

var initialShards = wqfakeplatform.Shards(1, shardCount)

// startFleet returns a fleet that is ready and has configuration 1 in force.
func startFleet(t *testing.T, vms int) *wqfakeplatform.Fleet {
	t.Helper()
	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: vms, Shards: shardCount})
	f.PutConfiguration(f.Configuration(1, initialShards))
	f.WaitReady()
	return f
}

// startLoad sends requests of all routes to all VMs in turn until stop is called.
// stop returns when the last request has ended.
func startLoad(f *wqfakeplatform.Fleet, callers int) (stop func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	for i := range callers {
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

func checkGuarantees(t *testing.T, f *wqfakeplatform.Fleet, shardSets ...[]string) {
	t.Helper()
	must.SliceEmpty(t, f.Violations(append(shardSets, initialShards)...))
}

func TestServesAllRouteTypes(t *testing.T) {
	f := startFleet(t, 2)
	for _, vm := range f.VMs {
		all := f.Send(vm, http.MethodGet, "/all/a%2Fb?x=1%20", "", time.Second)
		must.Eq(t, http.StatusOK, all.Code)
		must.Eq(t, 0, all.MissingShards())
		must.Eq(t, http.StatusOK, f.Send(vm, http.MethodGet, "/one/a", "", time.Second).Code)
		must.Eq(t, http.StatusOK, f.Send(vm, http.MethodPost, "/write/a", "order", time.Second).Code)
		must.Eq(t, http.StatusNotFound, f.Send(vm, http.MethodGet, "/none/a", "", time.Second).Code)
		must.Eq(t, http.StatusRequestEntityTooLarge, f.Send(vm, http.MethodPost, "/write/a", strings.Repeat("x", 5000), time.Second).Code)
	}
	checkGuarantees(t, f)
	must.Eq(t, "GET /all/a%2Fb?x=1%20 ", f.SearchersOf(initialShards[0])[0].Executions()[0].Request, must.Sprint("the request is passed on unchanged"))
}

func TestMissingConfigurationReturnsServiceUnavailable(t *testing.T) {
	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 1, Shards: shardCount})
	f.Store.SetDown(true)
	vm := f.VMs[0]
	f.Eventually(5*time.Second, func() bool { return f.Send(vm, http.MethodGet, "/one/a", "", time.Second).Code != 0 })
	r := f.Send(vm, http.MethodGet, "/one/a", "", time.Second)
	must.Eq(t, http.StatusServiceUnavailable, r.Code)
	must.NotEq(t, "", r.Header.Get("Retry-After"))
	must.False(t, vm.IsReady())
	f.Store.SetDown(false)
	f.PutConfiguration(f.Configuration(1, initialShards))
	f.WaitReady()
}

func TestConfigurationChangeUnderLoad(t *testing.T) {
	f := startFleet(t, 3)
	stop := startLoad(f, 4)
	newShards := wqfakeplatform.Shards(2, shardCount-2)
	for _, s := range newShards {
		f.AddSearcher(s, "a")
		f.AddSearcher(s, "b")
	}
	time.Sleep(500 * time.Millisecond)
	next := f.Configuration(9, newShards)
	next.Routes = next.Routes[:2] // Without the write route.
	f.PutConfiguration(next)
	time.Sleep(wqfakeplatform.MaxApplyTime)
	stop()
	checkGuarantees(t, f, newShards)
	for _, vm := range f.VMs {
		must.Eq(t, http.StatusNotFound, f.Send(vm, http.MethodPost, "/write/a", "", time.Second).Code)
		must.Eq(t, http.StatusOK, f.Send(vm, http.MethodGet, "/all/a", "", time.Second).Code)
	}
	must.SliceNotEmpty(t, f.SearchersOf(newShards[0])[0].Executions())
}

func TestVMWithoutStoreSyncsFromPeers(t *testing.T) {
	f := startFleet(t, 3)
	f.VMs[0].StoreProxy.Disconnect()
	time.Sleep(time.Second)
	f.PutConfiguration(f.Configuration(5, wqfakeplatform.Shards(1, shardCount-1)))
	f.Store.Put("op/evacuate/a", struct{}{})
	time.Sleep(wqfakeplatform.MaxApplyTime)
	before := len(f.SearchersOf("orders")[0].Executions())
	for range 10 {
		r := f.Send(f.VMs[0], http.MethodGet, "/all/x", "", time.Second)
		must.Eq(t, shardCount-1, len(strings.Split(r.Header.Get("Part-Stamps"), ", ")))
		must.Eq(t, http.StatusOK, f.Send(f.VMs[0], http.MethodGet, "/one/x", "", time.Second).Code)
	}
	must.Eq(t, before, len(f.SearchersOf("orders")[0].Executions()), must.Sprint("zone a is out, so its searcher must get no requests"))
	must.StrContains(t, f.VMs[0].Log(), "items from a peer")
	checkGuarantees(t, f, wqfakeplatform.Shards(1, shardCount-1))
}

// Watches that the store accepted before it hung are never answered. A change
// after the hang must still reach all VMs in time, on new watches.
func TestChangeAfterStoreHangIsAppliedInTime(t *testing.T) {
	f := startFleet(t, 3)
	f.PutConfiguration(f.Configuration(3, initialShards)) // Ends the watches of all VMs, which then begin the next ones together.
	time.Sleep(700 * time.Millisecond)
	f.Store.SetHanging(true)
	time.Sleep(6 * time.Second)
	f.Store.SetHanging(false)
	next := f.Configuration(5, initialShards)
	next.Routes = next.Routes[:2] // Without the write route.
	f.PutConfiguration(next)
	time.Sleep(wqfakeplatform.MaxApplyTime)
	for _, vm := range f.VMs {
		must.Eq(t, http.StatusNotFound, f.Send(vm, http.MethodPost, "/write/a", "", time.Second).Code)
	}
	checkGuarantees(t, f)
}

func TestVMRestartsDuringStoreOutage(t *testing.T) {
	f := startFleet(t, 3)
	f.PutConfiguration(f.Configuration(4, initialShards))
	time.Sleep(time.Second)
	f.Store.SetDown(true)
	f.VMs[0].Kill()
	f.VMs[0].Start()
	f.WaitReady()
	must.Eq(t, http.StatusOK, f.Send(f.VMs[0], http.MethodGet, "/all/x", "", time.Second).Code)
	checkGuarantees(t, f)
}

// The compacted history no longer contains the removal of a searcher, so a VM that
// continued its watch would miss it. The VM has to list the store again.
func TestCompactedStoreIsListedAgain(t *testing.T) {
	f := startFleet(t, 1)
	f.Store.SetDown(true)
	f.Store.Remove("servers/" + f.SearchersOf("orders")[0].ID)
	f.Store.CompactHistory()
	f.Store.SetDown(false)
	f.PutConfiguration(f.Configuration(3, initialShards))
	time.Sleep(wqfakeplatform.MaxDrainTime)
	before := len(f.SearchersOf("orders")[0].Executions())
	for range 10 {
		must.Eq(t, http.StatusOK, f.Send(f.VMs[0], http.MethodGet, "/one/x", "", time.Second).Code)
	}
	must.Eq(t, before, len(f.SearchersOf("orders")[0].Executions()), must.Sprint("the searcher was removed in the compacted part of the history"))
}

func TestDrainedSearcherGetsNoRequests(t *testing.T) {
	f := startFleet(t, 2)
	stop := startLoad(f, 3)
	draining := f.SearchersOf("orders")[0]
	f.Register(draining, "draining", 2)
	time.Sleep(wqfakeplatform.MaxDrainTime)
	before := len(draining.Executions())
	time.Sleep(time.Second)
	stop()
	must.Eq(t, before, len(draining.Executions()))
	checkGuarantees(t, f)
}

func TestGracefulStopCompletesRequests(t *testing.T) {
	f := startFleet(t, 3)
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
	afterSignal := f.Send(vm, http.MethodGet, "/one/x", "", 2*time.Second)
	must.Eq(t, http.StatusOK, afterSignal.Code, must.Sprint("a load balancer still sends requests after readiness has failed"))
	g.Wait()
	select {
	case <-vm.Exited():
	case <-time.After(6 * time.Second):
		t.Fatal("the VM has not exited within its shutdown grace period")
	}
	checkGuarantees(t, f)
}

func TestReloadKeepsProcessRunning(t *testing.T) {
	f := startFleet(t, 1)
	f.VMs[0].Signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, http.StatusOK, f.Send(f.VMs[0], http.MethodGet, "/one/x", "", time.Second).Code)
	must.StrContains(t, f.VMs[0].Log(), "settings reloaded")
}
