package wqcontrol

import "time"

// confirmation computes when the control state was last confirmed to be in
// force. A reply from a peer confirms it as of the time when the heartbeat was
// sent; see wqmember.Tracker.ConfirmedAt. A peer that reports a higher revision
// stops the confirmation until this VM has caught up.
type confirmation struct {
	higherRevisionAt time.Time // since when a peer reports a higher revision; zero while none does
}

// limitConfirmedAt returns confirmedAt, or the time when a peer first reported
// a higher revision if that is earlier and it still does.
func (f *confirmation) limitConfirmedAt(now, confirmedAt time.Time, higherRevision bool) time.Time {
	if !higherRevision {
		f.higherRevisionAt = time.Time{}
	} else if f.higherRevisionAt.IsZero() {
		f.higherRevisionAt = now
	}
	if higherRevision && f.higherRevisionAt.Before(confirmedAt) {
		return f.higherRevisionAt
	}
	return confirmedAt
}
