package wqholder

import (
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqtarget"
)

// sendSearch sends sub-queries in one request, ends them and returns the tasks to
// send next on the slot and those to refuse.
func (h *Holder[C, P]) sendSearch(q *searcherQueue[P], s *wqtopology.Searcher, tasks []*task) (send, refuse []*task) {
	ctx, cancel := requestContext(tasks)
	defer cancel()
	started := time.Now()
	reply, err := h.Client.Search(ctx, s, queriesOf(started, tasks))
	ended := time.Now()
	e := requestEnd{status: wqobservation.Answered, replied: true, maybeSent: true}
	if err != nil {
		e = requestEndOf(err)
	}
	deliver(tasks, &reply, e)
	return h.finishRequest(q, e, started, wqobservation.Observation{
		SearcherID:     s.ID,
		ObservedAt:     ended,
		Incarnation:    reply.Incarnation,
		Cold:           reply.Cold,
		OldestSnapshot: reply.OldestSnapshot,
		NewestSnapshot: reply.NewestSnapshot,
	})
}

// requestEnd is how a request to a searcher ended.
type requestEnd struct {
	status    wqobservation.Status
	replied   bool // the searcher itself gave the status in a valid reply
	maybeSent bool
}

// concernsSearcher reports whether the status depends on the searcher and not only
// on this VM.
func (e requestEnd) concernsSearcher() bool {
	return e.replied || e.status == wqobservation.Unreachable || e.status == wqobservation.Broken
}

func requestEndOf(err error) requestEnd {
	f := wqtarget.FailureOf(err)
	return requestEnd{status: f.Status, replied: f.Refused, maybeSent: f.MaybeSent}
}

// deliver sends each task's result to its fan-out.
func deliver(tasks []*task, reply *wqtarget.SearchReply, e requestEnd) {
	for i, t := range tasks {
		r := result{task: t, status: e.status, oldestSnapshot: reply.OldestSnapshot, newestSnapshot: reply.NewestSnapshot, maybeSent: e.maybeSent}
		if e.status == wqobservation.Answered {
			r.answer = &reply.Results[i]
			r.status = r.answer.Refusal.Status()
		}
		t.fanOut.results <- r
	}
}
