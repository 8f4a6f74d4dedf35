package wqrelay

import (
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqwork"
)

// CostPlacement is the state of the placement by cost: the searchers and hubs with the
// least expected finish time get the requests. Relays without it place by latency.
type CostPlacement struct {
	Costs *wqcost.Estimator
	Work  *wqwork.Ledger
	Hubs  HubCosts
}

// NewCostPlacement returns a CostPlacement without observations.
func NewCostPlacement() *CostPlacement {
	return &CostPlacement{Costs: wqcost.New(), Work: wqwork.New(), Hubs: HubCosts{Costs: wqcost.New(), Work: wqwork.New()}}
}

// costKind returns the visible attributes of a request.
func costKind(c *wqcall.Call, route *wqroute.Route) wqcost.Kind {
	return wqcost.Kind{Route: route.Name, Tenant: c.Tenant, Method: c.Method, Path: c.Path, BodyBytes: len(c.Body)}
}

// leastWork returns the policy for one request. It places by latency if the relay has
// no CostPlacement.
func (r *Relay[S, P]) leastWork(l wqselector.LeastLatency, c *wqcall.Call, route *wqroute.Route) wqselector.LeastWork {
	p := wqselector.LeastWork{LeastLatency: l}
	if r.CostPlacement == nil {
		return p
	}
	mean := r.latencies.Estimator(route.Name, route.Objective).MeanLatency()
	p.Work, p.Owner = r.CostPlacement.Work, c
	p.Cost = r.CostPlacement.Costs.Estimate(time.Now(), costKind(c, route), mean)
	return p
}

// workSend is one send as the placement by cost sees it. The zero value records nothing.
type workSend struct {
	send  *wqwork.Send
	costs *wqcost.Estimator
	kind  wqcost.Kind
}

// startWork records the start of a send for the placement by cost.
func (d *driver[S, P]) startWork(now time.Time, s wqgather.Send) workSend {
	p := d.relay.CostPlacement
	if p == nil {
		return workSend{}
	}
	kind := costKind(d.call, d.gather.Route)
	cost := p.Costs.Estimate(now, kind, d.latency.MeanLatency())
	send := p.Work.Start(now, wqwork.Start{
		SearcherID: s.Target.Searcher.ID, Slots: s.Target.Searcher.Slots, Cost: cost, Owner: d.call, Deadline: d.gather.Deadline,
	})
	return workSend{send: send, costs: p.Costs, kind: kind}
}

// done records the end of a send.
func (w workSend) done(now time.Time, o wqsend.Outcome) {
	if w.send == nil {
		return
	}
	if cost, ok := w.send.Done(now, o); ok {
		w.costs.Observe(now, w.kind, cost)
	}
}
