package wqholder

import (
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqtarget"
)

// sendSearch sends the tasks in one request, ends them and returns what comes
// next on the slot.
func (h *Holder[C, P]) sendSearch(l *lane[P], s *wqtopology.Searcher, tasks []*task) (send, refuse []*task) {
	ctx, cancel := contextOf(tasks)
	defer cancel()
	started := time.Now()
	reply, err := h.Client.Search(ctx, s, queries(started, tasks))
	ended := time.Now()
	e := ending{status: wqobservation.Answered, replied: true, sent: true}
	if err != nil {
		e = endingOf(err)
	}
	deliver(tasks, &reply, e)
	return h.settle(l, e, started, wqobservation.Observation{
		SearcherID:     s.ID,
		ObservedAt:     ended,
		Incarnation:    reply.Incarnation,
		Cold:           reply.Cold,
		OldestSnapshot: reply.OldestSnapshot,
		NewestSnapshot: reply.NewestSnapshot,
	})
}

// ending is how a request ended.
type ending struct {
	status  wqobservation.Status
	replied bool // replied is true when the status is the searcher's own word.
	sent    bool
}

// observed reports whether the ending tells something about the searcher.
func (e ending) observed() bool {
	return e.replied || e.status == wqobservation.Unreachable || e.status == wqobservation.Broken
}

func endingOf(err error) ending {
	f := wqtarget.FailureOf(err)
	return ending{status: f.Status, replied: f.Refused, sent: f.MaybeSent}
}

// deliver gives each task its result.
func deliver(tasks []*task, reply *wqtarget.SearchReply, e ending) {
	for i, t := range tasks {
		r := result{task: t, status: e.status, oldest: reply.OldestSnapshot, newest: reply.NewestSnapshot, sent: e.sent}
		if e.status == wqobservation.Answered {
			r.answer = &reply.Results[i]
			r.status = r.answer.Refusal.Status()
		}
		t.fan.results <- r
	}
}
