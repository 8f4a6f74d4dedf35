package wqplacementmodel

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqwork"
)

// placerTime is the time that the placing VM needs for a request.
const placerTime = 500 * time.Microsecond

// LeastWork is the policy that decides by costs.
type LeastWork struct {
	Sharing Sharing
	common  workState
}

// Sharing is what the VMs know of each other's sends.
type Sharing uint8

// The kinds of sharing.
const (
	Alone    Sharing = iota // Alone means nothing.
	Instant                 // Instant means everything, at once and at no cost.
	OnePlace                // OnePlace means that one VM places the first send of each request, and hears of all sends.
)

// workState is what a VM, or all VMs together, have learned.
type workState struct {
	tracker *wqselector.Tracker
	ledger  *wqwork.Ledger
	costs   *wqcost.Estimator
}

func newWorkState() workState {
	return workState{tracker: wqselector.New(), ledger: wqwork.New(), costs: wqcost.New()}
}

type leastWorkVM struct {
	workState
	common  workState // of the placing VM
	sharing Sharing
	model   *Model
	zone    string
}

// NewVM implements Policy.
func (l *LeastWork) NewVM(m *Model, index int, zone string) VMPolicy {
	if index == 0 {
		l.common = newWorkState()
	}
	v := &leastWorkVM{workState: l.common, common: l.common, sharing: l.Sharing, model: m, zone: zone}
	if l.Sharing != Instant {
		v.workState = newWorkState()
	}
	return v
}

// Delay has the placing VM, which is in the first zone, place the request.
func (v *leastWorkVM) Delay(q *request) time.Duration {
	if v.sharing != OnePlace {
		return 0
	}
	m, way := v.model, networkDelay(v.zone, zoneName(0))
	m.at(m.now.Add(way), func() {
		p := v.picker(v.common, q)
		t := p.Pick(m.now, m.pools[m.services[0]], nil, m.Fleet.Work, m.random.Uint64())
		if t != nil {
			q.advised = t.Searcher.ID
			_, q.advisedWait = v.common.ledger.Finish(m.now, t.Searcher.ID, t.Searcher.Slots, p.Cost)
			q.placed = v.common.start(m, q, t.Searcher.ID, t.Searcher.Slots)
		}
	})
	return 2*way + placerTime
}

func (v *leastWorkVM) Picker(q *request) wqgather.Picker {
	p := v.picker(v.workState, q)
	p.Advised, p.AdvisedWait = q.advised, q.advisedWait
	return p
}

func (v *leastWorkVM) picker(w workState, q *request) wqselector.LeastWork {
	return wqselector.LeastWork{
		LeastLatency: wqselector.LeastLatency{Tracker: w.tracker, Zone: v.zone, SenderCount: v.model.Fleet.VMs},
		Work:         w.ledger, Cost: w.cost(q), Owner: q,
	}
}

func (w workState) cost(q *request) wqcost.Distribution {
	return w.costs.Estimate(q.model.now, q.attributes(), q.model.Fleet.Objective/6)
}

func (w workState) start(m *Model, q *request, searcherID string, slots int) *wqwork.Send {
	return w.ledger.Start(m.now, wqwork.Start{SearcherID: searcherID, Slots: slots, Cost: w.cost(q), Owner: q, Deadline: q.arrived.Add(m.Fleet.Timeout)})
}

func (w workState) done(q *request, s *wqwork.Send, now time.Time, o wqsend.Outcome) {
	if work, ok := s.Done(now, o); ok {
		w.costs.Observe(now, q.attributes(), work)
	}
}

func (v *leastWorkVM) Start(q *request, s wqgather.Send) func(time.Time, wqsend.Outcome) {
	m, id, slots := v.model, s.Target.Searcher.ID, s.Target.Searcher.Slots
	inFlight := v.tracker.Start(m.now, id)
	send := v.start(m, q, id, slots)
	report := func(wqsend.Outcome) {}
	if v.sharing == OnePlace {
		report = v.report(q, id, slots)
	}
	return func(now time.Time, o wqsend.Outcome) {
		inFlight.Done(now, o, q.latency.MeanLatency())
		v.done(q, send, now, o)
		report(o)
	}
}

// report tells the placing VM of a send, and returns the function that tells it of its
// end.
func (v *leastWorkVM) report(q *request, id string, slots int) func(wqsend.Outcome) {
	m, way := v.model, networkDelay(v.zone, zoneName(0))
	placed := q.placed
	q.placed = nil
	if placed == nil || q.advised != id {
		if placed != nil {
			m.at(m.now.Add(way), func() { placed.Done(m.now, wqsend.Withheld) })
		}
		m.at(m.now.Add(way), func() { placed = v.common.start(m, q, id, slots) })
	}
	return func(o wqsend.Outcome) {
		m.at(m.now.Add(way), func() { v.common.done(q, placed, m.now, o) })
	}
}

// attributes returns what is visible of a request.
func (q *request) attributes() wqcost.Kind {
	return wqcost.Kind{Route: q.model.route.Name, Tenant: fmt.Sprint(q.client), Method: "GET", Path: fmt.Sprintf("/k%d/x", q.kind)}
}
