package wqholder

import (
	"context"
	"time"

	"wisteriaquay/core/wqassignment"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqtarget"
)

// enqueue queues a task for its searcher and starts what can be sent, or refuses
// the task.
func (h *Holder[C, P]) enqueue(now time.Time, searcherID string, t *task) {
	v := h.View()
	if status := h.sendStatus(v, searcherID, now); status != wqobservation.Answered {
		t.refuse(status)
		return
	}
	q := h.queueOf(v, v.Index.Searcher(searcherID))
	if q == nil {
		t.refuse(wqobservation.NotHolder)
		return
	}
	accepted, send, refuse := q.enqueue(now, t)
	if !accepted {
		t.refuse(wqobservation.NotRun)
		return
	}
	h.startBatch(q, send, refuse)
}

// sendStatus returns Answered if tasks may be sent to a searcher now, otherwise the
// status with which they are refused.
func (h *Holder[C, P]) sendStatus(v *wqview.View, searcherID string, now time.Time) wqobservation.Status {
	if v == nil || v.Index == nil {
		return wqobservation.NotRun
	}
	s := v.Index.Searcher(searcherID)
	share, held := v.OwnShare(searcherID)
	if s == nil || !held || h.closed.Load() {
		return wqobservation.NotHolder
	}
	if !wqassignment.Usable(v, share, now) {
		return wqobservation.NotRun
	}
	if v.Index.ZoneOut(s.Zone) || v.Index.ZoneOut(v.Self.Zone) {
		return wqobservation.ZoneOut
	}
	if v.Targets[searcherID].Draining {
		return wqobservation.Draining
	}
	return wqobservation.Answered
}

// MaySend reports whether anything may be sent to a searcher now; a draining
// searcher may still be probed. It is meant for wqtarget.Client.MaySend.
func (h *Holder[C, P]) MaySend(searcherID string) bool {
	status := h.sendStatus(h.View(), searcherID, time.Now())
	return status == wqobservation.Answered || status == wqobservation.Draining
}

// startBatch ends the refused tasks and sends the others on a new goroutine.
func (h *Holder[C, P]) startBatch(q *searcherQueue[P], send, refuse []*task) {
	refuseAll(refuse, wqobservation.NotRun)
	if len(send) > 0 {
		go h.sendBatches(q, send)
	}
}

func refuseAll(tasks []*task, status wqobservation.Status) {
	for _, t := range tasks {
		t.refuse(status)
	}
}

// sendBatches sends one request after the other on a slot of the queue until there
// is none to send.
func (h *Holder[C, P]) sendBatches(q *searcherQueue[P], send []*task) {
	for len(send) > 0 {
		var refuse []*task
		send, refuse = h.sendBatch(q, send)
		refuseAll(refuse, wqobservation.NotRun)
	}
}

// sendBatch sends the tasks in one request, ends them and returns the tasks to send
// next on the slot and those to refuse.
func (h *Holder[C, P]) sendBatch(q *searcherQueue[P], tasks []*task) (send, refuse []*task) {
	now := time.Now()
	q.mu.Lock()
	s := q.searcher
	q.mu.Unlock()
	if status := h.sendStatus(h.View(), s.ID, now); status != wqobservation.Answered {
		refuseAll(tasks, status)
		return q.releaseUnused(now)
	}
	tasks = claimTasks(tasks)
	if len(tasks) == 0 {
		return q.releaseUnused(now)
	}
	if tasks[0].write != nil {
		return h.sendWrite(q, s, tasks[0])
	}
	return h.sendSearch(q, s, tasks)
}

// claimTasks claims the tasks for sending and returns those not abandoned before.
// It reuses the slice.
func claimTasks(tasks []*task) []*task {
	claimed := tasks[:0]
	for _, t := range tasks {
		if t.claim() {
			claimed = append(claimed, t)
		}
	}
	return claimed
}

func latestDeadline(tasks []*task) time.Time {
	var latest time.Time
	for _, t := range tasks {
		if t.deadline.After(latest) {
			latest = t.deadline
		}
	}
	return latest
}

func remainingMillis(now, deadline time.Time) float64 {
	return float64(deadline.Sub(now)) / float64(time.Millisecond)
}

func queriesOf(now time.Time, tasks []*task) []wqtarget.Query {
	batch := make([]wqtarget.Query, len(tasks))
	for i, t := range tasks {
		batch[i] = wqtarget.Query{
			RequestID:       t.fanOut.request.RequestId,
			Service:         t.fanOut.request.Service,
			Shard:           t.sub.Shard,
			Snapshot:        t.fanOut.request.Snapshot,
			Body:            t.fanOut.request.Body,
			Limit:           t.fanOut.maxRows,
			RemainingMillis: remainingMillis(now, t.deadline),
		}
	}
	return batch
}

// requestContext returns the context of a request with the tasks. If all belong to
// one fan-out, it is the fan-out's; otherwise it ends at their latest deadline or
// when all of them are abandoned.
func requestContext(tasks []*task) (context.Context, context.CancelFunc) {
	first := tasks[0].fanOut
	for _, t := range tasks[1:] {
		if t.fanOut != first {
			ctx, cancel := context.WithDeadline(context.Background(), latestDeadline(tasks))
			newRequestGroup(tasks, cancel)
			return ctx, cancel
		}
	}
	return first.ctx, func() {}
}

// reportChange reports an observation if it differs from the previous report or
// that one is old, so that the control goroutine's work does not grow with the
// traffic.
func (h *Holder[C, P]) reportChange(q *searcherQueue[P], e requestEnd, o wqobservation.Observation) {
	if e.concernsSearcher() && q.shouldReport(o) {
		h.ReportObservation(o)
	}
}
