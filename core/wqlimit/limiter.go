// Package wqlimit limits how many requests are in flight to one target: at most
// this VM's share of the target's slots, and fewer while a policy adapts to
// refusals by the target.
//
// # Usage
//
// A policy is a type parameter. Fixed always allows the whole share; AIMD
// lowers the limit when the target refuses and raises it as it answers:
//
//	l := wqlimit.Limiter[*wqlimit.AIMD]{Policy: &wqlimit.AIMD{}, Share: 3}
//	if l.Acquire(l.Share) {
//		startedAt := now
//		// send the request
//		l.Release(wqlimit.Sample{Started: startedAt, Ended: now, Status: wqobservation.Answered})
//	}
//
// A Limiter is not safe for concurrent use.
package wqlimit

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

// Sample is the outcome of one request.
type Sample struct {
	Started time.Time
	Ended   time.Time
	Status  wqobservation.Status
}

// Policy determines a concurrency limit from the outcomes of requests.
type Policy interface {
	// Observe adapts the limit to a request that ended under this share.
	Observe(s Sample, share int)
	// Limit returns how many requests may be in flight under this share. The
	// Limiter clamps it to the range from 1 to the share.
	Limit(share int) int
}

// Limiter counts the requests in flight to one target. Set its fields before
// use; Share may change at any time.
type Limiter[P Policy] struct {
	Policy P
	Share  int // Share is the maximum number of requests in flight from this VM; 0 allows none.

	inFlight int
}

// Limit returns how many requests may be in flight now: 0 without a share, else
// from 1 to the share.
func (l *Limiter[P]) Limit() int {
	if l.Share <= 0 {
		return 0
	}
	return min(max(l.Policy.Limit(l.Share), 1), l.Share)
}

// InFlight returns how many requests are in flight.
func (l *Limiter[P]) InFlight() int { return l.inFlight }

// Acquire takes a slot for a request and returns true, or returns false when
// Limit or maxInFlight, whichever is smaller, is reached.
func (l *Limiter[P]) Acquire(maxInFlight int) bool {
	if l.inFlight >= min(l.Limit(), maxInFlight) {
		return false
	}
	l.inFlight++
	return true
}

// Release returns the slot of a request that was sent.
func (l *Limiter[P]) Release(s Sample) {
	l.inFlight--
	l.Policy.Observe(s, l.Share)
}

// Cancel returns the slot of a request that was never sent.
func (l *Limiter[P]) Cancel() { l.inFlight-- }
