package wqholder

import (
	"time"

	"wisteriaquay/core/wqlane"
	"wisteriaquay/core/wqreport"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqtarget"
)

// sendSearch sends the tasks in one request, ends them and returns what comes
// next on the slot.
func (h *Holder[C, P]) sendSearch(l *lane[P], s *wqtopology.Searcher, tasks []*task) (send, refuse []wqlane.Job[*task]) {
	ctx, cancel := background(tasks)
	defer cancel()
	started := time.Now()
	reply, err := h.Client.Search(ctx, s, queries(started, tasks))
	ended := time.Now()
	status, sent := wqreport.Answered, true
	if err != nil {
		f := wqtarget.FailureOf(err)
		status, sent = f.Status, f.Sent
	}
	send, refuse = l.done(ended, wqlane.Outcome{
		Started:     started,
		Status:      status,
		Incarnation: reply.Incarnation,
		Cold:        reply.Cold,
	})
	h.Report(wqreport.Target{
		SearcherID:  s.ID,
		At:          ended,
		Status:      status,
		Latency:     ended.Sub(started),
		Incarnation: reply.Incarnation,
		Cold:        reply.Cold,
		Oldest:      reply.Oldest,
		Newest:      reply.Newest,
	})
	for i, t := range tasks {
		r := result{task: t, status: status, oldest: reply.Oldest, newest: reply.Newest, sent: sent}
		if status == wqreport.Answered {
			r.answer = &reply.Results[i]
			r.status = r.answer.Refusal.Status()
		}
		t.fan.results <- r
	}
	return send, refuse
}
