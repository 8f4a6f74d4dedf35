package wqrelay

import (
	"context"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqlatency"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
)

// drive carries one request through its state machine.
type drive[S Sender] struct {
	relay    *Relay[S]
	call     *wqcall.Call
	pace     *wqlatency.Estimator
	gather   *wqgather.Gather[wqselector.LeastLatency, patience]
	arrivals chan arrival
	cancels  map[int]context.CancelFunc
	sends    wqcall.Sends
}

// arrival is the end of one send.
type arrival struct {
	send   wqgather.Send
	result wqsend.Result
}

// run drives the request and returns its reply.
func (d *drive[S]) run(ctx context.Context) wqcall.Reply {
	reply := d.follow(ctx)
	reply.Sends = d.sends
	return reply
}

// follow carries out what the state machine says until it ends.
func (d *drive[S]) follow(ctx context.Context) wqcall.Reply {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	d.launch(ctx, d.gather.Start(time.Now(), d.relay.Plan().Pools))
	for {
		now := time.Now()
		if v := d.gather.State(now); v != wqgather.Pending {
			return d.reply(v)
		}
		timer.Reset(d.gather.NextWake(now).Sub(now))
		select {
		case <-ctx.Done():
			return wqcall.Reply{Status: wqcall.CallerGone, Reason: "the caller left"}
		case a := <-d.arrivals:
			d.take(ctx, a)
		case <-timer.C:
			d.launch(ctx, d.gather.Wake(time.Now(), d.relay.Plan().Pools))
		}
	}
}

func (d *drive[S]) take(ctx context.Context, a arrival) {
	delete(d.cancels, a.send.ID)
	d.launch(ctx, d.gather.HandleResult(time.Now(), d.relay.Plan().Pools, a.send, a.result))
	if !d.gather.Answered(a.send.ServiceIndex) {
		return
	}
	for _, n := range d.gather.RemoveInFlight(a.send.ServiceIndex) {
		d.cancels[n]()
		delete(d.cancels, n)
	}
}

func (d *drive[S]) launch(ctx context.Context, sends []wqgather.Send) {
	for _, s := range sends {
		d.count(s)
		sending, cancel := context.WithDeadline(ctx, d.gather.Deadline)
		d.cancels[s.ID] = cancel
		go d.send(sending, cancel, s)
	}
}

func (d *drive[S]) count(s wqgather.Send) {
	d.sends.All++
	if d.relay.Metrics != nil {
		d.relay.Metrics.CountSend(s.Target.Searcher.Service)
	}
	if s.Extra {
		d.sends.Extra++
	}
	if s.Target.Searcher.Zone != d.relay.Zone {
		d.sends.Far++
	}
}

// send carries one send and reports its end, to the board and to the request.
func (d *drive[S]) send(ctx context.Context, cancel context.CancelFunc, s wqgather.Send) {
	defer cancel()
	began := time.Now()
	flight := d.relay.Tracker.Start(began, s.Target.Searcher.ID)
	result := d.relay.Sender.Send(ctx, s.Target, d.call, d.gather.Deadline.Sub(began))
	now := time.Now()
	result.Elapsed = now.Sub(began)
	flight.Done(now, result.Outcome, d.pace.MeanLatency())
	switch result.Outcome {
	case wqsend.Answered:
		d.pace.Observe(now, result.Elapsed)
	case wqsend.Cancelled:
		d.pace.ObserveAbandoned(now, result.Elapsed)
	case wqsend.WrongSearcher:
		d.relay.OnWrongSearcher(s.Target)
	}
	if result.Outcome != wqsend.Answered && result.Outcome != wqsend.Cancelled {
		d.relay.recordFailure(d.call, s, &result)
	}
	select {
	case d.arrivals <- arrival{send: s, result: result}:
	case <-ctx.Done():
	}
}
