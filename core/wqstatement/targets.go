package wqstatement

import (
	"time"

	"wisteriaquay/core/wqdirectory"
)

// MaySend reports whether a request for which t was chosen at chosenAt may be sent to it.
// For a searcher that is leaving it may be, as a last resort, during Grace. It may not be
// if the searcher has named a limit since, against which the request was not counted.
func (tr *Tracker) MaySend(now time.Time, t *wqdirectory.Target, chosenAt time.Time) bool {
	if tr.isEmpty() {
		return true
	}
	tr.mutex.RLock()
	defer tr.mutex.RUnlock()
	e := tr.entryOf(t)
	if e == nil {
		return true
	}
	becameLimited := e.isLimited(now) && e.limitedSince.After(chosenAt)
	return e.wait(now) == 0 && !becameLimited
}

// Split returns the targets that may be sent requests: those that are serving, and
// those that are leaving and a last resort. The results may share the memory of
// targets.
func (tr *Tracker) Split(now time.Time, targets []*wqdirectory.Target) (serving, leaving []*wqdirectory.Target) {
	if tr.isEmpty() {
		return targets, nil
	}
	tr.mutex.RLock()
	defer tr.mutex.RUnlock()
	copied := false
	for i, t := range targets {
		e := tr.entryOf(t)
		if e == nil || !e.isLeaving(now) && e.wait(now) == 0 && e.limitWait(now) == 0 {
			if copied {
				serving = append(serving, t)
			}
			continue
		}
		if !copied {
			serving, copied = append(make([]*wqdirectory.Target, 0, len(targets)), targets[:i]...), true
		}
		if e.isLeaving(now) && e.wait(now) == 0 && e.limitWait(now) == 0 {
			leaving = append(leaving, t)
		}
	}
	if !copied {
		return targets, nil
	}
	return serving, leaving
}

// Wait returns the time until the first of targets may be sent requests: 0 if one may
// be now or there are none, Never if none may be any more. Limited is true if that one
// waits for its limit to allow another request.
func (tr *Tracker) Wait(now time.Time, targets []*wqdirectory.Target) (wait time.Duration, limited bool) {
	if tr.isEmpty() || len(targets) == 0 {
		return 0, false
	}
	tr.mutex.RLock()
	defer tr.mutex.RUnlock()
	wait = Never
	for _, t := range targets {
		e := tr.entryOf(t)
		if e == nil {
			return 0, false
		}
		reported, paced := e.wait(now), e.limitWait(now)
		if w := max(reported, paced); w < wait {
			wait, limited = w, paced > reported
		}
	}
	return wait, limited
}

// Counts returns how many searchers are leaving and how many reject requests. It
// includes searchers that have stopped since.
func (tr *Tracker) Counts(now time.Time) (leaving, rejecting int) {
	if tr.isEmpty() {
		return 0, 0
	}
	tr.mutex.RLock()
	defer tr.mutex.RUnlock()
	for _, e := range tr.entries {
		if e.isLeaving(now) {
			leaving++
		}
		if now.Before(e.rejectingTill) {
			rejecting++
		}
	}
	return leaving, rejecting
}
