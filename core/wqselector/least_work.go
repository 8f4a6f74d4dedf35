package wqselector

import (
	"slices"
	"time"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqwork"
)

const (
	// finishSpread is the random part of an expected finish time that is known from this
	// VM's own sends only, so that VMs with the same view pick different searchers.
	finishSpread = 0.05
	// hedgeGain is the part of the time that a second send would take, up to which what
	// is left of the first one is waited for. It is under 1, since the shorter of both
	// counts. The time that requests wait is added: while searchers have no free slots,
	// a second send delays others.
	hedgeGain = 0.5
)

// LeastWork picks the searcher that is expected to end a request first: by the work
// that it still has to do, its speed and the likely cost of the request. One value
// serves one request. Without Work it is LeastLatency.
type LeastWork struct {
	LeastLatency
	Work  *wqwork.Ledger
	Cost  wqcost.Distribution // Cost is the likely cost of the request, for each service.
	Owner any                 // Owner names the request in Work; it is comparable.
	// SlotCapacity is the part of a target's Slots that one request takes; 0 means 1.
	SlotCapacity int
	// Advised is the searcher that the VM which knows of all sends to the service chose
	// for the first send; empty for none.
	Advised string
	// AdvisedWait is the time that the request was then expected to wait.
	AdvisedWait time.Duration
}

// Pick returns the target that is expected to end the request first and is not among
// tried, nil when there is none or when a send in flight is expected to end sooner.
func (l LeastWork) Pick(now time.Time, targets []*wqdirectory.Target, tried []string, typical time.Duration, random uint64) *wqdirectory.Target {
	if l.Work == nil {
		return l.LeastLatency.Pick(now, targets, tried, typical, random)
	}
	l.Tracker.mutex.Lock()
	defer l.Tracker.mutex.Unlock()
	var best *wqdirectory.Target
	var least, leastWait float64
	for i, t := range targets {
		if slices.Contains(tried, t.Searcher.ID) || !l.coldSendAllowed(now, t, random) {
			continue
		}
		if len(tried) == 0 && t.Searcher.ID == l.Advised && l.mayFollowAdvice(now, t) {
			best = t
			break
		}
		noise := finishSpread * (float64((random>>(8*(i%8)))&0xff)/128 - 1) * float64(l.Cost.Mean())
		finish, wait := l.finish(now, t)
		if cost := finish + noise; best == nil || cost < least {
			best, least, leastWait = t, cost, wait
		}
	}
	if best != nil && len(tried) > 0 && l.endsSooner(now, targets, tried, hedgeGain*least+max(leastWait, float64(l.AdvisedWait))) {
		return nil
	}
	l.Tracker.recordColdSend(now, best)
	return best
}

// mayFollowAdvice reports whether nothing that this VM knows speaks against a searcher
// that another VM chose.
func (l LeastWork) mayFollowAdvice(now time.Time, t *wqdirectory.Target) bool {
	e := l.Tracker.entries[t.Searcher.ID]
	return !t.LastResort && (e == nil || !now.Before(e.backoffUntil))
}

// endsSooner reports whether a send of this request that is in flight is expected to
// end within limit nanoseconds.
func (l LeastWork) endsSooner(now time.Time, targets []*wqdirectory.Target, tried []string, limit float64) bool {
	for _, t := range targets {
		if !slices.Contains(tried, t.Searcher.ID) {
			continue
		}
		if rest, ok := l.Work.Remaining(now, t.Searcher.ID, l.Slots(t), l.Owner); ok && float64(rest) <= limit {
			return true
		}
	}
	return false
}

// finish returns the expected time until a target would end the request, in
// nanoseconds, with the penalties of LeastLatency, and the part of it that the request
// waits.
func (l LeastWork) finish(now time.Time, t *wqdirectory.Target) (cost, wait float64) {
	finish, queued := l.Work.Finish(now, t.Searcher.ID, l.Slots(t), l.Cost)
	cost, wait = float64(finish), float64(queued)
	if now.Before(t.ColdStartEnd) {
		cost *= coldSlowdown
	}
	if e := l.Tracker.entries[t.Searcher.ID]; e != nil {
		cost += float64(max(0, e.backoffUntil.Sub(now)))
	}
	if t.Searcher.Zone != l.Zone {
		cost += float64(otherZoneCost)
	}
	if t.LastResort {
		cost += float64(lastResortCost)
	}
	return cost, wait
}

// Slots returns how many requests a target runs at once.
func (l LeastWork) Slots(t *wqdirectory.Target) int {
	return max(t.Searcher.Slots/max(l.SlotCapacity, 1), 1)
}
