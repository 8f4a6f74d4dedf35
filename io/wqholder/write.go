package wqholder

import (
	"context"
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtarget"
)

// pendingWrite is one write-like request in progress.
type pendingWrite struct {
	request  *wqpb.DispatchWriteRequest
	response chan *wqpb.WriteResponse // buffered for the one response
}

func (w *pendingWrite) respond(r *wqpb.WriteResponse) { w.response <- r }

// DispatchWrite sends a write-like request to its searcher at most once per call.
// The outcome is DONE with the searcher's reply, NOT_RUN if it is certain that the
// searcher did not run the request, and UNKNOWN otherwise, also if ctx ends after
// the request may have been sent. The error is always nil.
func (h *Holder[C, P]) DispatchWrite(ctx context.Context, r *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	now := time.Now()
	w := &pendingWrite{request: r, response: make(chan *wqpb.WriteResponse, 1)}
	t := &task{write: w, deadline: now.Add(time.Duration(r.RemainingMicros) * time.Microsecond)}
	h.enqueue(now, r.Searcher, t)
	select {
	case response := <-w.response:
		return response, nil
	case <-ctx.Done():
		if t.claim() {
			return notRunResponse(r, wqobservation.Expired), nil
		}
		return newResponse(r, wqpb.Outcome_OUTCOME_UNKNOWN, "the call ended before the searcher answered", "query the outcome"), nil
	}
}

// sendWrite sends the task's request, ends the task and returns the tasks to send
// next on the slot and those to refuse. Only the deadline cancels the request.
func (h *Holder[C, P]) sendWrite(q *searcherQueue[P], s *wqtopology.Searcher, t *task) (send, refuse []*task) {
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
	e := requestEnd{status: wqobservation.Answered, replied: true, maybeSent: true}
	if err != nil {
		e = requestEndOf(err)
	}
	t.write.respond(writeResponse(r, reply, err))
	return h.finishRequest(q, e, started, wqobservation.Observation{SearcherID: s.ID, ObservedAt: ended, Incarnation: reply.Incarnation, Cold: reply.Cold})
}

func writeResponse(r *wqpb.DispatchWriteRequest, reply wqtarget.WriteReply, err error) *wqpb.WriteResponse {
	if err == nil {
		response := newResponse(r, wqpb.Outcome_OUTCOME_DONE, "", "")
		response.Body = reply.Body
		return response
	}
	f := wqtarget.FailureOf(err)
	if f.NotRun() {
		return newResponse(r, wqpb.Outcome_OUTCOME_NOT_RUN, f.Fault.Message, f.Fault.Remedy)
	}
	return newResponse(r, wqpb.Outcome_OUTCOME_UNKNOWN, f.Fault.Message, "do not repeat the request; query its outcome")
}

// notRunResponse returns the response to a request that was never sent.
func notRunResponse(r *wqpb.DispatchWriteRequest, status wqobservation.Status) *wqpb.WriteResponse {
	return newResponse(r, wqpb.Outcome_OUTCOME_NOT_RUN, refusalReason(status), "send it through another replica while time allows")
}

func refusalReason(s wqobservation.Status) string {
	switch s {
	case wqobservation.NotHolder:
		return "this VM does not hold the searcher"
	case wqobservation.ZoneOut:
		return "the availability zone is taken out"
	case wqobservation.Draining:
		return "the searcher is draining"
	}
	return "the request can't be sent to the searcher in time"
}

func newResponse(r *wqpb.DispatchWriteRequest, o wqpb.Outcome, reason, remedy string) *wqpb.WriteResponse {
	return &wqpb.WriteResponse{Ticket: r.Ticket, Outcome: o, Reason: reason, Remedy: remedy}
}
