package tier_test

import (
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/test/wqfakeplatform"
)

const (
	maxRecoveryTime        = 12 * time.Second       // From the start of all VMs after a kill until all are ready.
	firstConfigurationWait = 100 * time.Millisecond // Time that a request waits for the first configuration.
	catchUpTime            = 2 * time.Second        // From SIGCONT until a VM must have applied the changes that it missed.
)

// executionsIn returns the number of executions on all searchers of a zone.
func executionsIn(f *wqfakeplatform.Fleet, zone string) int {
	n := 0
	for _, s := range f.AllSearchers() {
		if s.Zone == zone {
			n += len(s.Executions())
		}
	}
	return n
}

// waitForClosedConnections waits until the searchers have read all requests of VMs
// that are gone.
func waitForClosedConnections(t *testing.T, f *wqfakeplatform.Fleet) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond), wait.BoolFunc(func() bool {
		return !slices.ContainsFunc(f.AllSearchers(), func(s *wqfakeplatform.Searcher) bool { return s.OpenConnections() > 0 })
	})))
}

// All VMs are killed right after the store accepted a change. They must apply it
// after the restart, and serve no request with the previous configuration.
func TestAcceptedChangeSurvivesKillOfAllVMs(t *testing.T) {
	f := startFleet(t, 3)
	stop := startLoad(f, 3)
	time.Sleep(500 * time.Millisecond)
	next := f.Configuration(9, initialShards)
	next.Routes = next.Routes[:2] // Without the write route.
	f.PutConfiguration(next)
	f.Store.Put("op/evacuate/b", struct{}{})
	for _, vm := range f.VMs {
		vm.Signal(syscall.SIGKILL)
	}
	stop()
	for _, vm := range f.VMs {
		vm.Kill()
	}
	waitForClosedConnections(t, f) // Requests that the killed VMs sent are recorded before they are counted.
	before := executionsIn(f, "b")
	began := time.Now()
	for _, vm := range f.VMs {
		vm.Start()
	}
	f.WaitReady()
	must.Less(t, maxRecoveryTime, time.Since(began))
	for _, vm := range f.VMs {
		must.Eq(t, http.StatusNotFound, f.Send(vm, http.MethodPost, "/write/a", "", time.Second).Code)
		for range 5 {
			must.Eq(t, http.StatusOK, f.Send(vm, http.MethodGet, "/all/a", "", time.Second).Code)
		}
	}
	must.Eq(t, before, executionsIn(f, "b"), must.Sprint("zone b is out, so its searchers must get no requests"))
	checkGuarantees(t, f)
}

func TestResumedVMAppliesMissedChanges(t *testing.T) {
	f := startFleet(t, 3)
	frozen := f.VMs[0]
	must.Eq(t, http.StatusOK, f.Send(frozen, http.MethodGet, "/all/a", "", time.Second).Code)
	frozen.Signal(syscall.SIGSTOP)
	next := f.Configuration(9, initialShards)
	next.Routes = next.Routes[:2]
	f.PutConfiguration(next)
	f.Store.Put("op/evacuate/a", struct{}{})
	time.Sleep(wqfakeplatform.MaxEvacuationTime)
	frozen.Signal(syscall.SIGCONT)
	time.Sleep(catchUpTime)
	before := executionsIn(f, "a")
	for range 10 {
		must.Eq(t, http.StatusOK, f.Send(frozen, http.MethodGet, "/all/a", "", time.Second).Code)
	}
	must.Eq(t, http.StatusNotFound, f.Send(frozen, http.MethodPost, "/write/a", "", time.Second).Code)
	must.Eq(t, before, executionsIn(f, "a"), must.Sprint("zone a is out, so its searchers must get no requests"))
	checkGuarantees(t, f)
}

// A request that arrives before the first configuration must wait for it and
// be served, or be refused with 503 after firstConfigurationWait at the earliest.
func TestRequestsAtStartWaitForConfiguration(t *testing.T) {
	f := startFleet(t, 2)
	vm := f.VMs[0]
	vm.Kill()
	vm.Start()
	var first wqfakeplatform.Reply
	f.Eventually(5*time.Second, func() bool { // Connections are refused until the VM listens.
		first = f.Send(vm, http.MethodGet, "/one/a", "", time.Second)
		return first.Code != 0
	})
	if first.Code == http.StatusServiceUnavailable { // The store's answer took longer, on a busy machine.
		must.GreaterEq(t, firstConfigurationWait, first.Latency)
		return
	}
	must.Eq(t, http.StatusOK, first.Code)
}
