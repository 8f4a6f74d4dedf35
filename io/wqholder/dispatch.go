package wqholder

import (
	"context"
	"time"

	"wisteriaquay/core/wqassignment"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqtarget"
)

// offer puts a task into the lane of its searcher, or ends it.
func (h *Holder[C, P]) offer(now time.Time, searcherID string, t *task) {
	v := h.View()
	if status := h.check(v, searcherID, now); status != wqobservation.Answered {
		t.refuse(status)
		return
	}
	l := h.lane(v, v.Index.Searcher(searcherID))
	if l == nil {
		t.refuse(wqobservation.NotHolder)
		return
	}
	accepted, send, refuse := l.offer(now, t)
	if !accepted {
		t.refuse(wqobservation.NotRun)
		return
	}
	h.proceed(l, send, refuse)
}

// check returns why nothing may be sent to a searcher now, or Answered when it
// may.
func (h *Holder[C, P]) check(v *wqview.View, searcherID string, now time.Time) wqobservation.Status {
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

// MaySend reports whether a searcher may be sent anything now.
func (h *Holder[C, P]) MaySend(searcherID string) bool {
	status := h.check(h.View(), searcherID, time.Now())
	return status == wqobservation.Answered || status == wqobservation.Draining
}

// proceed starts a request and ends the refused tasks.
func (h *Holder[C, P]) proceed(l *lane[P], send, refuse []*task) {
	refuseAll(refuse, wqobservation.NotRun)
	if len(send) > 0 {
		go h.work(l, send)
	}
}

func refuseAll(tasks []*task, status wqobservation.Status) {
	for _, t := range tasks {
		t.refuse(status)
	}
}

// work sends requests of a lane until it has no more to send on this slot.
func (h *Holder[C, P]) work(l *lane[P], send []*task) {
	for len(send) > 0 {
		var refuse []*task
		send, refuse = h.exchange(l, send)
		refuseAll(refuse, wqobservation.NotRun)
	}
}

// exchange sends one request, ends its tasks and returns what comes next.
func (h *Holder[C, P]) exchange(l *lane[P], tasks []*task) (send, refuse []*task) {
	now := time.Now()
	l.mu.Lock()
	s := l.searcher
	l.mu.Unlock()
	if status := h.check(h.View(), s.ID, now); status != wqobservation.Answered {
		refuseAll(tasks, status)
		return l.cancel(now)
	}
	tasks = waiting(tasks)
	if len(tasks) == 0 {
		return l.cancel(now)
	}
	if tasks[0].write != nil {
		return h.sendWrite(l, s, tasks[0])
	}
	return h.sendSearch(l, s, tasks)
}

// waiting takes the tasks that somebody still waits for; it reuses the slice.
func waiting(tasks []*task) []*task {
	taken := tasks[:0]
	for _, t := range tasks {
		if t.take() {
			taken = append(taken, t)
		}
	}
	return taken
}

func latest(tasks []*task) time.Time {
	var last time.Time
	for _, t := range tasks {
		if t.deadline.After(last) {
			last = t.deadline
		}
	}
	return last
}

func remainingMillis(now, deadline time.Time) float64 {
	return float64(deadline.Sub(now)) / float64(time.Millisecond)
}

func queries(now time.Time, tasks []*task) []wqtarget.Query {
	batch := make([]wqtarget.Query, len(tasks))
	for i, t := range tasks {
		batch[i] = wqtarget.Query{
			RequestID:       t.fan.request.RequestId,
			Service:         t.fan.request.Service,
			Shard:           t.sub.Shard,
			Snapshot:        t.fan.request.Snapshot,
			Body:            t.fan.request.Body,
			Limit:           t.fan.limit,
			RemainingMillis: remainingMillis(now, t.deadline),
		}
	}
	return batch
}

// contextOf returns the context of a request that carries the tasks: that of
// their fan when they have the same one; else it ends at their last deadline or
// when nobody waits for any of them.
func contextOf(tasks []*task) (context.Context, context.CancelFunc) {
	first := tasks[0].fan
	for _, t := range tasks[1:] {
		if t.fan != first {
			ctx, cancel := context.WithDeadline(context.Background(), latest(tasks))
			newGroup(tasks, cancel)
			return ctx, cancel
		}
	}
	return first.ctx, func() {}
}

// report passes an observation on when it brings news or the last is old, so
// that the control goroutine's work does not grow with the traffic.
func (h *Holder[C, P]) report(l *lane[P], e ending, r wqobservation.Observation) {
	if e.observed() && l.isNews(r) {
		h.Report(r)
	}
}
