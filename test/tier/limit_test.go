package tier_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

const (
	limitWindow    = 4 * time.Second
	limitNewsDelay = 500 * time.Millisecond // From a VM's reply with the limit until its requests count.
)

// countedArrivals returns when requests reached a searcher from VMs that had passed on a
// response with its limit limitNewsDelay before or earlier.
func countedArrivals(f *wqfakeplatform.Fleet, s *wqfakeplatform.Searcher) []time.Time {
	replies := f.Replies()
	var counted []time.Time
	for _, arrivals := range arrivalsByVM(f, s) {
		var told time.Time
		for _, a := range arrivals {
			if !told.IsZero() && a.At.Sub(told) >= limitNewsDelay {
				counted = append(counted, a.At)
			}
			reply := replies[a.RequestID]
			if told.IsZero() && a.Behaviour.Limit != "" && reply.PassedOn(s) {
				told = reply.SentAt.Add(reply.Latency)
			}
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	return counted
}

// mostInLimitWindow returns the largest number of times within limitWindow.
func mostInLimitWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// startSteadyLoad sends each VM a request of a route every interval until stop is called.
func startSteadyLoad(f *wqfakeplatform.Fleet, path string, interval time.Duration) (stop func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	for _, vm := range f.VMs {
		g.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
					g.Go(func() { f.Send(vm, http.MethodGet, path, "", time.Second) })
				}
			}
		})
	}
	return func() {
		close(done)
		g.Wait()
	}
}

func TestLimitedSearcherGetsNoMoreThanItsLimitFromAllVMs(t *testing.T) {
	const limit, seconds = 10, 9
	f := startFleet(t, 3)
	searchers := f.SearchersOf("orders")
	stop := startSteadyLoad(f, "/one/x", 20*time.Millisecond)
	time.Sleep(time.Second)
	for _, s := range searchers {
		s.SetBehaviour(wqfakeplatform.Behaviour{Limit: strconv.Itoa(limit)})
	}
	time.Sleep(seconds * time.Second)
	stop()
	for _, s := range searchers {
		arrivals := countedArrivals(f, s)
		must.LessEq(t, 1.5*limit*limitWindow.Seconds()+5, float64(mostInLimitWindow(arrivals)))
		must.GreaterEq(t, 0.6*limit*(seconds-1), float64(len(arrivals)), must.Sprint("a searcher gets what it offers"))
	}
	checkGuarantees(t, f)
}
