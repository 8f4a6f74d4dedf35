package wqwrite

import (
	"context"
	"time"

	"wisteriaquay/core/wqticket"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqwriteresult"
)

const (
	minRetryDelay     = 10 * time.Millisecond  // delay before the first retry of a call
	maxRetryDelay     = 200 * time.Millisecond // limit of the delay, which doubles with each retry
	outcomeTimeout    = 500 * time.Millisecond // timeout of one outcome query to a holder
	maxHoldersQueried = 9                      // candidates queried in place of the minting VM
)

// holderClient returns LocalHolder for this VM, or the client of another VM.
func (w *Writer[P]) holderClient(id, address string) holderService {
	if id == w.Ledger.VM {
		return w.LocalHolder
	}
	return w.PeerClient(address)
}

// pollOutcome queries the holder of a dispatch until it reports a final outcome or
// ctx ends. Then the outcome is Unknown.
func (w *Writer[P]) pollOutcome(ctx context.Context, id wqticket.ID, d wqticket.Dispatch) wqticket.Result {
	delay := minRetryDelay
	for {
		r, replied := w.queryOutcome(ctx, id, d)
		if replied && r.Outcome != wqticket.Pending {
			return r
		}
		if !sleep(ctx, delay) {
			return holderUnresponsive()
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// queryFinalOutcome queries the holder of a dispatch once. The outcome is Unknown if
// the holder does not reply or the request is still in progress there.
func (w *Writer[P]) queryFinalOutcome(ctx context.Context, id wqticket.ID, d wqticket.Dispatch) wqticket.Result {
	r, replied := w.queryOutcome(ctx, id, d)
	if !replied || r.Outcome == wqticket.Pending {
		return holderUnresponsive()
	}
	return r
}

// queryOutcome sends one outcome query to the holder of a dispatch. It returns false
// if the holder did not reply.
func (w *Writer[P]) queryOutcome(ctx context.Context, id wqticket.ID, d wqticket.Dispatch) (wqticket.Result, bool) {
	m, found := w.View().Members[d.Holder]
	if !found {
		return wqticket.Result{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	now := time.Now()
	reply, err := w.holderClient(d.Holder, m.Address).DispatchOutcome(ctx, &wqpb.DispatchOutcomeRequest{
		Ticket:          id.String(),
		Searcher:        d.Searcher,
		HolderEpoch:     d.HolderEpoch,
		RemainingMicros: remainingMicros(sendDeadline(ctx, now).Sub(now)),
	})
	if err != nil {
		return wqticket.Result{}, false
	}
	return wqwriteresult.Decode(reply), true
}

// queryAllHolders queries the holders of a shard for the outcome of a ticket whose
// minting VM has stopped, has restarted or cannot be reached. Only the outcome Done is conclusive. Any
// other reply proves nothing, because the minting VM may have sent the request to a
// holder or searcher that was not queried.
func (w *Writer[P]) queryAllHolders(ctx context.Context, id wqticket.ID, r *wqpb.WriteRequest) wqticket.Result {
	candidates := w.CandidatePolicy.Rank(w.View(), time.Now(), r.GetService(), r.GetShard())
	candidates = candidates[:min(len(candidates), maxHoldersQueried)]
	results := make(chan wqticket.Result, len(candidates))
	for _, c := range candidates {
		go func() {
			d := wqticket.Dispatch{Holder: c.Holder.ID, Searcher: c.Searcher.ID}
			results <- w.queryFinalOutcome(ctx, id, d)
		}()
	}
	for range candidates {
		if result := <-results; result.Outcome == wqticket.Done {
			return result
		}
	}
	return minterStopped()
}

func holderUnresponsive() wqticket.Result {
	return wqticket.Result{
		Outcome: wqticket.Unknown,
		Reason:  "the holder to which the request was sent did not report its outcome",
		Remedy:  "query the outcome again, or send the same request under the same ticket",
	}
}

func minterStopped() wqticket.Result {
	return wqticket.Result{
		Outcome: wqticket.Unknown,
		Reason:  "the VM that minted the ticket has stopped or restarted",
		Remedy:  "look the result up in the service before you send the request under a new ticket",
	}
}

// sleep blocks for d and returns true, or returns false once ctx ends.
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
