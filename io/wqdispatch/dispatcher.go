// Package wqdispatch is the holder's side of write-like requests. It sends each
// ticket to a searcher at most once, also when calls are repeated, and returns the
// outcome of the send.
//
// # Usage
//
//	dispatcher := wqdispatch.New(epoch, ticketTTL)
//	dispatcher.Send = holder.DispatchWrite
//	reply, err := dispatcher.DispatchWrite(ctx, request)
//	reply, err = dispatcher.DispatchOutcome(ctx, outcomeRequest)
//
// A send continues when its call is cancelled or reaches its deadline, so that the
// outcome can be queried later. A VM that stops waits until InFlight returns 0.
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
	maxRequests    = 1 << 17          // requests recorded in memory
	maxReplyBytes  = 16 << 20         // all recorded replies together, in bytes
	maxCallTimeout = 60 * time.Second // limit of the remaining time that a call may set
	retentionTTLs  = 2                // retention of the record of a request, in ticket TTLs
	replyGrace     = 5 * time.Second  // how long after the deadline of a request its reply is still awaited
)

// Dispatcher sends each ticket to a searcher at most once. It is safe for concurrent
// use.
type Dispatcher struct {
	// Send sends the request to the searcher once, before the request's deadline,
	// and may wait for the reply longer. Only an error of a kind that is NotRun
	// proves that the searcher did not run the request.
	Send func(context.Context, *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error)

	mu       sync.Mutex
	fence    wqfence.Fence
	inFlight map[wqfence.Key]*inFlightSend
}

// inFlightSend is a send in progress.
type inFlightSend struct {
	done   chan struct{}
	result wqticket.Result // set before done is closed
}

// New returns the Dispatcher of a holder for tickets with the given TTL. epoch
// identifies this start of the holder's process.
func New(epoch uint64, ticketTTL time.Duration) *Dispatcher {
	return &Dispatcher{
		fence:    wqfence.Fence{Epoch: epoch, Retention: retentionTTLs * ticketTTL, MaxCount: maxRequests, MaxBytes: maxReplyBytes},
		inFlight: make(map[wqfence.Key]*inFlightSend),
	}
}

// DispatchWrite sends a write-like request to its searcher unless an earlier call
// did. It waits for the result until the request's deadline and returns Pending if
// there is none by then. Its errors are BadInput faults.
func (d *Dispatcher) DispatchWrite(ctx context.Context, r *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	k := wqfence.KeyOf(id, r.GetSearcher())
	admitted, result := d.admit(k, r.GetHolderEpoch())
	if admitted {
		go d.send(context.WithoutCancel(ctx), k, r)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout(r.GetRemainingMicros()))
	defer cancel()
	return wqwriteresult.Encode(r.GetTicket(), d.awaitResult(ctx, k, result)), nil
}

// DispatchOutcome returns the outcome of a DispatchWrite. It waits for a send in
// progress until the request's deadline and returns Pending if it has not ended by
// then. A ticket without a record is refused from then on. Its errors are BadInput
// faults.
func (d *Dispatcher) DispatchOutcome(ctx context.Context, r *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error) {
	id, err := wqticket.Parse(r.GetTicket())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout(r.GetRemainingMicros()))
	defer cancel()
	k := wqfence.KeyOf(id, r.GetSearcher())
	result := d.lookupOrRefuse(k, r.GetHolderEpoch())
	return wqwriteresult.Encode(r.GetTicket(), d.awaitResult(ctx, k, result)), nil
}

// InFlight returns the number of sends in progress.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.inFlight)
}

func (d *Dispatcher) admit(k wqfence.Key, epoch uint64) (bool, wqticket.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	admitted, result := d.fence.Admit(k, epoch, time.Now())
	if admitted {
		d.inFlight[k] = &inFlightSend{done: make(chan struct{})}
	}
	return admitted, result
}

func (d *Dispatcher) lookupOrRefuse(k wqfence.Key, epoch uint64) wqticket.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence.LookupOrRefuse(k, epoch, time.Now())
}

// send sends an admitted request and records the result. It does not end with the
// call but replyGrace after the request's deadline, so that a reply after the
// deadline is recorded.
func (d *Dispatcher) send(ctx context.Context, k wqfence.Key, r *wqpb.DispatchWriteRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout(r.GetRemainingMicros())+replyGrace)
	defer cancel()
	reply, err := d.Send(ctx, r)
	result := wqwriteresult.Decode(reply)
	if err != nil {
		result = errorResult(err)
	}
	if result.Outcome == wqticket.Pending {
		result.Outcome = wqticket.Unknown
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence.Finish(k, result)
	send := d.inFlight[k]
	send.result = result
	close(send.done)
	delete(d.inFlight, k)
}

// awaitResult returns result unless it is Pending. Then it waits for the send in
// progress and returns its result, or Pending if ctx ends before.
func (d *Dispatcher) awaitResult(ctx context.Context, k wqfence.Key, result wqticket.Result) wqticket.Result {
	if result.Outcome != wqticket.Pending {
		return result
	}
	d.mu.Lock()
	send := d.inFlight[k]
	d.mu.Unlock()
	if send == nil {
		return d.lookupOrRefuse(k, 0)
	}
	select {
	case <-send.done:
		return send.result
	case <-ctx.Done():
		return result
	}
}

func errorResult(err error) wqticket.Result {
	if wqfault.KindOf(err).NotRun() {
		return wqticket.Result{Outcome: wqticket.NotRun, Reason: err.Error(), Remedy: "get a new ticket"}
	}
	return wqticket.Result{Outcome: wqticket.Unknown, Reason: err.Error(), Remedy: "look the result up in the service"}
}

func callTimeout(micros uint32) time.Duration {
	return min(time.Duration(micros)*time.Microsecond, maxCallTimeout)
}
