package wqholder

import (
	"context"
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtarget"
)

// writing is one write-like request in progress.
type writing struct {
	request *wqpb.DispatchWriteRequest
	done    chan *wqpb.WriteResponse // done has room for the one response.
}

func (w *writing) finish(r *wqpb.WriteResponse) { w.done <- r }

// DispatchWrite sends a write-like request to its searcher at most once for
// each call. The outcome is NOT_RUN only with proof, DONE with the searcher's
// reply, and UNKNOWN otherwise, also when ctx ends first. The error is always nil.
func (h *Holder[C, P]) DispatchWrite(ctx context.Context, r *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	now := time.Now()
	w := &writing{request: r, done: make(chan *wqpb.WriteResponse, 1)}
	t := &task{write: w, deadline: now.Add(time.Duration(r.RemainingMicros) * time.Microsecond)}
	h.offer(now, r.Searcher, t)
	select {
	case response := <-w.done:
		return response, nil
	case <-ctx.Done():
		if t.take() {
			return refusedWrite(r, wqobservation.Expired), nil
		}
		return response(r, wqpb.Outcome_OUTCOME_UNKNOWN, "the call ended before the searcher answered", "ask for the outcome"), nil
	}
}

// sendWrite sends the task's request, which nothing but its deadline cancels.
func (h *Holder[C, P]) sendWrite(l *lane[P], s *wqtopology.Searcher, t *task) (send, refuse []*task) {
	ctx, cancel := context.WithDeadline(context.Background(), t.deadline)
	defer cancel()
	r := t.write.request
	started := time.Now()
	reply, err := h.Client.Write(ctx, s, wqtarget.WriteRequest{
		RequestID:       r.Ticket,
		Service:         r.Service,
		Shard:           r.Shard,
		Body:            r.Body,
		RemainingMillis: remainingMillis(started, t.deadline),
	})
	ended := time.Now()
	e := ending{status: wqobservation.Answered, replied: true, sent: true}
	if err != nil {
		e = endingOf(err)
	}
	t.write.finish(writeResponse(r, reply, err))
	return h.settle(l, e, started, wqobservation.Observation{SearcherID: s.ID, ObservedAt: ended, Incarnation: reply.Incarnation, Cold: reply.Cold})
}

func writeResponse(r *wqpb.DispatchWriteRequest, reply wqtarget.WriteReply, err error) *wqpb.WriteResponse {
	if err == nil {
		out := response(r, wqpb.Outcome_OUTCOME_DONE, "", "")
		out.Body = reply.Body
		return out
	}
	f := wqtarget.FailureOf(err)
	if f.NotRun() {
		return response(r, wqpb.Outcome_OUTCOME_NOT_RUN, f.Fault.Message, f.Fault.Remedy)
	}
	return response(r, wqpb.Outcome_OUTCOME_UNKNOWN, f.Fault.Message, "do not repeat the request; ask for its outcome")
}

// refusedWrite is the response to a request that was never sent.
func refusedWrite(r *wqpb.DispatchWriteRequest, status wqobservation.Status) *wqpb.WriteResponse {
	return response(r, wqpb.Outcome_OUTCOME_NOT_RUN, reasonOf(status), "send it through another replica while time allows")
}

func reasonOf(s wqobservation.Status) string {
	switch s {
	case wqobservation.NotHolder:
		return "this VM does not hold the searcher"
	case wqobservation.ZoneOut:
		return "the availability zone is taken out"
	case wqobservation.Draining:
		return "the searcher leaves"
	}
	return "the searcher can't be sent the request in time"
}

func response(r *wqpb.DispatchWriteRequest, o wqpb.Outcome, reason, remedy string) *wqpb.WriteResponse {
	return &wqpb.WriteResponse{Ticket: r.Ticket, Outcome: o, Reason: reason, Remedy: remedy}
}
