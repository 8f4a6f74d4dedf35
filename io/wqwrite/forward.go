package wqwrite

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqticket"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtwirperror"
	"wisteriaquay/io/wqwriteresult"
)

// forwardWrite forwards a request to the VM that minted its ticket. The call may be
// retried, because that VM runs the request at most once.
func (w *Writer[P]) forwardWrite(ctx context.Context, id wqticket.ID, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	f := &forwardedCall{id: id}
	f.call = func(ctx context.Context, p wqpb.PeerService) (*wqpb.WriteResponse, error) {
		sent := proto.CloneOf(r)
		sent.TimeoutMillis = forwardTimeoutMillis(ctx)
		return p.ForwardWrite(ctx, sent)
	}
	f.fallback = func() wqticket.Result { return w.queryAllHolders(ctx, id, r) }
	return w.forward(ctx, f)
}

// forwardOutcome forwards an outcome query to the VM that minted the ticket.
func (w *Writer[P]) forwardOutcome(ctx context.Context, id wqticket.ID, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	f := &forwardedCall{id: id, fallback: minterStopped}
	f.call = func(ctx context.Context, p wqpb.PeerService) (*wqpb.WriteResponse, error) {
		return p.ForwardOutcome(ctx, &wqpb.OutcomeRequest{Ticket: r.GetTicket(), TimeoutMillis: forwardTimeoutMillis(ctx)})
	}
	return w.forward(ctx, f)
}

// forwardedCall is a call to the VM that minted a ticket, with its retries.
type forwardedCall struct {
	id       wqticket.ID
	call     func(context.Context, wqpb.PeerService) (*wqpb.WriteResponse, error)
	fallback func() wqticket.Result // fallback determines the outcome without that VM.
}

// forward retries a call with exponential backoff until the VM that minted the
// ticket replies, has stopped or restarted, or ctx ends. In the last two cases the
// result comes from the fallback or is Unknown.
func (w *Writer[P]) forward(ctx context.Context, f *forwardedCall) (*wqpb.WriteResponse, error) {
	delay := minRetryDelay
	for {
		m, found := w.minter(f.id)
		if !found {
			return wqwriteresult.Encode(f.id.String(), f.fallback()), nil
		}
		reply, err := f.call(ctx, w.PeerClient(m.Address))
		if err == nil {
			return reply, nil
		}
		if fault := wqtwirperror.Decode(err); isFinal(fault) {
			return nil, fault
		}
		if r := w.tryFallback(f, err); r.Outcome == wqticket.Done {
			return wqwriteresult.Encode(f.id.String(), r), nil
		}
		if !sleep(ctx, delay) {
			return wqwriteresult.Encode(f.id.String(), minterUnresponsive()), nil
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// tryFallback returns the result of the fallback if err proves that the request did
// not reach the minting VM, else an empty result. Only the outcome Done is
// conclusive: the minting VM may still be running.
func (w *Writer[P]) tryFallback(f *forwardedCall, err error) wqticket.Result {
	if !w.IsUnsent(err) {
		return wqticket.Result{}
	}
	return f.fallback()
}

// minter returns the VM that minted a ticket. It returns false if that VM is not a
// member, has restarted with a newer epoch, or is this VM after a restart.
func (w *Writer[P]) minter(id wqticket.ID) (wqmember.Member, bool) {
	m, found := w.View().Members[id.VM]
	return m, found && m.Epoch <= id.Epoch && id.VM != w.Ledger.VM
}

// isFinal reports whether the fault of the minting VM will not change with a retry.
func isFinal(err error) bool {
	k := wqfault.KindOf(err)
	return k == wqfault.BadInput || k == wqfault.Conflict
}

// forwardTimeoutMillis returns the time left for a forwarded call, in milliseconds,
// less the reserve for the reply to the caller.
func forwardTimeoutMillis(ctx context.Context) uint32 {
	remaining := time.Until(sendDeadline(ctx, time.Now()))
	return uint32(max(remaining.Milliseconds(), 1))
}

func minterUnresponsive() wqticket.Result {
	return wqticket.Result{
		Outcome: wqticket.Unknown,
		Reason:  "the VM that minted the ticket does not reply",
		Remedy:  "query the outcome again, or send the same request under the same ticket",
	}
}
