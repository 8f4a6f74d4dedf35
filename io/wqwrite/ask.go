package wqwrite

import (
	"context"
	"time"

	"wisteriaquay/core/wqticket"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqwriteresult"
)

const (
	firstPause = 10 * time.Millisecond  // firstPause is the wait before a call is repeated for the first time.
	mostPause  = 200 * time.Millisecond // mostPause bounds the wait, which doubles each time.
	askTimeout = 500 * time.Millisecond // askTimeout bounds one question to a holder.
	mostAsked  = 9                      // mostAsked bounds the holders that are asked when the minting VM is gone.
)

// holderAt returns this VM's own gate or the client of another VM.
func (w *Writer[P]) holderAt(id, address string) holder {
	if id == w.Ledger.VM {
		return w.LocalHolder
	}
	return w.PeerClient(address)
}

// askUntil asks the holder of a send until it knows the outcome or ctx ends.
func (w *Writer[P]) askUntil(ctx context.Context, id wqticket.ID, d wqticket.Dispatch) wqticket.Result {
	pause := firstPause
	for {
		r, heard := w.askOnce(ctx, id, d)
		if heard && r.Outcome != wqticket.Pending {
			return r
		}
		if !sleep(ctx, pause) {
			return unheard()
		}
		pause = min(2*pause, mostPause)
	}
}

// askHolder asks the holder of a send once.
func (w *Writer[P]) askHolder(ctx context.Context, id wqticket.ID, d wqticket.Dispatch) wqticket.Result {
	r, heard := w.askOnce(ctx, id, d)
	if !heard || r.Outcome == wqticket.Pending {
		return unheard()
	}
	return r
}

// askOnce reports false when the holder did not answer.
func (w *Writer[P]) askOnce(ctx context.Context, id wqticket.ID, d wqticket.Dispatch) (wqticket.Result, bool) {
	m, known := w.View().Members[d.Holder]
	if !known {
		return wqticket.Result{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	now := time.Now()
	reply, err := w.holderAt(d.Holder, m.Address).DispatchOutcome(ctx, &wqpb.DispatchOutcomeRequest{
		Ticket:          id.String(),
		Searcher:        d.Searcher,
		HolderEpoch:     d.HolderEpoch,
		RemainingMicros: micros(sendDeadline(ctx, now).Sub(now)),
	})
	if err != nil {
		return wqticket.Result{}, false
	}
	return wqwriteresult.Decode(reply), true
}

// askAll asks the holders of a shard for a ticket whose minting VM is gone. A
// holder that knows of a run is believed; any other answer proves nothing, as
// the minting VM may have sent it another way.
func (w *Writer[P]) askAll(ctx context.Context, id wqticket.ID, r *wqpb.WriteRequest) wqticket.Result {
	ways := w.CandidatePolicy.Rank(w.View(), time.Now(), r.GetService(), r.GetShard())
	ways = ways[:min(len(ways), mostAsked)]
	answers := make(chan wqticket.Result, len(ways))
	for _, c := range ways {
		go func() {
			d := wqticket.Dispatch{Holder: c.Holder.ID, Searcher: c.Searcher.ID}
			answers <- w.askHolder(ctx, id, d)
		}()
	}
	for range ways {
		if a := <-answers; a.Outcome == wqticket.Done {
			return a
		}
	}
	return gone()
}

func unheard() wqticket.Result {
	return wqticket.Result{
		Outcome: wqticket.Unknown,
		Reason:  "the holder that was sent the request does not tell its outcome",
		Remedy:  "ask for the outcome again, or send the same request under the same ticket",
	}
}

func gone() wqticket.Result {
	return wqticket.Result{
		Outcome: wqticket.Unknown,
		Reason:  "the VM that minted the ticket is gone",
		Remedy:  "look the result up in the service before you send the request under a new ticket",
	}
}

// sleep reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
