package wqrelay

import (
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqwork"
)

// capacityPerFanOut is the processor capacity of a hub, in thousandths of a core, for
// each fan-out that it runs at once without delay. A fan-out to 90 shards takes 15 to
// 26 ms of a core (0.17 to 0.29 ms a send) and about 100 ms in all.
const capacityPerFanOut = 250

// HubCosts holds what this VM has learned about the fan-outs of hubs.
type HubCosts struct {
	Costs *wqcost.Estimator
	Work  *wqwork.Ledger
}

// hubPicker chooses the hub of one fan-out and records the fan-outs in progress.
type hubPicker struct {
	policy  wqselector.LeastWork
	typical time.Duration // mean latency of a fan-out of the route
	kind    wqcost.Kind
	costs   *wqcost.Estimator // nil for a placement by latency
}

// newHubPicker returns the choice of the hub for one fan-out.
func (r *Relay[S, P]) newHubPicker(c *wqcall.Call, route *wqroute.Route) hubPicker {
	h := hubPicker{policy: wqselector.LeastWork{LeastLatency: wqselector.LeastLatency{Tracker: r.Tracker, Zone: r.Zone}}, typical: assumedHubLatency}
	if r.CostPlacement == nil {
		return h
	}
	h.kind, h.costs = costKind(c, route), r.CostPlacement.Hubs.Costs
	h.policy.Work, h.policy.Owner, h.policy.SlotCapacity = r.CostPlacement.Hubs.Work, c, capacityPerFanOut
	h.policy.Cost = h.costs.Estimate(time.Now(), h.kind, assumedHubLatency)
	h.typical = h.policy.Cost.Mean()
	return h
}

// pick returns the best hub that was not tried, nil if there is none.
func (h hubPicker) pick(hubs []*wqdirectory.Target, tried []string) *wqdirectory.Target {
	return h.policy.Pick(time.Now(), hubs, tried, h.typical, rand.Uint64())
}

// start records that a hub runs the fan-out, and returns the function that records how
// it ended.
func (h hubPicker) start(tracker *wqselector.Tracker, hub *wqdirectory.Target) func(wqsend.Outcome) {
	now := time.Now()
	inFlight := tracker.Start(now, hub.Searcher.ID)
	if h.costs == nil {
		return func(o wqsend.Outcome) { inFlight.Done(time.Now(), o, h.typical) }
	}
	send := h.policy.Work.Start(now, wqwork.Start{
		SearcherID: hub.Searcher.ID, Slots: h.policy.Slots(hub), Cost: h.policy.Cost, Owner: h.policy.Owner,
	})
	return func(o wqsend.Outcome) {
		now := time.Now()
		inFlight.Done(now, o, h.typical)
		if cost, ok := send.Done(now, o); ok {
			h.costs.Observe(now, h.kind, cost)
		}
	}
}
