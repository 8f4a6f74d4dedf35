package wqholder

import (
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqsendqueue"
)

// finishRequest releases the slot of a request that ended at observed.ObservedAt,
// reports the observation of its searcher, and returns the tasks to send next and
// those to refuse.
func (h *Holder[C, P]) finishRequest(q *searcherQueue[P], e requestEnd, started time.Time, observed wqobservation.Observation) (send, refuse []*task) {
	q.delayAfterCancel(e)
	observed.Status = e.status
	observed.Latency = observed.ObservedAt.Sub(started)
	send, refuse = q.requestEnded(observed.ObservedAt, wqsendqueue.Outcome{
		Started:     started,
		Status:      e.status,
		Replied:     e.replied,
		Incarnation: observed.Incarnation,
		Cold:        observed.Cold,
	})
	h.reportChange(q, e, observed)
	return send, refuse
}
