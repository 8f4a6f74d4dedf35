package wqplacementmodel

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqplacer"
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
	placer  *wqplacer.Placer
	numbers uint64
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
	policy *LeastWork
	model  *Model
	zone   string
}

// NewVM implements Policy.
func (l *LeastWork) NewVM(m *Model, index int, zone string) VMPolicy {
	if index == 0 {
		l.common, l.placer = newWorkState(), wqplacer.New()
	}
	v := &leastWorkVM{workState: l.common, policy: l, model: m, zone: zone}
	if l.Sharing != Instant {
		v.workState = newWorkState()
	}
	return v
}

// newRequest returns what the placing VM is told of a send.
func (v *leastWorkVM) newRequest(q *request) wqplacer.Request {
	v.policy.numbers++
	return wqplacer.Request{
		Number: v.policy.numbers, Service: v.model.services[0], Zone: v.zone, Kind: q.attributes(),
		Typical: v.model.Fleet.Objective / 6, Objective: v.model.Fleet.Objective, Remaining: q.arrived.Add(v.model.Fleet.Timeout).Sub(v.model.now),
	}
}

// tell passes a message to the placing VM, which is in the first zone, and returns the
// time that it takes there.
func (v *leastWorkVM) tell(message wqplacer.Message, receive func(wqplacer.Advice)) time.Duration {
	m, way := v.model, networkDelay(v.zone, zoneName(0))
	m.at(m.now.Add(way), func() {
		receive(v.policy.placer.Handle(m.now, message, m.pools, m.Fleet.VMs, m.random.Uint64()))
	})
	return way
}

// Delay has the placing VM place the request.
func (v *leastWorkVM) Delay(q *request) time.Duration {
	if v.policy.Sharing != OnePlace {
		return 0
	}
	r := v.newRequest(q)
	q.placed = &r
	return 2*v.tell(wqplacer.Message{Request: &r}, func(a wqplacer.Advice) { q.advice = a }) + placerTime
}

func (v *leastWorkVM) Picker(q *request) wqgather.Picker {
	p := v.picker(v.workState, q)
	p.Advised, p.AdvisedWait = q.advice.Searcher, q.advice.Wait
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
	if v.policy.Sharing == OnePlace {
		report = v.report(q, id)
	}
	return func(now time.Time, o wqsend.Outcome) {
		inFlight.Done(now, o, q.latency.MeanLatency())
		v.done(q, send, now, o)
		report(o)
	}
}

// report tells the placing VM of a send, if that is not the one that it placed, and
// returns the function that tells it of its end.
func (v *leastWorkVM) report(q *request, id string) func(wqsend.Outcome) {
	r := q.placed
	if q.placed = nil; r == nil {
		other := v.newRequest(q)
		r = &other
	}
	if q.advice.Searcher != id || q.sends[1] != nil {
		v.tell(wqplacer.Message{Reports: []wqplacer.Report{{Request: *r, Searcher: id}}}, func(wqplacer.Advice) {})
	}
	return func(o wqsend.Outcome) {
		v.tell(wqplacer.Message{Reports: []wqplacer.Report{{Request: *r, Searcher: id, Ended: true, Outcome: o}}}, func(wqplacer.Advice) {})
	}
}

// attributes returns what is visible of a request.
func (q *request) attributes() wqcost.Kind {
	return wqcost.Kind{Route: q.model.route.Name, Tenant: fmt.Sprint(q.client), Method: "GET", Path: fmt.Sprintf("/k%d/x", q.kind)}
}
