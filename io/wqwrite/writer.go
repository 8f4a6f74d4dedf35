// Package wqwrite runs write-like requests at most once. The VM that receives a
// request forwards it to the VM that minted its ticket. That VM sends it to a holder,
// and the holder sends it to a searcher. Only the minting VM decides to send, and it
// sends again only if the earlier send is proven not to have run.
//
// # Usage
//
// Set the fields of a Writer and serve its calls. A stopping VM may exit once
// CountOpen returns 0:
//
//	w := &wqwrite.Writer[wqcandidate.NearFirst]{
//		View: view, Ledger: ledger, LocalHolder: dispatcher, PeerClient: peers, IsUnsent: isUnsent,
//	}
//	ticket, err := w.Ticket(ctx, request)
//	reply, err := w.Write(ctx, request)
//	reply, err = w.Outcome(ctx, query)
//
// For a well-formed ticket, Write and Outcome return an outcome. They return a fault
// only for input that can never have run under the ticket, so that a retry does not
// get "not run" from a VM that has no proof of it. For the same reason a front end
// must not reject a Write because of load or a stop.
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
	defaultTimeout = 2 * time.Second  // timeout of a request if the caller sets none
	maxTimeout     = 60 * time.Second // longest timeout that a caller may set
	maxBodyBytes   = 64 << 10         // of the body of a request
	maxNameBytes   = 64               // of each name in a request
	maxSends       = 4                // sends per request, all but the last proven not to have run
	maxRuns        = 4096             // requests in progress under tickets minted by this VM
)

// candidatePolicy ranks the candidates for a shard, pairs of searcher and holder,
// best first.
type candidatePolicy interface {
	Rank(v *wqview.View, now time.Time, service, shard string) []wqcandidate.Candidate
}

// holderService sends write-like requests to searchers and reports their outcomes.
type holderService interface {
	DispatchWrite(context.Context, *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error)
	DispatchOutcome(context.Context, *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error)
}

// Writer serves write-like requests on one VM. Set the exported fields before the
// first call. It is safe for concurrent use.
type Writer[P candidatePolicy] struct {
	View            func() *wqview.View
	Ledger          *wqticket.Ledger                      // Ledger must not be used by others: the Writer serializes access.
	LocalHolder     holderService                         // LocalHolder sends to the searchers held by this VM.
	PeerClient      func(address string) wqpb.PeerService // PeerClient returns the client for the VM at address.
	IsUnsent        func(error) bool                      // IsUnsent reports whether the error of a peer call proves that nothing was sent.
	CandidatePolicy P

	mu   sync.Mutex
	runs map[wqticket.ID]*writeRun
}

// Ticket mints a ticket. Its faults are NotReady, Leaving, UnknownName and
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

// Write runs a request at most once and returns its outcome. Its faults are BadInput
// and Conflict.
func (w *Writer[P]) Write(ctx context.Context, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	id, err := validate(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := withTimeout(ctx, r.GetTimeoutMillis())
	defer cancel()
	if w.mintedHere(id) {
		return w.runOnce(ctx, id, r)
	}
	return w.forwardWrite(ctx, id, r)
}

// Outcome returns the outcome of a ticket. It waits for a request in progress until
// the query's timeout expires. Its fault is BadInput.
func (w *Writer[P]) Outcome(ctx context.Context, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	ctx, cancel := withTimeout(ctx, r.GetTimeoutMillis())
	defer cancel()
	if w.mintedHere(id) {
		return w.lookup(ctx, id)
	}
	return w.forwardOutcome(ctx, id, r)
}

// ForwardWrite handles a request that another VM forwarded because this VM minted its
// ticket. It never forwards the request again.
func (w *Writer[P]) ForwardWrite(ctx context.Context, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	id, err := validate(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := withTimeout(ctx, r.GetTimeoutMillis())
	defer cancel()
	if !w.mintedHere(id) {
		return wqwriteresult.Encode(id.String(), w.queryAllHolders(ctx, id, r)), nil
	}
	reply, err := w.runOnce(ctx, id, r)
	return reply, wqtwirperror.Encode(err)
}

// ForwardOutcome handles an outcome query that another VM forwarded because this VM
// minted the ticket. It never forwards the query again.
func (w *Writer[P]) ForwardOutcome(ctx context.Context, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	ctx, cancel := withTimeout(ctx, r.GetTimeoutMillis())
	defer cancel()
	reply, err := w.lookup(ctx, id)
	return reply, wqtwirperror.Encode(err)
}

// CountOpen returns the number of tickets and requests that a stopping VM has to wait
// for.
func (w *Writer[P]) CountOpen(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Ledger.CountOpen(now)
}

func (w *Writer[P]) mintedHere(id wqticket.ID) bool {
	return id.VM == w.Ledger.VM && id.Epoch == w.Ledger.Epoch
}

// lookup returns the outcome of a ticket minted by this VM, without starting a run.
func (w *Writer[P]) lookup(ctx context.Context, id wqticket.ID) (*wqpb.WriteResponse, error) {
	w.mu.Lock()
	decision, err := w.Ledger.Lookup(id, time.Now())
	running := w.runs[id]
	w.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return wqwriteresult.Encode(id.String(), w.currentResult(ctx, id, decision, running)), nil
}

// currentResult returns the result of a request that was started before. It waits for
// a run in progress and, if the outcome is Unknown, queries the holder again.
func (w *Writer[P]) currentResult(ctx context.Context, id wqticket.ID, decision wqticket.Decision, running *writeRun) wqticket.Result {
	if running != nil {
		decision = w.awaitRun(ctx, id, running)
	}
	if decision.Result.Outcome != wqticket.Unknown || decision.LastDispatch.Holder == "" {
		return decision.Result
	}
	return w.settle(id, decision.LastDispatch, w.queryFinalOutcome(ctx, id, decision.LastDispatch))
}

func (w *Writer[P]) awaitRun(ctx context.Context, id wqticket.ID, run *writeRun) wqticket.Decision {
	select {
	case <-run.done:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	decision, _ := w.Ledger.Lookup(id, time.Now())
	switch decision.Result.Outcome {
	case wqticket.Pending:
		decision.Result.Reason = "the request is in progress"
		decision.Result.Remedy = "query the outcome"
	case run.result.Outcome:
		decision.Result = run.result // The ledger may not have had room for the reply.
	}
	return decision
}

// settle records the outcome that a holder reported for dispatch d.
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
		return wqfault.New(wqfault.Leaving, "this VM is stopping", "get a ticket from another VM")
	}
	if !v.AcceptsRequests() {
		return wqfault.New(wqfault.NotReady, "this VM has no configuration or too few peers", "get a ticket from another VM")
	}
	return nil
}

// validate returns the ticket of a request. It returns a BadInput fault for limits
// that are the same on every VM.
func validate(r *wqpb.WriteRequest) (wqticket.ID, error) {
	if len(r.GetBody()) > maxBodyBytes {
		return wqticket.ID{}, wqfault.New(wqfault.BadInput, "the body is over 64 KiB", "send a smaller body")
	}
	for _, name := range []string{r.GetTenant(), r.GetClass(), r.GetService(), r.GetShard()} {
		if len(name) > maxNameBytes {
			return wqticket.ID{}, wqfault.New(wqfault.BadInput, "a name is over 64 bytes", "use the names of the published configuration")
		}
	}
	if r.GetTicket() == "" {
		return wqticket.ID{}, wqfault.New(wqfault.BadInput, "the ticket is missing", "get a ticket with Ticket and store it before you send the request")
	}
	return wqticket.Parse(r.GetTicket())
}

func withTimeout(ctx context.Context, millis uint32) (context.Context, context.CancelFunc) {
	timeout := time.Duration(millis) * time.Millisecond
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return context.WithTimeout(ctx, min(timeout, maxTimeout))
}
