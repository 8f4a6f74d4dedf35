package wqstatement

import (
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqpace"
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

const (
	// limitTTL ends a limit that no response has confirmed, so that no faulty value limits
	// a searcher for good. It is longer for a VM that sends less than a request a minute.
	limitTTL = time.Minute
	// limitTTLIntervals is limitTTL in intervals between two requests of this VM.
	limitTTLIntervals = 3
	// minLimit is the rate, in requests per second, at which searchers are asked that name
	// a lower one: only their responses show that the limit has ended.
	minLimit = 0.25
)

// ObserveLimit records the limit of a response from t and returns its effect. A response
// that raises or ends the limit has none if its request was written before the limit was
// last named: the searcher may have sent it earlier.
func (tr *Tracker) ObserveLimit(now time.Time, t *wqdirectory.Target, l Limit) Change {
	if tr == nil || l.Report == NoLimitReport || l.Report == Unlimited && !tr.IsLimited(now, t) {
		return NoChange
	}
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	e := tr.reportingEntry(now, t)
	if e == nil || e.isLimited(now) && l.raises(e.limitRate) && !l.SentAt.After(e.limitedAt) {
		return NoChange
	}
	if l.Report == Unlimited {
		e.limitedAt = time.Time{}
		return LimitEnded
	}
	return e.limit(now, l.Rate)
}

// raises reports whether the limit is above rate.
func (l *Limit) raises(rate float64) bool { return l.Report == Unlimited || l.Rate > rate }

// limit records that the searcher names a limit.
func (e *entry) limit(now time.Time, rate float64) Change {
	change := NoChange
	if !e.isLimited(now) {
		e.limitedSince, e.pace, change = now, wqpace.Pace{}, LimitNamed
	} else if rate != e.limitRate {
		change = LimitNamed
	}
	e.limitRate, e.limitedAt, e.observedAt = rate, now, now
	return change
}

// isLimited reports whether the searcher has named a limit that still holds.
func (e *entry) isLimited(now time.Time) bool {
	return !e.limitedAt.IsZero() && now.Sub(e.limitedAt) < max(limitTTL, limitTTLIntervals*e.pace.Interval())
}

// limitWait returns the time until the limit of the searcher allows the next request.
func (e *entry) limitWait(now time.Time) time.Duration {
	if !e.isLimited(now) {
		return 0
	}
	return e.pace.Wait(now)
}

// Take counts a request that is about to be sent to t against the searcher's limit, and
// returns false if it may not be sent now. Sharers is the number of VMs that send to the
// searcher, this one included; random is any random number.
func (tr *Tracker) Take(now time.Time, t *wqdirectory.Target, sharers int, random uint64) bool {
	if !tr.IsLimited(now, t) {
		return true
	}
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	e := tr.entryOf(t)
	return e == nil || !e.isLimited(now) || e.pace.Take(now, max(e.limitRate, minLimit)/float64(max(sharers, 1)), random)
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
