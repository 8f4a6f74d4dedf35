package wqholder

import (
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqsendqueue"
)

// settle gives the slot of a request that has ended back, reports what was seen
// of its searcher, and returns what the lane sends and refuses next. The request
// ended at seen.At.
func (h *Holder[C, P]) settle(l *lane[P], e ending, started time.Time, seen wqobservation.Observation) (send, refuse []*task) {
	l.linger(e)
	seen.Status = e.status
	seen.Latency = seen.ObservedAt.Sub(started)
	send, refuse = l.done(seen.ObservedAt, wqsendqueue.Outcome{
		Started:     started,
		Status:      e.status,
		Replied:     e.replied,
		Incarnation: seen.Incarnation,
		Cold:        seen.Cold,
	})
	h.report(l, e, seen)
	return send, refuse
}
