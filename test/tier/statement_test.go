package tier_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// senders returns the VM that sent each request to the searchers, by request id: the
// hub for a fan-out that a hub ran, else the VM that got the request.
func senders(f *wqfakeplatform.Fleet) map[string]string {
	byRequest := make(map[string]string)
	for _, vm := range f.VMs {
		for _, l := range strings.Split(vm.Log(), "\n") {
			var line struct {
				Message   string `json:"msg"`
				RequestID string `json:"request_id"`
				Hub       string `json:"hub"`
			}
			if json.Unmarshal([]byte(l), &line) == nil && line.Message == "request" && line.Hub == "" {
				byRequest[line.RequestID] = vm.Name
			}
		}
	}
	return byRequest
}

// arrivalsByVM returns the requests that reached a searcher by the VM that sent them.
func arrivalsByVM(f *wqfakeplatform.Fleet, s *wqfakeplatform.Searcher) map[string][]wqfakeplatform.Arrival {
	sentBy, byVM := senders(f), make(map[string][]wqfakeplatform.Arrival)
	for _, a := range s.Arrivals() {
		if vm := sentBy[a.RequestID]; vm != "" {
			byVM[vm] = append(byVM[vm], a)
		}
	}
	return byVM
}

// checkLeaving checks that no VM sent a leaving searcher a request that its caller sent
// later than MaxDrainTime after this VM had passed on a response of the leaving
// searcher. A hedge that lost is not passed on. It returns the number of requests that
// reached the leaving searcher.
func checkLeaving(t *testing.T, f *wqfakeplatform.Fleet, s *wqfakeplatform.Searcher) int {
	t.Helper()
	replies, reported := f.Replies(), 0
	for vm, arrivals := range arrivalsByVM(f, s) {
		var first time.Time
		for _, a := range arrivals {
			reply := replies[a.RequestID]
			must.True(t, first.IsZero() || reply.SentAt.Sub(first) <= wqfakeplatform.MaxDrainTime, must.Sprintf("%s sent %s to %s too late", vm, a.RequestID, s.ID))
			if a.Behaviour.Leaving {
				reported++
			}
			if first.IsZero() && a.Behaviour.Leaving && reply.PassedOn(s) {
				first = reply.SentAt.Add(reply.Latency)
			}
		}
	}
	return reported
}

// Guards against requests to a searcher that says only in its responses that it is
// leaving, while the store says that it is ready, from VMs and from hubs.
func TestSearcherThatReportsToLeaveGetsNoRequests(t *testing.T) {
	for _, vms := range []int{3, 14} {
		t.Run(strconv.Itoa(vms), func(t *testing.T) {
			f := startFleet(t, vms)
			if vms > 12 {
				f.Eventually(10*time.Second, func() bool { return len(hubVMs(f)) == 6 })
			}
			// Each is in the zone of the VM that gets the requests of its route, of three VMs.
			leaving := []*wqfakeplatform.Searcher{f.SearchersOf(initialShards[0])[0], f.SearchersOf("orders")[1]}
			f.AddSearcher(initialShards[0], "c")
			f.AddSearcher("orders", "c")
			stop := startLoad(f, 4)
			time.Sleep(time.Second)
			for _, s := range leaving {
				s.SetBehaviour(wqfakeplatform.Behaviour{Leaving: true})
			}
			time.Sleep(wqfakeplatform.MaxDrainTime + 2*time.Second)
			stop()
			for _, s := range leaving {
				must.Positive(t, checkLeaving(t, f, s))
			}
			checkGuarantees(t, f)
		})
	}
}

// Guards against requests to a searcher within the time for which it wants none from
// that VM, and against a searcher that gets none for longer than that.
func TestSearcherThatRejectsRequestsIsLeftAloneForItsTime(t *testing.T) {
	const wait, allowedLag, maxLate = 2 * time.Second, 500 * time.Millisecond, 2
	f := startFleet(t, 3)
	f.AddSearcher("orders", "c")
	s := f.SearchersOf("orders")[1] // In the zone of the VM that gets the requests of this route.
	stop := startLoad(f, 6)
	time.Sleep(time.Second)
	for range 2 {
		s.SetBehaviour(wqfakeplatform.Behaviour{Shed: true, RetryAfter: "2"})
		for _, vm := range f.VMs {
			must.Eq(t, http.StatusOK, f.Send(vm, http.MethodGet, "/one/x", "", time.Second).Code, must.Sprint("another searcher serves it"))
		}
		time.Sleep(300 * time.Millisecond)
		s.SetBehaviour(wqfakeplatform.Behaviour{})
		time.Sleep(3700 * time.Millisecond)
	}
	stop()
	rejections, servedLater := 0, 0
	for vm, arrivals := range arrivalsByVM(f, s) {
		for i, a := range arrivals {
			if !a.Behaviour.Shed {
				continue
			}
			rejections++
			late := 0
			for _, b := range arrivals[i+1:] {
				switch after := b.At.Sub(a.At); {
				case after > allowedLag && after < wait:
					late++
				case after >= wait:
					servedLater++
				}
			}
			must.LessEq(t, maxLate, late, must.Sprintf("requests of %s after the rejection of %s", vm, a.RequestID))
		}
	}
	must.Positive(t, rejections)
	must.Positive(t, servedLater)
	checkGuarantees(t, f)
}

// Guards against an interruption of a service whose only searcher leaves, a long wait
// for it afterwards, and a restart under the same ID that is not noticed.
func TestOnlySearcherLeavesAndRestarts(t *testing.T) {
	f := startFleet(t, 1)
	vm, s := f.VMs[0], f.SearchersOf("orders")[0]
	f.Store.Remove("servers/" + f.SearchersOf("orders")[1].ID)
	time.Sleep(wqfakeplatform.MaxDrainTime)
	send := func() wqfakeplatform.Reply { return f.Send(vm, http.MethodGet, "/one/x", "", 2*time.Second) }
	s.SetBehaviour(wqfakeplatform.Behaviour{Leaving: true})
	reply := send()
	must.Eq(t, http.StatusOK, reply.Code)
	must.Eq(t, "1", reply.Header.Get("Server-Leaving"), must.Sprint("the report is passed on"))
	must.Eq(t, http.StatusOK, send().Code, must.Sprint("it is a last resort"))
	f.Eventually(wqfakeplatform.MaxDrainTime, func() bool { return send().Code == http.StatusServiceUnavailable })
	refused, arrivals := send(), len(s.Arrivals())
	must.Eq(t, http.StatusServiceUnavailable, refused.Code)
	must.Less(t, time.Second, refused.Latency, must.Sprint("refused at once"))
	must.NotEq(t, "", refused.Header.Get("Retry-After"))
	f.Register(s, "ready", 5)
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, http.StatusServiceUnavailable, send().Code, must.Sprint("a registration of the same start does not restore it"))
	must.Len(t, arrivals, s.Arrivals())
	s.Restart()
	f.Register(s, "ready", 1)
	f.Eventually(wqfakeplatform.MaxApplyTime, func() bool { return send().Code == http.StatusOK })
	checkGuarantees(t, f)
}

// Guards against requests that wait for a connection and reach a searcher after it has
// reported that it wants none.
func TestWaitingRequestsDoNotReachASearcherThatWantsNone(t *testing.T) {
	const callers, deadline = 80, 9 * time.Second
	for name, c := range map[string]struct {
		behaviour wqfakeplatform.Behaviour
		maxTime   time.Duration // after the first report
		maxLater  int           // requests after the first report
	}{
		"leaving":   {wqfakeplatform.Behaviour{Leaving: true, ProcessingTime: 250 * time.Millisecond}, wqfakeplatform.MaxDrainTime, callers},
		"rejecting": {wqfakeplatform.Behaviour{Shed: true, RetryAfter: "30"}, 500 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 1, Shards: shardCount})
			configuration := f.Configuration(1, initialShards)
			configuration.Routes[2].TimeoutMs = int(deadline.Milliseconds())
			for i := range configuration.Services {
				configuration.Services[i].MaxConnections = 2 // One for each searcher and VM.
			}
			f.PutConfiguration(configuration)
			f.WaitReady()
			setBehaviour(f, "invoices", wqfakeplatform.Behaviour{ProcessingTime: 250 * time.Millisecond})
			var g sync.WaitGroup
			for range callers {
				g.Go(func() { f.Send(f.VMs[0], http.MethodPost, "/write/x", "order", deadline) })
			}
			time.Sleep(600 * time.Millisecond)
			s := f.SearchersOf("invoices")[0]
			s.SetBehaviour(c.behaviour)
			g.Wait()
			arrivals := s.Arrivals()
			first := slices.IndexFunc(arrivals, func(a wqfakeplatform.Arrival) bool { return a.Behaviour == c.behaviour })
			must.NonNegative(t, first)
			must.LessEq(t, c.maxLater, len(arrivals)-first-1)
			for _, a := range arrivals[first:] {
				must.LessEq(t, c.maxTime, a.At.Sub(arrivals[first].At), must.Sprintf("%s reached the searcher too late", a.RequestID))
			}
			checkGuarantees(t, f)
		})
	}
}
