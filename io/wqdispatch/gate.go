// Package wqdispatch is the holder's side of write-like requests: it lets each
// ticket through to a searcher at most once, whatever calls come in, and answers
// what became of it.
//
// # Usage
//
//	gate := wqdispatch.New(epoch, ticketLife)
//	gate.Send = holder.DispatchWrite
//	reply, err := gate.DispatchWrite(ctx, request)
//	reply, err = gate.DispatchOutcome(ctx, question)
//
// A send goes on when the call that asked for it is lost or its time has passed,
// so that its outcome can be asked for. A stopping VM waits until Active is 0.
package wqdispatch

import (
	"context"
	"sync"
	"time"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqfence"
	"wisteriaquay/core/wqticket"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqwriteresult"
)

const (
	maxCount     = 1 << 17          // maxCount bounds the requests in memory.
	maxBytes     = 16 << 20         // maxBytes bounds the replies in memory, in bytes.
	maxRemaining = 60 * time.Second // maxRemaining bounds the time that a call may ask for.
	keepLives    = 2                // keepLives is how many lives of a ticket its record is kept.
	lateReply    = 5 * time.Second  // lateReply is how long after a request's time its reply is still waited for.
)

// Dispatcher lets each ticket through once. It is safe for concurrent use.
type Dispatcher struct {
	// Send sends the request to the searcher once, within the request's time, and
	// may wait for the reply longer. An error whose kind is
	// NotRun, and only that, proves that nothing ran.
	Send func(context.Context, *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error)

	mu      sync.Mutex
	fence   wqfence.Fence
	running map[wqfence.Key]*sending
}

// sending is one send in progress.
type sending struct {
	done   chan struct{}
	result wqticket.Result // result is set before done is closed.
}

// New returns the gate of one start of a holder, for tickets of the given life.
func New(epoch uint64, ticketLife time.Duration) *Dispatcher {
	return &Dispatcher{
		fence:   wqfence.Fence{Epoch: epoch, Retention: keepLives * ticketLife, MaxCount: maxCount, MaxBytes: maxBytes},
		running: make(map[wqfence.Key]*sending),
	}
}

// DispatchWrite sends a write-like request to its searcher, unless it was here
// before. It waits for the send within the request's time and returns what is
// known then, Pending if nothing is. Its errors are BadInput faults.
func (g *Dispatcher) DispatchWrite(ctx context.Context, r *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	k := wqfence.KeyOf(id, r.GetSearcher())
	run, known := g.admit(k, r.GetHolderEpoch())
	if run {
		go g.send(context.WithoutCancel(ctx), k, r)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining(r.GetRemainingMicros()))
	defer cancel()
	return wqwriteresult.Encode(r.GetTicket(), g.settled(ctx, k, known)), nil
}

// DispatchOutcome returns what became of a DispatchWrite, after waiting for a
// send that is in progress. Its errors are BadInput faults.
func (g *Dispatcher) DispatchOutcome(ctx context.Context, r *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, remaining(r.GetRemainingMicros()))
	defer cancel()
	k := wqfence.KeyOf(id, r.GetSearcher())
	known := g.ask(k, r.GetHolderEpoch())
	return wqwriteresult.Encode(r.GetTicket(), g.settled(ctx, k, known)), nil
}

// InFlight returns how many sends are in progress.
func (g *Dispatcher) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

func (g *Dispatcher) admit(k wqfence.Key, epoch uint64) (bool, wqticket.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	run, known := g.fence.Admit(k, epoch, time.Now())
	if run {
		g.running[k] = &sending{done: make(chan struct{})}
	}
	return run, known
}

func (g *Dispatcher) ask(k wqfence.Key, epoch uint64) wqticket.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fence.LookupOrRefuse(k, epoch, time.Now())
}

// send makes the one send of a request. It ends with the send's own deadline and
// not with the call, so that a late reply is not lost.
func (g *Dispatcher) send(ctx context.Context, k wqfence.Key, r *wqpb.DispatchWriteRequest) {
	ctx, cancel := context.WithTimeout(ctx, remaining(r.GetRemainingMicros())+lateReply)
	defer cancel()
	reply, err := g.Send(ctx, r)
	sent := wqwriteresult.Decode(reply)
	if err != nil {
		sent = failed(err)
	}
	if sent.Outcome == wqticket.Pending {
		sent.Outcome = wqticket.Unknown
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence.Finish(k, sent)
	n := g.running[k]
	n.result = sent
	close(n.done)
	delete(g.running, k)
}

// settled waits while a send is in progress, until ctx ends.
func (g *Dispatcher) settled(ctx context.Context, k wqfence.Key, known wqticket.Result) wqticket.Result {
	if known.Outcome != wqticket.Pending {
		return known
	}
	g.mu.Lock()
	n := g.running[k]
	g.mu.Unlock()
	if n == nil {
		return g.ask(k, 0)
	}
	select {
	case <-n.done:
		return n.result
	case <-ctx.Done():
		return known
	}
}

func failed(err error) wqticket.Result {
	if wqfault.KindOf(err).NotRun() {
		return wqticket.Result{Outcome: wqticket.NotRun, Reason: err.Error(), Remedy: "get a new ticket"}
	}
	return wqticket.Result{Outcome: wqticket.Unknown, Reason: err.Error(), Remedy: "look the result up in the service"}
}

func remaining(micros uint32) time.Duration {
	return min(time.Duration(micros)*time.Microsecond, maxRemaining)
}
