package wqselector

import (
	"slices"
	"time"

	"wisteriaquay/core/wqdirectory"
)

const (
	farCost      = 9 * time.Millisecond   // farCost is how much sooner another zone must answer to be preferred: its bytes cost money.
	coldFactor   = 1.5                    // coldFactor is how much slower a searcher is in its cold start.
	doubtCost    = 10 * time.Second       // doubtCost keeps leaving searchers for when there is no other.
	silentAfter  = 600 * time.Millisecond // silentAfter is the age of a request after which its searcher counts as silent; usual pauses are 250 ms.
	randomSpread = 0.1                    // randomSpread keeps VMs with the same view from choosing the same searcher.
)

// LeastLatency picks the searcher that is expected to answer soonest.
type LeastLatency struct {
	Tracker     *Tracker
	Zone        string // Zone is this VM's own.
	SenderCount int    // SenderCount is how many VMs send to the same searchers, this one included.
}

// Pick returns a target that is not among tried, nil when there is none.
// Typical is the usual time of the request's route, and random is any number.
func (s LeastLatency) Pick(now time.Time, targets []*wqdirectory.Target, tried []string, typical time.Duration, random uint64) *wqdirectory.Target {
	s.Tracker.mutex.Lock()
	defer s.Tracker.mutex.Unlock()
	var best *wqdirectory.Target
	var least float64
	for i, t := range targets {
		if slices.Contains(tried, t.Searcher.ID) || !s.bears(now, t, random) {
			continue
		}
		noise := 1 + randomSpread*(float64((random>>(8*(i%8)))&0xff)/128-1)
		cost := s.cost(now, t, typical) * noise
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	s.Tracker.takeCold(now, best)
	return best
}

// Unresponsive reports whether a request to the searcher waits for so long that its
// answer should not be waited for.
func (s LeastLatency) Unresponsive(now time.Time, searcherID string) bool {
	s.Tracker.mutex.Lock()
	defer s.Tracker.mutex.Unlock()
	c := s.Tracker.cells[searcherID]
	return c != nil && c.oldest(now) > silentAfter
}

// cost returns the time that a request is expected to take, in nanoseconds.
func (s LeastLatency) cost(now time.Time, t *wqdirectory.Target, typical time.Duration) float64 {
	cost := float64(typical)
	if now.Before(t.ColdStartEnd) {
		cost *= coldFactor
	}
	if c := s.Tracker.cells[t.Searcher.ID]; c != nil {
		cost *= c.faded(now)
		late := float64(c.oldest(now)) - 2*cost
		cost *= 1 + float64(len(c.flights))/float64(max(t.Searcher.Slots, 1))
		cost += max(0, late) + float64(max(0, c.restsTo.Sub(now)))
	}
	if t.Searcher.Zone != s.Zone {
		cost += float64(farCost)
	}
	if t.LastResort {
		cost += float64(doubtCost)
	}
	return cost
}

// oldest returns the age of the oldest request that is out.
func (c *cell) oldest(now time.Time) time.Duration {
	if len(c.flights) == 0 {
		return 0
	}
	return now.Sub(c.flights[0].since)
}
