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
	answerShare = 10                    // answerShare is the part of a request's time that is left for the answer's way back: one tenth.
	answerMost  = 20 * time.Millisecond // answerMost bounds that part.
)

// run is one request in progress at the VM that minted its ticket.
type run struct {
	id       wqticket.ID
	request  *wqpb.WriteRequest
	deadline time.Time
	done     chan struct{}
	result   wqticket.Result // result is set before done is closed.
}

// way is one pair of searcher and holder that was tried.
type way struct{ searcher, holder string }

// runOnce runs a request whose ticket this VM minted, or answers with what is
// known of it.
func (w *Writer[P]) runOnce(ctx context.Context, id wqticket.ID, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	step, running, err := w.begin(ctx, id, r)
	if err != nil {
		return nil, err
	}
	return wqwriteresult.Encode(id.String(), w.known(ctx, id, step, running)), nil
}

// begin starts the run of a request that is here for the first time. The run
// does not end with the call that began it.
func (w *Writer[P]) begin(ctx context.Context, id wqticket.ID, r *wqpb.WriteRequest) (wqticket.Decision, *run, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	step, err := w.Ledger.Begin(id, contentOf(r), now)
	if err != nil || !step.Run {
		return step, w.runs[id], err
	}
	if len(w.runs) >= maxRuns {
		busy := wqticket.Result{Outcome: wqticket.NotRun, Reason: "this VM has too many write-like requests in progress", Remedy: "get a new ticket, from another VM or later"}
		return wqticket.Decision{Result: w.Ledger.Settle(id, busy)}, nil, nil
	}
	if w.runs == nil {
		w.runs = make(map[wqticket.ID]*run)
	}
	n := &run{id: id, request: r, deadline: sendDeadline(ctx, now), done: make(chan struct{})}
	w.runs[id] = n
	go w.run(context.WithoutCancel(ctx), n)
	return step, n, nil
}

func (w *Writer[P]) run(ctx context.Context, n *run) {
	ctx, cancel := context.WithDeadline(ctx, n.deadline)
	defer cancel()
	result := w.sendUntilRun(ctx, n)
	w.mu.Lock()
	defer w.mu.Unlock()
	n.result = w.Ledger.Settle(n.id, result)
	delete(w.runs, n.id)
	close(n.done)
}

// sendUntilRun tries one way after the other for as long as each is proven not
// to have run.
func (w *Writer[P]) sendUntilRun(ctx context.Context, n *run) wqticket.Result {
	last := wqticket.Result{Outcome: wqticket.NotRun, Reason: "no VM can reach the shard", Remedy: "check the service and the shard, then get a new ticket"}
	tried := make(map[way]bool)
	for range maxSends {
		c, err := w.next(n, tried)
		if err != nil {
			return notRun(err)
		}
		if c == nil {
			return last
		}
		tried[way{c.Searcher.ID, c.Holder.ID}] = true
		d := wqticket.Dispatch{Holder: c.Holder.ID, HolderEpoch: c.Holder.Epoch, Searcher: c.Searcher.ID}
		last, err = w.sendOnce(ctx, n, c, d)
		if err != nil {
			return notRun(err)
		}
		if last.Outcome != wqticket.NotRun {
			return last
		}
	}
	return last
}

// next returns the best way that was not tried yet by the newest view, or nil.
func (w *Writer[P]) next(n *run, tried map[way]bool) (*wqcandidate.Candidate, error) {
	v := w.View()
	if err := sendable(v, n.request); err != nil {
		return nil, err
	}
	for _, c := range w.CandidatePolicy.Rank(v, time.Now(), n.request.GetService(), n.request.GetShard()) {
		if !tried[way{c.Searcher.ID, c.Holder.ID}] {
			return &c, nil
		}
	}
	return nil, nil
}

// sendOnce sends a request one way. Its fault means that the time has passed
// and that nothing was sent.
func (w *Writer[P]) sendOnce(ctx context.Context, n *run, c *wqcandidate.Candidate, d wqticket.Dispatch) (wqticket.Result, error) {
	v := w.View()
	now := time.Now()
	w.mu.Lock()
	err := w.Ledger.Dispatch(n.id, d, n.deadline, now)
	w.mu.Unlock()
	if err != nil {
		return wqticket.Result{}, err
	}
	result := w.dispatch(ctx, c, &wqpb.DispatchWriteRequest{
		Ticket:          n.id.String(),
		Searcher:        c.Searcher.ID,
		Service:         n.request.GetService(),
		Shard:           n.request.GetShard(),
		Body:            n.request.GetBody(),
		RemainingMicros: micros(sendDeadline(ctx, now).Sub(now)),
		Revision:        v.Index.Topology.Revision,
		HolderEpoch:     c.Holder.Epoch,
	})
	if result.Outcome == wqticket.Pending {
		result = w.askUntil(ctx, n.id, d)
	}
	if result.Outcome == wqticket.NotRun {
		w.mu.Lock()
		w.Ledger.Retract(n.id, d)
		w.mu.Unlock()
	}
	return result, nil
}

// dispatch calls the holder once. Pending means that the holder is to be asked.
func (w *Writer[P]) dispatch(ctx context.Context, c *wqcandidate.Candidate, r *wqpb.DispatchWriteRequest) wqticket.Result {
	h := w.holderAt(c.Holder.ID, c.Holder.Address)
	reply, err := h.DispatchWrite(ctx, r)
	if err == nil {
		return wqwriteresult.Decode(reply)
	}
	if w.IsUnsent(err) {
		return wqticket.Result{Outcome: wqticket.NotRun, Reason: "no connection to the holder", Remedy: "get a new ticket"}
	}
	return wqticket.Result{Outcome: wqticket.Pending}
}

// sendable returns the reason why the newest configuration forbids a send.
func sendable(v *wqview.View, r *wqpb.WriteRequest) error {
	if v.Isolated {
		return wqfault.New(wqfault.NotReady, "this VM is cut off from its peers", "get a ticket from another VM")
	}
	if v.Index.Rule(r.GetTenant(), r.GetClass(), r.GetService()) == nil {
		return wqfault.New(wqfault.UnknownName, "no rule names this tenant, class and service", "use names of a published rule and a new ticket")
	}
	if len(v.Index.Replicas(r.GetService(), r.GetShard())) == 0 {
		return wqfault.New(wqfault.UnknownName, "the service has no such shard", "use a shard of the service and a new ticket")
	}
	return nil
}

func notRun(err error) wqticket.Result {
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

// sendDeadline leaves time for the answer's way back to the caller.
func sendDeadline(ctx context.Context, now time.Time) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline.Add(-min(deadline.Sub(now)/answerShare, answerMost))
}

func micros(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxTimeout).Microseconds())
}
