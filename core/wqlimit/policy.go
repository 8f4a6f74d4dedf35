package wqlimit

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

const (
	// decreaseFactor multiplies the limit when the target refuses or fails.
	decreaseFactor = 0.5
	// minLimit keeps one request in flight, so that a recovery is detected.
	minLimit = 1.0
)

// Fixed is the policy that always allows the whole share.
type Fixed struct{}

// Observe does nothing.
func (Fixed) Observe(Sample, int) {}

// Limit returns the share.
func (Fixed) Limit(share int) int { return share }

// AIMD is the policy of additive increase and multiplicative decrease: it
// halves the limit when the target refuses or fails, and raises it by about one
// after as many answers as the limit. The zero value starts at the share.
type AIMD struct {
	limit     float64
	loweredAt time.Time
}

// Observe lowers the limit at most once for requests that were in flight at
// the same time, and raises it with each answer.
func (a *AIMD) Observe(s Sample, share int) {
	a.clamp(share)
	switch s.Status {
	case wqobservation.Shed, wqobservation.Unreachable, wqobservation.Broken:
		a.decrease(s)
	case wqobservation.Answered, wqobservation.SnapshotGone:
		a.limit = min(a.limit+1/a.limit, float64(share))
	}
}

// Limit returns the current limit, rounded down.
func (a *AIMD) Limit(share int) int {
	a.clamp(share)
	return int(a.limit)
}

// decrease lowers the limit, except for requests that were sent before the
// limit was last lowered.
func (a *AIMD) decrease(s Sample) {
	if s.Started.Before(a.loweredAt) {
		return
	}
	a.loweredAt = s.Ended
	a.limit = max(a.limit*decreaseFactor, minLimit)
}

// clamp keeps the limit within minLimit and the share, which may have changed.
func (a *AIMD) clamp(share int) {
	if a.limit == 0 {
		a.limit = float64(share)
	}
	a.limit = max(min(a.limit, float64(share)), minLimit)
}
