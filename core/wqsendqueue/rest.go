package wqsendqueue

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

const (
	// vainBeforeRest is how many requests in vain in a row start a rest.
	vainBeforeRest = 2
	// shortestRest is the least time of a rest.
	shortestRest = 5 * time.Millisecond
	// longestRest bounds the time for which a recovery may go unnoticed.
	longestRest = 500 * time.Millisecond
	// mostDoublings bounds the growth of a rest before longestRest does.
	mostDoublings = 10
)

// rest keeps requests from a target that answers none of them: it sheds, leaves
// or refuses connections. Rests double until something is answered.
type rest struct {
	vain  int // vain counts the requests in vain in a row.
	until time.Time
}

// resting reports whether nothing is to be sent now.
func (r *rest) resting(now time.Time) bool { return now.Before(r.until) }

// observe learns from a request that started and ended at these times; mean is
// the target's mean latency. Requests that started before a rest say nothing new.
func (r *rest) observe(started, ended time.Time, status wqobservation.Status, mean time.Duration) {
	switch status {
	case wqobservation.Answered, wqobservation.SnapshotGone:
		*r = rest{}
	case wqobservation.Shed, wqobservation.Draining, wqobservation.NotRun, wqobservation.Unreachable:
		if started.Before(r.until) {
			return
		}
		r.vain++
		if r.vain >= vainBeforeRest {
			doublings := min(r.vain-vainBeforeRest, mostDoublings)
			r.until = ended.Add(min(max(mean, shortestRest)<<doublings, longestRest))
		}
	}
}
