package wqrelay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqplacer"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqwork"
)

// placedRequest is what the placement by cost knows of one request. Without
// policy.Work the request is placed by latency.
type placedRequest struct {
	policy    wqselector.LeastWork // without the embedded LeastLatency
	kind      wqcost.Kind
	typical   time.Duration       // mean latency of the route
	placer    *wqdirectory.Target // VM that places the requests of all VMs; nil for this VM alone
	asked     wqplacer.Request
	advice    wqplacer.Advice
	placement wqcall.Placement
}

// costKind returns the visible attributes of a request.
func costKind(c *wqcall.Call, route *wqroute.Route) wqcost.Kind {
	return wqcost.Kind{Route: route.Name, Tenant: c.Tenant, Method: c.Method, Path: c.Path, BodyBytes: len(c.Body)}
}

// place estimates the cost of a request and asks the placing VM of its service, if
// there is one. Without a ledger in the result, the request is placed by latency.
func (r *Relay[S, P]) place(ctx context.Context, c *wqcall.Call, plan *wqplan.Plan, route *wqroute.Route, services []string) placedRequest {
	p := r.CostPlacement
	if p == nil {
		return placedRequest{}
	}
	q := placedRequest{kind: costKind(c, route), typical: r.latencies.Estimator(route.Name, route.Objective).MeanLatency()}
	// Fan-outs took 25% longer on the platform's days when they were placed by cost: they
	// made fewer second sends.
	if route.FanOut() || q.typical < minPlacedLatency {
		return q
	}
	now := time.Now()
	q.policy.Work, q.policy.Owner = p.Work, c
	q.policy.Cost = p.Costs.Estimate(now, q.kind, q.typical)
	q.placement = wqcall.Placement{By: p.VM, Cost: q.policy.Cost.Mean()}
	if len(plan.Pools[services[0]]) < 2 {
		return q
	}
	q.asked = wqplacer.Request{
		Service: services[0], Zone: r.Zone, Kind: q.kind.Shortened(), Typical: q.typical, Remaining: c.Arrived.Add(maxDuration(c, route)).Sub(now),
		Objective: timeToObjective(now, c, route),
	}
	q.placer = wqplacer.Choose(services[0], plan.Hubs)
	if q.placer == nil {
		return q
	}
	q.asked.Number = p.lastNumber.Add(1)
	q.advice = p.ask(ctx, q.placer, q.asked)
	q.policy.Advised, q.policy.AdvisedWait = q.advice.Searcher, q.advice.Wait
	if q.advice.Searcher != "" || q.advice.Refuse {
		q.placement = wqcall.Placement{By: q.placer.Searcher.ID, Searcher: q.advice.Searcher, Cost: q.advice.Cost, Wait: q.advice.Wait}
	}
	return q
}

// timeToObjective returns the time until the objective of a call; 0 for none.
func timeToObjective(now time.Time, c *wqcall.Call, route *wqroute.Route) time.Duration {
	if route.Objective <= 0 {
		return 0
	}
	return max(c.Arrived.Add(route.Objective).Sub(now), 1)
}

// refusal returns the reply to a request that would wait for too long. It has not run,
// and may be retried when about half of the work that is waiting has been done.
func (q *placedRequest) refusal() wqcall.Reply {
	retryAfter := time.Duration((0.5 + rand.Float64()) * float64(q.advice.Wait))
	return wqcall.Reply{Status: wqcall.NotRun, Reason: "all searchers have too much work to answer within the objective", RetryAfter: retryAfter, Placement: q.placement}
}

// workSend is one send as the placement by cost sees it. The zero value records nothing.
type workSend struct {
	placement *CostPlacement
	placed    *placedRequest
	send      *wqwork.Send
	report    wqplacer.Report
}

// startWork records the start of a send for the placement by cost.
func (d *driver[S, P]) startWork(now time.Time, s wqgather.Send) workSend {
	p := d.relay.CostPlacement
	if p == nil || d.placed.policy.Work == nil {
		return workSend{}
	}
	t := s.Target.Searcher
	w := workSend{placement: p, placed: &d.placed, report: wqplacer.Report{Request: d.placed.asked, Searcher: t.ID}}
	w.send = p.Work.Start(now, wqwork.Start{SearcherID: t.ID, Slots: t.Slots, Cost: d.placed.policy.Cost, Owner: d.call, Deadline: d.gather.Deadline})
	if d.placed.placer == nil {
		return w
	}
	if first := s.ID == 1; !first {
		w.report.Request.Number = p.lastNumber.Add(1)
	} else if d.placed.advice.Searcher == t.ID {
		return w // The placing VM assumes this send.
	}
	p.report(d.placed.placer, w.report)
	return w
}

// done records the end of a send.
func (w workSend) done(now time.Time, o wqsend.Outcome) {
	if w.send == nil {
		return
	}
	if cost, ok := w.send.Done(now, o); ok {
		w.placement.Costs.Observe(now, w.placed.kind, cost)
	}
	if w.placed.placer == nil {
		return
	}
	q := w.report.Request
	w.report = wqplacer.Report{Request: wqplacer.Request{Number: q.Number, Service: q.Service}, Searcher: w.report.Searcher, Ended: true, Outcome: o}
	w.placement.report(w.placed.placer, w.report)
}

// placementAttributes returns the log fields that tell why a request was sent where.
func placementAttributes(p wqcall.Placement) []any {
	if p.By == "" {
		return nil
	}
	attributes := []any{slog.String("placed_by", p.By), slog.Float64("expected_ms", millis(p.Cost))}
	if p.Searcher != "" {
		attributes = append(attributes, slog.String("advised", p.Searcher), slog.Float64("wait_ms", millis(p.Wait)))
	}
	return attributes
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
