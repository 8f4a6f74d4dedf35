// Package wqquotawindow counts events in a sliding window: the requests of a client
// account at one of its owners, or at a VM.
//
// # Usage
//
//	w := wqquotawindow.New(now, 5*time.Second, 250)
//	w.Add(now, now.Add(-age))
//	if w.Count(now) >= most { wait := w.UntilLeft(now, 1) ... }
//
// A Window is not safe for concurrent use.
package wqquotawindow

import "time"

// maxSkewSlots bounds how much earlier than at its VM an event may be counted, 0.2 s at an
// owner for a window of 5 s.
const maxSkewSlots = 10

// Window counts events in a sliding window, with a resolution of one slot. An event
// counts for the window's length and at most one slot more.
type Window struct {
	base   time.Time
	step   time.Duration
	counts []uint32 // counts is a ring of slots; one more than fit in the window.
	newest int64    // newest is the number of the newest slot since base.
	total  int
}

// New returns an empty window of a length that ends now.
func New(now time.Time, length time.Duration, slots int) Window {
	return Window{base: now.Add(-length), step: max(length/time.Duration(slots), 1), counts: make([]uint32, slots+1)}
}

// slot returns the number of the slot of t, which is -1 for a time before the window.
func (w *Window) slot(t time.Time) int64 { return max(-1, int64(t.Sub(w.base)/w.step)) }

func (w *Window) at(slot int64) *uint32 { return &w.counts[slot%int64(len(w.counts))] }

// advance empties the slots that have left the window.
func (w *Window) advance(now time.Time) {
	n := w.slot(now)
	if n-w.newest >= int64(len(w.counts)) {
		clear(w.counts)
		w.total, w.newest = 0, n
		return
	}
	for ; w.newest < n; w.newest++ {
		c := w.at(w.newest + 1)
		w.total -= int(*c)
		*c = 0
	}
}

// Add counts an event at a time; one later than now counts as at now, and one before the
// window not at all.
func (w *Window) Add(now, at time.Time) {
	w.advance(now)
	if s := min(w.slot(at), w.newest); s >= 0 && s > w.newest-int64(len(w.counts)) {
		*w.at(s)++
		w.total++
	}
}

// Remove takes back an event that was counted at about a time: the latest one up to then,
// since a grant is counted before its reply arrives, or else the next one.
func (w *Window) Remove(now, at time.Time) {
	w.advance(now)
	oldest := max(w.newest-int64(len(w.counts))+1, 0)
	target := min(w.slot(at), w.newest)
	for s := target; s >= max(oldest, target-maxSkewSlots); s-- {
		if w.take(s) {
			return
		}
	}
	for s := max(oldest, target+1); s <= w.newest; s++ {
		if w.take(s) {
			return
		}
	}
}

// take removes one event of a slot and returns false if it has none.
func (w *Window) take(slot int64) bool {
	c := w.at(slot)
	if *c == 0 {
		return false
	}
	*c--
	w.total--
	return true
}

// Count returns the number of events in the window.
func (w *Window) Count(now time.Time) int {
	w.advance(now)
	return w.total
}

// UntilLeft returns the time until n more events have left the window.
func (w *Window) UntilLeft(now time.Time, n int) time.Duration {
	w.advance(now)
	length := int64(len(w.counts))
	for s := max(w.newest-length+1, 0); s <= w.newest; s++ {
		if n -= int(*w.at(s)); n <= 0 {
			return w.base.Add(time.Duration(s+length) * w.step).Sub(now)
		}
	}
	return time.Duration(length) * w.step
}

// Ages returns the ages of the latest events, at most limit. An age is that of the end of
// its slot, so that a count made from it does not lose the event too early.
func (w *Window) Ages(now time.Time, limit int) []time.Duration {
	w.advance(now)
	var ages []time.Duration
	for s := w.newest; s >= max(w.newest-int64(len(w.counts))+1, 0); s-- {
		age := max(0, now.Sub(w.base.Add(time.Duration(s+1)*w.step)))
		for range *w.at(s) {
			if len(ages) == limit {
				return ages
			}
			ages = append(ages, age)
		}
	}
	return ages
}
