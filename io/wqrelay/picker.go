package wqrelay

import (
	"time"

	"wisteriaquay/core/wqcanary"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqexclusion"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
)

// searcherPicker is the policy that chooses the searcher of each send. Policies that
// restrict the choice wrap the one that makes it.
type searcherPicker = wqcanary.Picker[wqexclusion.Picker[wqselector.LeastWork]]

// newPicker returns the policy for one request. SenderCount is the number of VMs that
// send to the same searchers.
func (r *Relay[S, P]) newPicker(senderCount int, route string, placed placedRequest) searcherPicker {
	p := placed.policy
	p.LeastLatency = wqselector.LeastLatency{Tracker: r.Tracker, Zone: r.Zone, SenderCount: senderCount}
	return searcherPicker{
		Inner: wqexclusion.Picker[wqselector.LeastWork]{Inner: p, Statements: r.Statements},
		Meter: r.Canary, Route: route, Directives: r.directives,
	}
}

// directives returns the rollouts of the plan in force.
func (r *Relay[S, P]) directives() wqrollout.Directives { return r.Plan().Rollouts }

// countRolloutEnd passes the end of a send to the rollout of its service, if there is one.
func (d *driver[S, P]) countRolloutEnd(now, start time.Time, s wqgather.Send, r *wqsend.Result) {
	if d.relay.Canary == nil {
		return
	}
	side := d.relay.Canary.Ended(now, wqcanary.Outcome{
		Target: s.Target, Route: d.gather.Route.Name, Far: s.Target.Searcher.Zone != d.relay.Zone,
		Cold: start.Before(s.Target.ColdStartEnd), Result: r.Outcome, Elapsed: r.Elapsed,
	})
	if side != "" && d.relay.Metrics != nil {
		d.relay.Metrics.CountRolloutSend(s.Target.Searcher.Service, side, r.Outcome.String())
	}
}

// countRolloutSend passes the start of a send to the rollout of its service.
func (r *Relay[S, P]) countRolloutSend(t *wqdirectory.Target, route string) {
	if r.Canary != nil {
		r.Canary.Sent(t, route)
	}
}
