package wqsendqueue

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

const (
	// failuresBeforeBackoff is how many failed requests in a row start a
	// backoff.
	failuresBeforeBackoff = 2
	minBackoff            = 5 * time.Millisecond
	// maxBackoff bounds the delay until a recovery of the target is detected.
	maxBackoff = 500 * time.Millisecond
	// maxDoublings keeps the shift of the delay from overflowing.
	maxDoublings = 10
)

// backoff pauses requests to a target that serves none of them because it sheds
// load, drains or refuses connections. The delay doubles with each further
// failure until a request is answered.
type backoff struct {
	failures int // failed requests in a row
	until    time.Time
}

// active reports whether no request may be sent now.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// observe records the result of a request; mean is the target's mean latency. A
// request that started before the current backoff ended adds no new information
// and is ignored.
func (b *backoff) observe(started, ended time.Time, status wqobservation.Status, mean time.Duration) {
	switch status {
	case wqobservation.Answered, wqobservation.SnapshotGone:
		*b = backoff{}
	case wqobservation.Shed, wqobservation.Draining, wqobservation.NotRun, wqobservation.Unreachable:
		if started.Before(b.until) {
			return
		}
		b.failures++
		if b.failures >= failuresBeforeBackoff {
			doublings := min(b.failures-failuresBeforeBackoff, maxDoublings)
			b.until = ended.Add(min(max(mean, minBackoff)<<doublings, maxBackoff))
		}
	}
}
