package wqselector

import (
	"time"

	"wisteriaquay/core/wqdirectory"
)

// coldShare is the part of what a cold searcher bears that all VMs send together,
// since their sends are not evenly spread.
const coldShare = 0.7

// bears reports whether this VM may send a request to a searcher that is cold.
// Each of the VMs that share it sends one at a time, at the same distance, and
// begins at a random moment, so that they stay below its rate together without a
// message.
func (s LeastLatency) bears(now time.Time, t *wqdirectory.Target, random uint64) bool {
	if t.ColdStartRate <= 0 || !now.Before(t.ColdStartEnd) {
		return true
	}
	c := s.Tracker.cell(now, t.Searcher.ID)
	c.coldEvery = time.Duration(float64(max(s.SenderCount, 1)) / (coldShare * t.ColdStartRate) * float64(time.Second))
	if c.coldTo != t.ColdStartEnd {
		c.coldTo = t.ColdStartEnd
		c.coldNext = now.Add(time.Duration(float64(c.coldEvery) * float64(random>>11) / (1 << 53)))
	}
	return !now.Before(c.coldNext)
}

// takeCold notes that a searcher was chosen.
func (b *Tracker) takeCold(now time.Time, t *wqdirectory.Target) {
	if t == nil || t.ColdStartRate <= 0 || !now.Before(t.ColdStartEnd) {
		return
	}
	c := b.cell(now, t.Searcher.ID)
	c.coldNext = now.Add(c.coldEvery)
}
