package wqwrite

import (
	"context"
	"time"

	"wisteriaquay/core/wqcandidate"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqticket"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqwriteresult"
)

const (
	replyReserveDivisor = 10                    // one tenth of the remaining time is reserved for the reply to the caller
	maxReplyReserve     = 20 * time.Millisecond // limit of that reserve
)

// writeRun is a request in progress on the VM that minted its ticket.
type writeRun struct {
	id       wqticket.ID
	request  *wqpb.WriteRequest
	deadline time.Time
	done     chan struct{}
	result   wqticket.Result // set before done is closed
}

// searcherViaHolder identifies a candidate: a searcher and the holder to send to it.
type searcherViaHolder struct{ searcher, holder string }

// runOnce runs a request whose ticket this VM minted. If the request was started
// before, it returns the current result instead.
func (w *Writer[P]) runOnce(ctx context.Context, id wqticket.ID, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	decision, running, err := w.startRun(ctx, id, r)
	if err != nil {
		return nil, err
	}
	return wqwriteresult.Encode(id.String(), w.currentResult(ctx, id, decision, running)), nil
}

// startRun starts a run unless the ledger already has one for the ticket. The run
// continues if the caller of startRun disconnects.
func (w *Writer[P]) startRun(ctx context.Context, id wqticket.ID, r *wqpb.WriteRequest) (wqticket.Decision, *writeRun, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	decision, err := w.Ledger.Begin(id, contentOf(r), now)
	if err != nil || !decision.Run {
		return decision, w.runs[id], err
	}
	if len(w.runs) >= maxRuns {
		rejected := wqticket.Result{Outcome: wqticket.NotRun, Reason: "this VM has too many write-like requests in progress", Remedy: "get a new ticket, from another VM or later"}
		return wqticket.Decision{Result: w.Ledger.Settle(id, rejected)}, nil, nil
	}
	if w.runs == nil {
		w.runs = make(map[wqticket.ID]*writeRun)
	}
	run := &writeRun{id: id, request: r, deadline: sendDeadline(ctx, now), done: make(chan struct{})}
	w.runs[id] = run
	go w.execute(context.WithoutCancel(ctx), run)
	return decision, run, nil
}

func (w *Writer[P]) execute(ctx context.Context, run *writeRun) {
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	defer cancel()
	result := w.sendToCandidates(ctx, run)
	w.mu.Lock()
	defer w.mu.Unlock()
	run.result = w.Ledger.Settle(run.id, result)
	delete(w.runs, run.id)
	close(run.done)
}

// sendToCandidates sends the request to one candidate after another, as long as each
// send is proven not to have run. It returns the last result.
func (w *Writer[P]) sendToCandidates(ctx context.Context, run *writeRun) wqticket.Result {
	result := wqticket.Result{Outcome: wqticket.NotRun, Reason: "no VM can reach the shard", Remedy: "check the service and the shard, then get a new ticket"}
	tried := make(map[searcherViaHolder]bool)
	for range maxSends {
		c, err := w.nextCandidate(run, tried)
		if err != nil {
			return notRunResult(err)
		}
		if c == nil {
			return result
		}
		tried[searcherViaHolder{c.Searcher.ID, c.Holder.ID}] = true
		d := wqticket.Dispatch{Holder: c.Holder.ID, HolderEpoch: c.Holder.Epoch, Searcher: c.Searcher.ID}
		result, err = w.sendTo(ctx, run, c, d)
		if err != nil {
			return notRunResult(err)
		}
		if result.Outcome != wqticket.NotRun {
			return result
		}
	}
	return result
}

// nextCandidate returns the best untried candidate in the current view, or nil if
// there is none. Its error is that of checkSendable.
func (w *Writer[P]) nextCandidate(run *writeRun, tried map[searcherViaHolder]bool) (*wqcandidate.Candidate, error) {
	v := w.View()
	if err := checkSendable(v, run.request); err != nil {
		return nil, err
	}
	for _, c := range w.CandidatePolicy.Rank(v, time.Now(), run.request.GetService(), run.request.GetShard()) {
		if !tried[searcherViaHolder{c.Searcher.ID, c.Holder.ID}] {
			return &c, nil
		}
	}
	return nil, nil
}

// sendTo sends a request to one candidate and returns its outcome. With a fault from
// the ledger, such as Expired, nothing was sent.
func (w *Writer[P]) sendTo(ctx context.Context, run *writeRun, c *wqcandidate.Candidate, d wqticket.Dispatch) (wqticket.Result, error) {
	v := w.View()
	now := time.Now()
	w.mu.Lock()
	err := w.Ledger.Dispatch(run.id, d, run.deadline, now)
	w.mu.Unlock()
	if err != nil {
		return wqticket.Result{}, err
	}
	result := w.dispatch(ctx, c, &wqpb.DispatchWriteRequest{
		Ticket:          run.id.String(),
		Searcher:        c.Searcher.ID,
		Service:         run.request.GetService(),
		Shard:           run.request.GetShard(),
		Body:            run.request.GetBody(),
		RemainingMicros: remainingMicros(sendDeadline(ctx, now).Sub(now)),
		Revision:        v.Index.Topology.Revision,
		HolderEpoch:     c.Holder.Epoch,
	})
	if result.Outcome == wqticket.Pending {
		result = w.pollOutcome(ctx, run.id, d)
	}
	if result.Outcome == wqticket.NotRun {
		w.mu.Lock()
		w.Ledger.Retract(run.id, d)
		w.mu.Unlock()
	}
	return result, nil
}

// dispatch sends the request to the holder once. The outcome Pending means that the
// holder has to be queried for the outcome.
func (w *Writer[P]) dispatch(ctx context.Context, c *wqcandidate.Candidate, r *wqpb.DispatchWriteRequest) wqticket.Result {
	h := w.holderClient(c.Holder.ID, c.Holder.Address)
	reply, err := h.DispatchWrite(ctx, r)
	if err == nil {
		return wqwriteresult.Decode(reply)
	}
	if w.IsUnsent(err) {
		return wqticket.Result{Outcome: wqticket.NotRun, Reason: "no connection to the holder", Remedy: "get a new ticket"}
	}
	return wqticket.Result{Outcome: wqticket.Pending}
}

// checkSendable returns a NotReady or UnknownName fault if the current view does not
// allow a send.
func checkSendable(v *wqview.View, r *wqpb.WriteRequest) error {
	if v.Isolated {
		return wqfault.New(wqfault.NotReady, "this VM is isolated from its peers", "get a ticket from another VM")
	}
	if v.Index.Rule(r.GetTenant(), r.GetClass(), r.GetService()) == nil {
		return wqfault.New(wqfault.UnknownName, "no rule names this tenant, class and service", "use names of a published rule and a new ticket")
	}
	if len(v.Index.Replicas(r.GetService(), r.GetShard())) == 0 {
		return wqfault.New(wqfault.UnknownName, "the service has no such shard", "use a shard of the service and a new ticket")
	}
	return nil
}

func notRunResult(err error) wqticket.Result {
	return wqticket.Result{Outcome: wqticket.NotRun, Reason: err.Error(), Remedy: "get a new ticket"}
}

func contentOf(r *wqpb.WriteRequest) wqticket.Content {
	return wqticket.Content{
		Tenant:  r.GetTenant(),
		Class:   r.GetClass(),
		Service: r.GetService(),
		Shard:   r.GetShard(),
		Body:    r.GetBody(),
	}
}

// sendDeadline returns the deadline of ctx less the reserve for the reply to the
// caller.
func sendDeadline(ctx context.Context, now time.Time) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline.Add(-min(deadline.Sub(now)/replyReserveDivisor, maxReplyReserve))
}

func remainingMicros(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxTimeout).Microseconds())
}
