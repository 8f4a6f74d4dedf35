package wqstatement

import (
	"time"

	"wisteriaquay/core/wqdirectory"
)

// LimitReport is the kind of a Limit.
type LimitReport uint8

// The kinds of a Limit.
const (
	NoLimitReport LimitReport = iota // NoLimitReport is for a response that tells nothing of a limit.
	Unlimited                        // Unlimited means that the searcher answered a request without naming a limit.
	Limited                          // Limited means that the searcher names a limit.
)

// Limit is what one response reports about the rate of requests that its searcher takes.
type Limit struct {
	Report LimitReport
	Rate   float64   // Rate is in requests per second, from all VMs together.
	SentAt time.Time // SentAt is when the request that is answered was written.
}

// limitTTL ends a limit that no response has confirmed, so that no faulty value limits a
// searcher for good.
const limitTTL = time.Minute

// ObserveLimit records the limit of a response from t and returns its effect. A response
// that raises or ends the limit has none if its request was written before the limit was
// last named: the searcher may have sent it earlier.
func (tr *Tracker) ObserveLimit(now time.Time, t *wqdirectory.Target, l Limit) Change {
	if tr == nil || l.Report == NoLimitReport || l.Report == Unlimited && !tr.IsLimited(now, t) {
		return NoChange
	}
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	e := tr.entries[t.Searcher.ID]
	if e != nil && t.Incarnation != 0 && t.Incarnation < e.start.incarnation {
		return NoChange
	}
	if e == nil || e.start != startOf(t) {
		e = tr.newEntry(now, t)
	}
	limited := e.isLimited(now)
	raises := limited && (l.Report == Unlimited || l.Rate > e.limitRate)
	if raises && !l.SentAt.After(e.limitedAt) {
		return NoChange
	}
	if l.Report == Unlimited {
		e.limitedAt = time.Time{}
		return LimitEnded
	}
	changed := !limited || l.Rate != e.limitRate
	if !limited {
		e.limitedSince = now
	}
	e.limitRate, e.limitedAt, e.observedAt = l.Rate, now, now
	if !changed {
		return NoChange
	}
	return LimitNamed
}

// isLimited reports whether the searcher has named a limit that still holds.
func (e *entry) isLimited(now time.Time) bool {
	return !e.limitedAt.IsZero() && now.Sub(e.limitedAt) < limitTTL
}

// IsLimited reports whether t has named a limit that still holds.
func (tr *Tracker) IsLimited(now time.Time, t *wqdirectory.Target) bool {
	if tr.isEmpty() {
		return false
	}
	tr.mutex.RLock()
	defer tr.mutex.RUnlock()
	e := tr.entryOf(t)
	return e != nil && e.isLimited(now)
}

// LimitedCount returns how many searchers limit their requests. It includes searchers
// that have stopped since.
func (tr *Tracker) LimitedCount(now time.Time) int {
	if tr.isEmpty() {
		return 0
	}
	tr.mutex.RLock()
	defer tr.mutex.RUnlock()
	count := 0
	for _, e := range tr.entries {
		if e.isLimited(now) {
			count++
		}
	}
	return count
}
