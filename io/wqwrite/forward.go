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

// forwardWrite hands a request to the VM that minted its ticket. The call may be
// repeated, as that VM runs it once.
func (w *Writer[P]) forwardWrite(ctx context.Context, id wqticket.ID, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	f := &forwarding{id: id}
	f.call = func(ctx context.Context, p wqpb.PeerService) (*wqpb.WriteResponse, error) {
		sent := proto.CloneOf(r)
		sent.TimeoutMillis = forwardMillis(ctx)
		return p.ForwardWrite(ctx, sent)
	}
	f.absent = func() wqticket.Result { return w.askAll(ctx, id, r) }
	return w.forward(ctx, f)
}

// forwardOutcome hands a question to the VM that minted the ticket.
func (w *Writer[P]) forwardOutcome(ctx context.Context, id wqticket.ID, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	f := &forwarding{id: id, absent: gone}
	f.call = func(ctx context.Context, p wqpb.PeerService) (*wqpb.WriteResponse, error) {
		return p.ForwardOutcome(ctx, &wqpb.OutcomeRequest{Ticket: r.GetTicket(), TimeoutMillis: forwardMillis(ctx)})
	}
	return w.forward(ctx, f)
}

// forwarding is one call to the VM that minted a ticket.
type forwarding struct {
	id     wqticket.ID
	call   func(context.Context, wqpb.PeerService) (*wqpb.WriteResponse, error)
	absent func() wqticket.Result // absent finds out what can be known without that VM.
}

// forward repeats a call until the VM that minted the ticket answers, is known
// to be gone, or ctx ends.
func (w *Writer[P]) forward(ctx context.Context, f *forwarding) (*wqpb.WriteResponse, error) {
	pause := firstPause
	for {
		m, known := w.minter(f.id)
		if !known {
			return wqwriteresult.Encode(f.id.String(), f.absent()), nil
		}
		reply, err := f.call(ctx, w.PeerClient(m.Address))
		if err == nil {
			return reply, nil
		}
		if refused := wqtwirperror.Decode(err); isFinal(refused) {
			return nil, refused
		}
		if r := w.withoutMinter(f, err); r.Outcome == wqticket.Done {
			return wqwriteresult.Encode(f.id.String(), r), nil
		}
		if !sleep(ctx, pause) {
			return wqwriteresult.Encode(f.id.String(), silent()), nil
		}
		pause = min(2*pause, mostPause)
	}
}

// withoutMinter asks elsewhere once the connection to the VM that minted the
// ticket fails; only Done is proof.
func (w *Writer[P]) withoutMinter(f *forwarding, err error) wqticket.Result {
	if !w.IsUnsent(err) {
		return wqticket.Result{}
	}
	return f.absent()
}

// minter returns the VM that minted a ticket unless another start of it is
// known.
func (w *Writer[P]) minter(id wqticket.ID) (wqmember.Member, bool) {
	m, known := w.View().Members[id.VM]
	return m, known && m.Epoch <= id.Epoch && id.VM != w.Ledger.VM
}

// isFinal reports whether the minting VM refused a request for good.
func isFinal(err error) bool {
	k := wqfault.KindOf(err)
	return k == wqfault.BadInput || k == wqfault.Conflict
}

// forwardMillis leaves time for the answer's way back.
func forwardMillis(ctx context.Context) uint32 {
	left := time.Until(sendDeadline(ctx, time.Now()))
	return uint32(max(left.Milliseconds(), 1))
}

func silent() wqticket.Result {
	return wqticket.Result{
		Outcome: wqticket.Unknown,
		Reason:  "the VM that minted the ticket does not answer",
		Remedy:  "ask for the outcome again, or send the same request under the same ticket",
	}
}
