package wqlimit

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

const (
	// backOff multiplies the limit when the target refuses.
	backOff = 0.5
	// leastLimit keeps one request in flight, so that recovery is noticed.
	leastLimit = 1.0
)

// Fixed is the policy that always uses the whole share.
type Fixed struct{}

// Observe learns nothing.
func (Fixed) Observe(Sample, int) {}

// Limit returns the share.
func (Fixed) Limit(share int) int { return share }

// AIMD is the policy that halves the limit when the target refuses or fails and
// adds one for each limit's worth of answers. The zero value starts at the share.
type AIMD struct {
	limit   float64
	lowered time.Time
}

// Observe lowers the limit at most once for the requests that were in flight
// together, and raises it with each answer.
func (a *AIMD) Observe(s Sample, share int) {
	a.fit(share)
	switch s.Status {
	case wqobservation.Shed, wqobservation.Unreachable, wqobservation.Broken:
		a.lower(s)
	case wqobservation.Answered, wqobservation.SnapshotGone:
		a.limit = min(a.limit+1/a.limit, float64(share))
	}
}

// Limit returns the present limit, rounded down.
func (a *AIMD) Limit(share int) int {
	a.fit(share)
	return int(a.limit)
}

func (a *AIMD) lower(s Sample) {
	if s.Started.Before(a.lowered) {
		return
	}
	a.lowered = s.Ended
	a.limit = max(a.limit*backOff, leastLimit)
}

func (a *AIMD) fit(share int) {
	if a.limit == 0 {
		a.limit = float64(share)
	}
	a.limit = max(min(a.limit, float64(share)), leastLimit)
}
