package wqcontrol

import "time"

// freshness tracks until when the control state is known to be in force. A
// peer's word counts from the time at which it was asked, since a message may
// have waited while this process was paused. While a peer is known to have a
// higher revision, the state gets no fresher.
type freshness struct {
	confirmedAt time.Time // confirmedAt is the latest time at which a peer was asked that answered.
	behindAt    time.Time // behindAt is since when a higher revision is known; zero when none is.
}

// Confirm takes in that a peer answered a message that was sent at sentAt.
func (f *freshness) Confirm(sentAt time.Time) {
	if sentAt.After(f.confirmedAt) {
		f.confirmedAt = sentAt
	}
}

// At returns the time at which the state was last known to be in force.
func (f *freshness) At(now time.Time, alone, behind bool) time.Time {
	if !behind {
		f.behindAt = time.Time{}
	} else if f.behindAt.IsZero() {
		f.behindAt = now
	}
	switch {
	case alone:
		return now
	case behind && f.behindAt.Before(f.confirmedAt):
		return f.behindAt
	}
	return f.confirmedAt
}
