package wqselector

import (
	"time"

	"wisteriaquay/core/wqdirectory"
)

// coldRateShare is the part of a cold searcher's rate that all VMs use
// together; the rest is a margin, since their requests are not evenly spaced.
const coldRateShare = 0.7

// coldSendAllowed reports whether this VM may send a request to a searcher in
// cold start. Each of the VMs that share the searcher sends at a fixed interval
// and starts at a random time, so that together they stay below its rate
// without exchanging messages.
func (l LeastLatency) coldSendAllowed(now time.Time, t *wqdirectory.Target, random uint64) bool {
	if t.ColdStartRate <= 0 || !now.Before(t.ColdStartEnd) {
		return true
	}
	e := l.Tracker.entry(now, t.Searcher.ID)
	e.coldInterval = time.Duration(float64(max(l.SenderCount, 1)) / (coldRateShare * t.ColdStartRate) * float64(time.Second))
	if e.coldStartEnd != t.ColdStartEnd {
		e.coldStartEnd = t.ColdStartEnd
		e.nextColdSend = now.Add(time.Duration(float64(e.coldInterval) * float64(random>>11) / (1 << 53)))
	}
	return !now.Before(e.nextColdSend)
}

// recordColdSend delays the next request to a cold searcher after it was
// picked.
func (tr *Tracker) recordColdSend(now time.Time, t *wqdirectory.Target) {
	if t == nil || t.ColdStartRate <= 0 || !now.Before(t.ColdStartEnd) {
		return
	}
	e := tr.entry(now, t.Searcher.ID)
	e.nextColdSend = now.Add(e.coldInterval)
}
