// Package wqlimit bounds how many requests are in flight to one target: never
// more than this VM's share of the target's slots, and fewer while a policy
// sees the target refuse.
//
// # Usage
//
// A policy is a type parameter. Fixed always uses the whole share; AIMD backs
// off when the target refuses and recovers as it answers:
//
//	l := wqlimit.Limiter[*wqlimit.AIMD]{Policy: &wqlimit.AIMD{}, Share: 3}
//	if l.Acquire(l.Share) {
//		started := now
//		// send the request
//		l.Release(wqlimit.Sample{Started: started, Ended: now, Status: wqobservation.Answered})
//	}
//
// A Limiter is not safe for concurrent use.
package wqlimit

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

// Sample is how one request went.
type Sample struct {
	Started time.Time
	Ended   time.Time
	Status  wqobservation.Status
}

// Policy decides how many requests may be in flight, apart from the share.
type Policy interface {
	// Observe learns from a request that ended; share is the present bound.
	Observe(s Sample, share int)
	// Limit returns the requests wanted in flight under this share. The Limiter
	// keeps it between 1 and the share.
	Limit(share int) int
}

// Limiter counts the requests in flight to one target. Set its fields before
// use; Share may change at any time.
type Limiter[P Policy] struct {
	Policy P
	Share  int // Share is how many requests at once this VM may send; 0 forbids all.

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

// Acquire takes a slot unless Limit or the given further bound is reached.
func (l *Limiter[P]) Acquire(bound int) bool {
	if l.inFlight >= min(l.Limit(), bound) {
		return false
	}
	l.inFlight++
	return true
}

// Release gives back the slot of a request that was sent.
func (l *Limiter[P]) Release(s Sample) {
	l.inFlight--
	l.Policy.Observe(s, l.Share)
}

// Cancel gives back the slot of a request that was never sent.
func (l *Limiter[P]) Cancel() { l.inFlight-- }
