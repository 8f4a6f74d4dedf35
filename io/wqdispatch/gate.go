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
// A send goes on when the call that asked for it is lost, until its own deadline,
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
	"wisteriaquay/io/wqresult"
)

const (
	maxCount     = 1 << 17          // maxCount bounds the requests in memory.
	maxBytes     = 16 << 20         // maxBytes bounds the replies in memory, in bytes.
	maxRemaining = 60 * time.Second // maxRemaining bounds the time that a call may ask for.
	keepLives    = 2                // keepLives is how many lives of a ticket its record is kept.
)

// Gate lets each ticket through once. It is safe for concurrent use.
type Gate struct {
	// Send sends the request to the searcher once. An error whose kind is
	// NotRun, and only that, proves that nothing ran.
	Send func(context.Context, *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error)

	mu      sync.Mutex
	fence   wqfence.Fence
	running map[wqfence.Key]chan struct{}
}

// New returns the gate of one start of a holder, for tickets of the given life.
func New(epoch uint64, ticketLife time.Duration) *Gate {
	return &Gate{
		fence:   wqfence.Fence{Epoch: epoch, Keep: keepLives * ticketLife, MaxCount: maxCount, MaxBytes: maxBytes},
		running: make(map[wqfence.Key]chan struct{}),
	}
}

// DispatchWrite sends a write-like request to its searcher, unless it was here
// before; then it returns what is known, after waiting for a send that is in
// progress. Its errors are BadInput faults.
func (g *Gate) DispatchWrite(ctx context.Context, r *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	k := wqfence.KeyOf(id, r.GetSearcher())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining(r.GetRemainingMicros()))
	defer cancel()
	run, known := g.admit(k, r.GetHolderEpoch())
	if !run {
		return wqresult.Encode(r.GetTicket(), g.settled(ctx, k, known)), nil
	}
	sent := g.send(ctx, r)
	g.finish(k, sent)
	return wqresult.Encode(r.GetTicket(), sent), nil
}

// DispatchOutcome returns what became of a DispatchWrite, after waiting for a
// send that is in progress. Its errors are BadInput faults.
func (g *Gate) DispatchOutcome(ctx context.Context, r *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, remaining(r.GetRemainingMicros()))
	defer cancel()
	k := wqfence.KeyOf(id, r.GetSearcher())
	known := g.ask(k, r.GetHolderEpoch())
	return wqresult.Encode(r.GetTicket(), g.settled(ctx, k, known)), nil
}

// Active returns how many sends are in progress.
func (g *Gate) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

func (g *Gate) admit(k wqfence.Key, epoch uint64) (bool, wqticket.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	run, known := g.fence.Admit(k, epoch, time.Now())
	if run {
		g.running[k] = make(chan struct{})
	}
	return run, known
}

func (g *Gate) ask(k wqfence.Key, epoch uint64) wqticket.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fence.Ask(k, epoch, time.Now())
}

func (g *Gate) finish(k wqfence.Key, r wqticket.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence.Finish(k, r)
	close(g.running[k])
	delete(g.running, k)
}

// settled waits while a send is in progress, until ctx ends.
func (g *Gate) settled(ctx context.Context, k wqfence.Key, known wqticket.Result) wqticket.Result {
	if known.Outcome != wqticket.Pending {
		return known
	}
	g.mu.Lock()
	done := g.running[k]
	g.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return known
		}
	}
	return g.ask(k, 0)
}

func (g *Gate) send(ctx context.Context, r *wqpb.DispatchWriteRequest) wqticket.Result {
	reply, err := g.Send(ctx, r)
	if err != nil {
		return failed(err)
	}
	sent := wqresult.Decode(reply)
	if sent.Outcome == wqticket.Pending {
		sent.Outcome = wqticket.Unknown
	}
	return sent
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
