package tier_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// setBehaviour changes the behaviour of all searchers of a service.
func setBehaviour(f *wqfakeplatform.Fleet, service string, b wqfakeplatform.Behaviour) {
	for _, s := range f.SearchersOf(service) {
		s.SetBehaviour(b)
	}
}

func TestFaultySearchersNeverCorruptAnswers(t *testing.T) {
	for name, b := range map[string]wqfakeplatform.Behaviour{
		"duplicate answer": {Duplicate: true}, "no reply": {NoReply: true}, "truncated answer": {Truncate: true},
		"sheds": {Shed: true}, "fails": {Fail: true}, "hangs": {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1)
			for _, s := range append(initialShards[:2:2], "orders", "invoices") {
				f.SearchersOf(s)[0].SetBehaviour(b)
			}
			stop := startLoad(f, 4)
			time.Sleep(2 * time.Second)
			stop()
			checkGuarantees(t, f)
		})
	}
}

func TestWriteWithDroppedReplyReturnsBadGateway(t *testing.T) {
	f := startFleet(t, 1)
	setBehaviour(f, "invoices", wqfakeplatform.Behaviour{NoReply: true})
	for range 5 {
		must.Eq(t, http.StatusBadGateway, f.Send(f.VMs[0], http.MethodPost, "/write/x", "order", time.Second).Code)
	}
	checkGuarantees(t, f)
}

func TestShedWriteReturnsRetryAfter(t *testing.T) {
	f := startFleet(t, 1)
	setBehaviour(f, "invoices", wqfakeplatform.Behaviour{Shed: true})
	r := f.Send(f.VMs[0], http.MethodPost, "/write/x", "order", 500*time.Millisecond)
	must.Eq(t, http.StatusServiceUnavailable, r.Code)
	must.NotEq(t, "", r.Header.Get("Retry-After"))
}

func TestSearcherErrorIsPassedThrough(t *testing.T) {
	f := startFleet(t, 1)
	setBehaviour(f, "invoices", wqfakeplatform.Behaviour{Fail: true})
	r := f.Send(f.VMs[0], http.MethodPost, "/write/x", "order", time.Second)
	must.Eq(t, http.StatusInternalServerError, r.Code)
	must.NotEq(t, "", r.Header.Get("Server-Stamp"))
}

func TestCallerDisconnectCancelsExecutions(t *testing.T) {
	f := startFleet(t, 1)
	setBehaviour(f, "orders", wqfakeplatform.Behaviour{ProcessingTime: 5 * time.Second})
	must.Eq(t, 0, f.SendAndCancel(f.VMs[0], http.MethodGet, "/one/x", "", 5*time.Second, 100*time.Millisecond).Code)
	f.Eventually(500*time.Millisecond, func() bool {
		for _, s := range f.SearchersOf("orders") {
			if len(s.Executions()) != s.CancelledCount() {
				return false
			}
		}
		return true
	})
}

func TestAnswerIsCompleteWhenOneOfTwoSearchersHangs(t *testing.T) {
	f := startFleet(t, 1)
	f.SearchersOf(initialShards[0])[0].SetBehaviour(wqfakeplatform.Behaviour{Hang: true})
	for range 20 {
		r := f.Send(f.VMs[0], http.MethodGet, "/all/x", "", time.Second)
		must.Eq(t, http.StatusOK, r.Code)
		must.Eq(t, 0, r.MissingShards())
	}
}

func TestIncompleteAnswerIsLabelledAndInTime(t *testing.T) {
	f := startFleet(t, 1)
	setBehaviour(f, initialShards[0], wqfakeplatform.Behaviour{Hang: true})
	r := f.Send(f.VMs[0], http.MethodGet, "/all/x", "", time.Second)
	must.Eq(t, http.StatusOK, r.Code)
	must.Eq(t, 1, r.MissingShards())
	must.Less(t, 400*time.Millisecond, r.Latency, must.Sprint("the objective is 200 ms"))
	checkGuarantees(t, f)
}

func TestInsufficientShardsFailFast(t *testing.T) {
	f := startFleet(t, 1)
	for _, s := range initialShards[:2] {
		for _, searcher := range f.SearchersOf(s) {
			f.Store.Remove("servers/" + searcher.ID)
		}
	}
	time.Sleep(wqfakeplatform.MaxDrainTime)
	r := f.Send(f.VMs[0], http.MethodGet, "/all/x", "", 2*time.Second)
	must.Eq(t, http.StatusServiceUnavailable, r.Code)
	must.Less(t, 200*time.Millisecond, r.Latency)
}

func TestWrongSearcherAddressIsAvoided(t *testing.T) {
	f := startFleet(t, 1)
	moved := f.SearchersOf("orders")[0]
	moved.Address = f.SearchersOf("invoices")[0].Address
	f.Register(moved, "ready", 7)
	time.Sleep(500 * time.Millisecond)
	for range 20 {
		must.Eq(t, http.StatusOK, f.Send(f.VMs[0], http.MethodGet, "/one/x", "", time.Second).Code)
	}
	checkGuarantees(t, f)
}

// Guards against a VM that runs out of memory, and ends the requests of all its callers,
// because searchers send bytes without end.
func TestEndlessAnswersDoNotEndTheVM(t *testing.T) {
	const callers, deadline, load = 100, time.Second, 4 * time.Second
	for name, b := range map[string]wqfakeplatform.Behaviour{"heads": {EndlessHead: true}, "bodies": {EndlessBody: true}} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1)
			vm := f.VMs[0]
			for _, s := range append(initialShards[:shardCount:shardCount], "orders") {
				setBehaviour(f, s, b)
			}
			end := time.Now().Add(load)
			var g sync.WaitGroup
			for i := range callers {
				g.Go(func() {
					for time.Now().Before(end) {
						must.NotEq(t, http.StatusOK, f.Send(vm, http.MethodGet, []string{"/one/x", "/all/x"}[i%2], "", deadline).Code)
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			time.Sleep(load / 2)
			must.Eq(t, http.StatusOK, f.Send(vm, http.MethodPost, "/write/x", "order", 5*deadline).Code, must.Sprint("a request to a sound searcher"))
			g.Wait()
			must.True(t, vm.Running())
			must.Less(t, wqfakeplatform.MemoryLimit, vm.PeakMemory())
			t.Logf("peak %d bytes", vm.PeakMemory())
		})
	}
}
