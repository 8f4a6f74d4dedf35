package wqselector

import (
	"slices"
	"time"

	"wisteriaquay/core/wqdirectory"
)

const (
	otherZoneCost     = 9 * time.Millisecond   // how much sooner a searcher of another zone must answer to be preferred, because that traffic is billed
	coldSlowdown      = 1.5                    // factor on the latency during cold start
	lastResortCost    = 10 * time.Second       // makes draining or unregistered searchers the last choice
	unresponsiveAfter = 600 * time.Millisecond // age of a request in flight from which its searcher is unresponsive; usual pauses are 250 ms
	randomSpread      = 0.1                    // random part of the expected time, so that VMs with the same view pick different searchers
)

// LeastLatency picks the searcher with the least expected latency.
type LeastLatency struct {
	Tracker     *Tracker
	Zone        string // Zone is this VM's availability zone.
	SenderCount int    // SenderCount is the number of VMs that send to the same searchers, including this one.
}

// Pick returns the best target that is not among tried, nil when there is none.
// Typical is the typical latency of the request's route; random is any random
// number.
func (l LeastLatency) Pick(now time.Time, targets []*wqdirectory.Target, tried []string, typical time.Duration, random uint64) *wqdirectory.Target {
	l.Tracker.mutex.Lock()
	defer l.Tracker.mutex.Unlock()
	var best *wqdirectory.Target
	var minCost float64
	for i, t := range targets {
		if slices.Contains(tried, t.Searcher.ID) || !l.coldSendAllowed(now, t, random) {
			continue
		}
		noise := 1 + randomSpread*(float64((random>>(8*(i%8)))&0xff)/128-1)
		cost := l.expectedTime(now, t, typical) * noise
		if best == nil || cost < minCost {
			best, minCost = t, cost
		}
	}
	l.Tracker.recordColdSend(now, best)
	return best
}

// Unresponsive reports whether the oldest request to the searcher has been in
// flight for so long that callers should stop waiting for its answer.
func (l LeastLatency) Unresponsive(now time.Time, searcherID string) bool {
	l.Tracker.mutex.Lock()
	defer l.Tracker.mutex.Unlock()
	e := l.Tracker.entries[searcherID]
	return e != nil && e.oldestAge(now) > unresponsiveAfter
}

// expectedTime returns the expected latency of a request, in nanoseconds, with
// the penalties for another zone and for a last resort.
func (l LeastLatency) expectedTime(now time.Time, t *wqdirectory.Target, typical time.Duration) float64 {
	cost := float64(typical)
	if now.Before(t.ColdStartEnd) {
		cost *= coldSlowdown
	}
	if e := l.Tracker.entries[t.Searcher.ID]; e != nil {
		cost *= e.currentSlowness(now)
		overdue := float64(e.oldestAge(now)) - 2*cost
		cost *= 1 + float64(len(e.inFlight))/float64(max(t.Searcher.Slots, 1))
		cost += max(0, overdue) + float64(max(0, e.backoffUntil.Sub(now)))
	}
	if t.Searcher.Zone != l.Zone {
		cost += float64(otherZoneCost)
	}
	if t.LastResort {
		cost += float64(lastResortCost)
	}
	return cost
}

// oldestAge returns the age of the oldest request in flight; 0 when there is
// none.
func (e *entry) oldestAge(now time.Time) time.Duration {
	if len(e.inFlight) == 0 {
		return 0
	}
	return now.Sub(e.inFlight[0].startedAt)
}
