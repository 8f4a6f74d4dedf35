package wqcontrol

import "time"

// freshness tracks until when the control state is known to be in force: from
// when a peer was asked that answered, see wqmember.Tracker.FreshAt. While a peer
// is known to have a higher revision, the state gets no fresher.
type freshness struct {
	behindAt time.Time // behindAt is since when a higher revision is known; zero when none is.
}

// At returns the time at which the state was last known to be in force.
func (f *freshness) At(now, confirmedAt time.Time, behind bool) time.Time {
	if !behind {
		f.behindAt = time.Time{}
	} else if f.behindAt.IsZero() {
		f.behindAt = now
	}
	if behind && f.behindAt.Before(confirmedAt) {
		return f.behindAt
	}
	return confirmedAt
}
