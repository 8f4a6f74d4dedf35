package wqrelay

import (
	"context"
	"runtime/debug"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqlatency"
	"wisteriaquay/core/wqsend"
)

// driver executes the actions of one request's wqgather state machine.
type driver[S Sender, P Placement] struct {
	relay      *Relay[S, P]
	call       *wqcall.Call
	latency    *wqlatency.Estimator
	placed     placedRequest
	gather     *wqgather.Gather[searcherPicker, hedgePolicy]
	results    chan sendResult
	replied    chan struct{} // closed when the request has its reply
	cancels    map[int]context.CancelFunc
	sendCounts wqcall.Sends
}

// sendResult is the result of one send to a searcher.
type sendResult struct {
	send   wqgather.Send
	result wqsend.Result
}

// run drives the request to its end and returns the reply with the counts of its
// sends.
func (d *driver[S, P]) run(ctx context.Context) wqcall.Reply {
	defer close(d.replied)
	reply := d.replyToWithdrawn(d.runToEnd(ctx))
	reply.Sends, reply.Placement = d.sendCounts, d.placed.placement
	return reply
}

// runToEnd starts the sends that the state machine requests and feeds back their
// results until it has a reply, or until ctx ends because the caller disconnected.
func (d *driver[S, P]) runToEnd(ctx context.Context) wqcall.Reply {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	sendsEnded, ended := d.relay.stopping.channels()
	d.startSends(ctx, d.gather.Start(time.Now(), d.relay.Plan().Pools))
	for {
		now := time.Now()
		switch s := d.gather.State(now); s {
		case wqgather.Pending:
		case wqgather.Expired:
			return d.settle(ctx)
		default:
			return d.reply(s)
		}
		timer.Reset(d.gather.NextWake(now).Sub(now))
		select {
		case <-ctx.Done():
			return wqcall.Reply{Status: wqcall.CallerGone, Reason: "the caller disconnected"}
		case r := <-d.results:
			d.handleResult(ctx, r)
		case <-sendsEnded:
			sendsEnded = nil
			d.gather.LastSendAt = time.Now()
			d.startSends(ctx, d.gather.Wake(time.Now(), d.relay.Plan().Pools)) // Sends nothing; closes what waits.
		case <-ended:
			return d.settle(ctx)
		case <-timer.C:
			d.startSends(ctx, d.gather.Wake(time.Now(), d.relay.Plan().Pools))
		}
	}
}

// settle ends the request with the results at hand. It cancels the sends in flight and
// collects their results, since a send that still waits for a connection has not run.
func (d *driver[S, P]) settle(ctx context.Context) wqcall.Reply {
	d.gather.LastSendAt = time.Now()
	for _, cancel := range d.cancels {
		cancel()
	}
	t := time.NewTimer(settleTimeout)
	defer t.Stop()
	for inTime := true; inTime && d.gather.InFlight() > 0; {
		select {
		case r := <-d.results:
			d.handleResult(ctx, r)
		case <-t.C:
			inTime = false
		}
	}
	d.gather.Wake(time.Now(), d.relay.Plan().Pools) // Nothing is sent; services without a send are closed.
	state := d.gather.State(time.Now())
	if state == wqgather.Pending { // A cancelled send has not returned.
		state = wqgather.Failed
	}
	return d.reply(state)
}

func (d *driver[S, P]) handleResult(ctx context.Context, r sendResult) {
	delete(d.cancels, r.send.ID)
	d.endIfNotPermitted()
	d.startSends(ctx, d.gather.HandleResult(time.Now(), d.relay.Plan().Pools, r.send, r.result))
	if !d.gather.Answered(r.send.ServiceIndex) {
		return
	}
	for _, id := range d.gather.RemoveInFlight(r.send.ServiceIndex) {
		d.cancels[id]()
		delete(d.cancels, id)
	}
}

func (d *driver[S, P]) startSends(ctx context.Context, sends []wqgather.Send) {
	for _, s := range sends {
		d.countSend(s)
		sendCtx, cancel := context.WithDeadline(ctx, d.gather.Deadline)
		d.cancels[s.ID] = cancel
		go d.send(sendCtx, cancel, s)
	}
}

func (d *driver[S, P]) countSend(s wqgather.Send) {
	d.sendCounts.All++
	d.relay.countRolloutSend(s.Target, d.gather.Route.Name)
	if d.relay.Metrics != nil {
		d.relay.Metrics.CountSend(s.Target.Searcher.Service)
		if d.relay.Statements.IsLimited(time.Now(), s.Target) {
			d.relay.Metrics.CountLimitedSend(s.Target.Searcher.Service, s.Extra)
		}
	}
	if s.Extra {
		d.sendCounts.Extra++
	}
	if s.Target.Searcher.Zone != d.relay.Zone {
		d.sendCounts.Far++
	}
}

// send sends to one searcher and reports the result to the in-flight tracker, to the
// route's latency estimator and, over the results channel, to runToEnd.
func (d *driver[S, P]) send(ctx context.Context, cancel context.CancelFunc, s wqgather.Send) {
	defer cancel()
	start := time.Now()
	inFlight := d.relay.Tracker.Start(start, s.Target.Searcher.ID)
	work := d.startWork(start, s)
	result := d.sendRecovering(ctx, s, d.gather.Deadline.Sub(start))
	now := time.Now()
	result.Elapsed = now.Sub(start)
	inFlight.Done(now, result.Outcome, d.latency.MeanLatency())
	d.countRolloutEnd(now, start, s, &result)
	work.done(now, result.Outcome)
	switch result.Outcome {
	case wqsend.Answered:
		d.latency.Observe(now, result.Elapsed)
	case wqsend.Cancelled:
		d.latency.ObserveAbandoned(now, result.Elapsed)
	case wqsend.WrongSearcher:
		d.relay.OnWrongSearcher(s.Target)
	}
	if result.Outcome != wqsend.Answered && result.Outcome != wqsend.Cancelled {
		d.relay.recordFailedSend(d.call, s, &result)
	}
	select {
	case d.results <- sendResult{send: s, result: result}:
	case <-d.replied:
	}
}

// sendRecovering sends to one searcher. A panic ends this send only; the searcher may
// have run the request.
func (d *driver[S, P]) sendRecovering(ctx context.Context, s wqgather.Send, remaining time.Duration) (result wqsend.Result) {
	defer func() {
		if p := recover(); p != nil {
			d.relay.Log.Error("panic while sending; report it with this line", "request_id", d.call.ID, "searcher", s.Target.Searcher.ID, "panic", p, "stack", string(debug.Stack()))
			result = wqsend.Result{Outcome: wqsend.Broken, Reason: "internal error"}
		}
	}()
	return d.relay.Sender.Send(ctx, s.Target, d.call, remaining)
}
