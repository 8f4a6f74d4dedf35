// Package wqwrite runs write-like requests at most once. A request goes from any
// VM to the VM that minted its ticket, from there to a holder, and from the
// holder to a searcher. Only the VM that minted the ticket decides to send, and
// it sends a second time only on proof that the first send did not run.
//
// # Usage
//
// Set the fields of a Writer, serve its calls, and stop the VM once Open is 0:
//
//	w := &wqwrite.Writer[wqcandidate.NearFirst]{View: view, Ledger: ledger, Local: gate, Peers: peers}
//	ticket, err := w.Ticket(ctx, request)
//	reply, err := w.Write(ctx, request)
//	reply, err = w.Outcome(ctx, question)
//
// Write and Outcome answer with an outcome once a ticket is well formed. They
// return a fault only for input that never can have run under the ticket, so
// that a repeated request is never told "not run" by a VM that can't know. A
// front end must not refuse a Write for load or for a stop by itself.
package wqwrite

import (
	"context"
	"sync"
	"time"

	"wisteriaquay/core/wqcandidate"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqticket"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtwirperror"
	"wisteriaquay/io/wqwriteresult"
)

const (
	defaultTimeout = 2 * time.Second  // defaultTimeout is how long an answer takes at most when the caller names no time.
	maxTimeout     = 60 * time.Second // maxTimeout bounds the time that a caller may name.
	maxBodyBytes   = 64 << 10         // maxBodyBytes bounds the body of a request.
	maxNameBytes   = 64               // maxNameBytes bounds each name in a request.
	maxSends       = 4                // maxSends bounds the sends of one request, all but the last proven not to have run.
	maxRuns        = 4096             // maxRuns bounds the requests in progress that this VM minted the tickets of.
)

// policy orders the ways to a shard, best first.
type policy interface {
	Rank(v *wqview.View, now time.Time, service, shard string) []wqcandidate.Candidate
}

// holder sends write-like requests to searchers.
type holder interface {
	DispatchWrite(context.Context, *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error)
	DispatchOutcome(context.Context, *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error)
}

// Writer is one VM's part in write-like requests. Set the exported fields before
// the first call. It is safe for concurrent use.
type Writer[P policy] struct {
	View            func() *wqview.View
	Ledger          *wqticket.Ledger                      // Ledger is used by this Writer only.
	LocalHolder     holder                                // LocalHolder is this VM's own gate to its searchers.
	PeerClient      func(address string) wqpb.PeerService // PeerClient returns the client of another VM.
	IsUnsent        func(error) bool                      // IsUnsent reports whether a peer call's error proves that nothing was sent.
	CandidatePolicy P

	mu   sync.Mutex
	runs map[wqticket.ID]*run
}

// Ticket mints a ticket. Its faults are NotReady, Leaving, Unknown and
// Overloaded.
func (w *Writer[P]) Ticket(_ context.Context, r *wqpb.TicketRequest) (*wqpb.TicketResponse, error) {
	v := w.View()
	if err := readyForTickets(v); err != nil {
		return nil, err
	}
	if v.Index.Rule(r.GetTenant(), r.GetClass(), r.GetService()) == nil {
		return nil, wqfault.New(wqfault.UnknownName, "no rule names this tenant, class and service", "use names of a published rule")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id, err := w.Ledger.Mint(time.Now())
	if err != nil {
		return nil, err
	}
	return &wqpb.TicketResponse{Ticket: id.String(), ValidMillis: uint64(w.Ledger.TTL.Milliseconds())}, nil
}

// Write runs a request at most once and answers with its outcome. Its faults
// are BadInput and Conflict.
func (w *Writer[P]) Write(ctx context.Context, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	id, err := check(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := within(ctx, r.GetTimeoutMillis())
	defer cancel()
	if w.mine(id) {
		return w.runOnce(ctx, id, r)
	}
	return w.forwardWrite(ctx, id, r)
}

// Outcome answers with what is known of a ticket, after waiting for a request in
// progress. Its faults are BadInput.
func (w *Writer[P]) Outcome(ctx context.Context, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	ctx, cancel := within(ctx, r.GetTimeoutMillis())
	defer cancel()
	if w.mine(id) {
		return w.look(ctx, id)
	}
	return w.forwardOutcome(ctx, id, r)
}

// ForwardWrite takes a request that another VM forwards because this one minted
// its ticket. It never forwards again.
func (w *Writer[P]) ForwardWrite(ctx context.Context, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	id, err := check(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := within(ctx, r.GetTimeoutMillis())
	defer cancel()
	if !w.mine(id) {
		return wqwriteresult.Encode(id.String(), w.askAll(ctx, id, r)), nil
	}
	reply, err := w.runOnce(ctx, id, r)
	return reply, wqtwirperror.Encode(err)
}

// ForwardOutcome takes a question that another VM forwards because this one
// minted the ticket. It never forwards again.
func (w *Writer[P]) ForwardOutcome(ctx context.Context, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	ctx, cancel := within(ctx, r.GetTimeoutMillis())
	defer cancel()
	reply, err := w.look(ctx, id)
	return reply, wqtwirperror.Encode(err)
}

// CountOpen counts the tickets and requests that a stopping VM has to wait for.
func (w *Writer[P]) CountOpen(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Ledger.CountOpen(now)
}

func (w *Writer[P]) mine(id wqticket.ID) bool {
	return id.VM == w.Ledger.VM && id.Epoch == w.Ledger.Epoch
}

// look answers for a ticket of this VM without letting it run.
func (w *Writer[P]) look(ctx context.Context, id wqticket.ID) (*wqpb.WriteResponse, error) {
	w.mu.Lock()
	step, err := w.Ledger.Lookup(id, time.Now())
	running := w.runs[id]
	w.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return wqwriteresult.Encode(id.String(), w.known(ctx, id, step, running)), nil
}

// known returns the best answer for a ticket whose request was begun before: it
// waits for a run in progress and asks the holder again when the outcome is
// unknown.
func (w *Writer[P]) known(ctx context.Context, id wqticket.ID, step wqticket.Decision, running *run) wqticket.Result {
	if running != nil {
		step = w.await(ctx, id, running)
	}
	if step.Result.Outcome != wqticket.Unknown || step.LastDispatch.Holder == "" {
		return step.Result
	}
	return w.settle(id, step.LastDispatch, w.askHolder(ctx, id, step.LastDispatch))
}

func (w *Writer[P]) await(ctx context.Context, id wqticket.ID, n *run) wqticket.Decision {
	select {
	case <-n.done:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	step, _ := w.Ledger.Lookup(id, time.Now())
	switch step.Result.Outcome {
	case wqticket.Pending:
		step.Result.Reason = "the request is in progress"
		step.Result.Remedy = "ask for the outcome"
	case n.result.Outcome:
		step.Result = n.result // the ledger may lack the room for the reply
	}
	return step
}

// settle records the holder's word on the send d.
func (w *Writer[P]) settle(id wqticket.ID, d wqticket.Dispatch, r wqticket.Result) wqticket.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Outcome == wqticket.NotRun {
		w.Ledger.Retract(id, d)
	}
	return w.Ledger.Settle(id, r)
}

func readyForTickets(v *wqview.View) error {
	if v != nil && v.RefusesRequests {
		return wqfault.New(wqfault.Leaving, "this VM is stopping", "ask another VM for a ticket")
	}
	if !v.AcceptsRequests() {
		return wqfault.New(wqfault.NotReady, "this VM has no configuration or too few peers", "ask another VM for a ticket")
	}
	return nil
}

// check returns the ticket of a request, or a BadInput fault for bounds that the
// request breaks whichever VM it reaches.
func check(r *wqpb.WriteRequest) (wqticket.ID, error) {
	if len(r.GetBody()) > maxBodyBytes {
		return wqticket.ID{}, wqfault.New(wqfault.BadInput, "the body is over 64 KiB", "send a smaller body")
	}
	for _, name := range []string{r.GetTenant(), r.GetClass(), r.GetService(), r.GetShard()} {
		if len(name) > maxNameBytes {
			return wqticket.ID{}, wqfault.New(wqfault.BadInput, "a name is over 64 bytes", "use the names of the published configuration")
		}
	}
	if r.GetTicket() == "" {
		return wqticket.ID{}, wqfault.New(wqfault.BadInput, "the ticket is missing", "get one with Ticket and keep it before you send the request")
	}
	return wqticket.Parse(r.GetTicket())
}

func within(ctx context.Context, millis uint32) (context.Context, context.CancelFunc) {
	timeout := time.Duration(millis) * time.Millisecond
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return context.WithTimeout(ctx, min(timeout, maxTimeout))
}
