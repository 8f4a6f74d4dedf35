package tier_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

const (
	recoveryBound = 12 * time.Second       // recoveryBound is how long a fleet may take to serve again after all VMs ended.
	startWait     = 100 * time.Millisecond // startWait is how long a request waits for the first configuration.
	settled       = 2 * time.Second        // settled is how long a VM that wakes is given to learn what it missed.
)

// runsIn counts the runs of all searchers of a zone.
func runsIn(f *wqfakeplatform.Fleet, zone string) int {
	n := 0
	for _, s := range f.AllSearchers() {
		if s.Zone == zone {
			n += len(s.Executions())
		}
	}
	return n
}

func TestAllVMsKilledAfterAnAcknowledgementComeBackWithIt(t *testing.T) {
	f := start(t, 3)
	stop := load(f, 3)
	time.Sleep(500 * time.Millisecond)
	next := f.Configuration(9, cut1)
	next.Routes = next.Routes[:2] // The write route is gone.
	f.PutConfiguration(next)
	f.Store.Put("op/evacuate/b", struct{}{})
	for _, vm := range f.VMs {
		vm.Signal(syscall.SIGKILL)
	}
	stop()
	for _, vm := range f.VMs {
		vm.Kill()
	}
	before := runsIn(f, "b")
	began := time.Now()
	for _, vm := range f.VMs {
		vm.Start()
	}
	f.WaitReady()
	must.Less(t, recoveryBound, time.Since(began))
	for _, vm := range f.VMs {
		must.Eq(t, http.StatusNotFound, f.Send(vm, http.MethodPost, "/write/a", "", time.Second).Code)
		for range 5 {
			must.Eq(t, http.StatusOK, f.Send(vm, http.MethodGet, "/all/a", "", time.Second).Code)
		}
	}
	must.Eq(t, before, runsIn(f, "b"), must.Sprint("zone b is out"))
	checkPromises(t, f)
}

func TestFrozenVMThatWakesFollowsWhatItMissed(t *testing.T) {
	f := start(t, 3)
	frozen := f.VMs[0]
	must.Eq(t, http.StatusOK, f.Send(frozen, http.MethodGet, "/all/a", "", time.Second).Code)
	frozen.Signal(syscall.SIGSTOP)
	next := f.Configuration(9, cut1)
	next.Routes = next.Routes[:2]
	f.PutConfiguration(next)
	f.Store.Put("op/evacuate/a", struct{}{})
	time.Sleep(wqfakeplatform.MaxEvacuationTime)
	frozen.Signal(syscall.SIGCONT)
	time.Sleep(settled)
	before := runsIn(f, "a")
	for range 10 {
		must.Eq(t, http.StatusOK, f.Send(frozen, http.MethodGet, "/all/a", "", time.Second).Code)
	}
	must.Eq(t, http.StatusNotFound, f.Send(frozen, http.MethodPost, "/write/a", "", time.Second).Code)
	must.Eq(t, before, runsIn(f, "a"), must.Sprint("zone a is out"))
	checkPromises(t, f)
}

func TestVMThatStartsServesWhoComesAtOnce(t *testing.T) {
	f := start(t, 2)
	vm := f.VMs[0]
	vm.Kill()
	vm.Start()
	var first wqfakeplatform.Reply
	f.Eventually(5*time.Second, func() bool { // Nothing listens yet at first.
		first = f.Send(vm, http.MethodGet, "/one/a", "", time.Second)
		return first.Code != 0
	})
	if first.Code == http.StatusServiceUnavailable { // The store's answer may take longer on a busy machine.
		must.GreaterEq(t, startWait, first.Latency)
		return
	}
	must.Eq(t, http.StatusOK, first.Code)
}
