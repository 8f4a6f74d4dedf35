package wqrollout_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqbound"
	"wisteriaquay/core/wqcanary"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtopology"
)

var limits = wqbound.Rollout{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}

const (
	searchersPerVersion = 3
	reportInterval      = 500 * time.Millisecond
	idleInterval        = 1200 * time.Millisecond
	tickInterval        = 250 * time.Millisecond
)

// routeShares are the shares of the requests by route, and medians their usual latency.
var (
	routeNames  = []string{"r0", "r1", "r2"}
	routeShares = []float64{0.6, 0.3, 0.1}
	medians     = []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 8 * time.Millisecond}
)

// scenario is one kind of version and of faults. Its functions return the additional
// share of failures, the factor on the latency, and the share of lost responses.
type scenario struct {
	name     string
	bad      bool
	draw     func(s *simulation) // draw chooses the parameters of a run.
	response func(s *simulation, isNew bool, route, searcher int) (failing, slow, lost float64)
}

// simulation is a fleet in one program that rolls out one version.
type simulation struct {
	scenario *scenario
	random   *rand.Rand
	start    time.Time
	now      time.Time
	duration time.Duration
	rate     float64
	vms      []*simulatedVM
	rollout  *wqrollout.Rollout
	events   eventQueue
	targets  []*wqdirectory.Target
	arrivals map[string][]time.Time // arrivals of the last second at each searcher
	sentNew  int
	sentAll  int

	failing, slow, lost float64
	from, to            time.Duration
	route               int
	searcher            int
	completedAt         time.Time
	rolledBackAt        time.Time
}

type simulatedVM struct {
	meter     *wqcanary.Meter
	picker    wqcanary.Picker[randomPicker]
	directive wqrollout.Directives
	cutOff    bool
	answered  uint64
	sent      uint64
	zone      int
}

// randomPicker picks any target that was not tried.
type randomPicker struct{}

func (randomPicker) Pick(_ time.Time, targets []*wqdirectory.Target, tried []string, _ time.Duration, random uint64) *wqdirectory.Target {
	for i := range targets {
		t := targets[(uint64(i)+random)%uint64(len(targets))]
		if len(tried) == 0 || tried[0] != t.Searcher.ID {
			return t
		}
	}
	return nil
}

func (randomPicker) Unresponsive(time.Time, string) bool { return false }

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(sc *scenario, seed uint64, vms int, rate float64, duration time.Duration) *simulation {
	start := time.Unix(1000, 0)
	s := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(seed, 7)), start: start, now: start, rate: rate, duration: duration,
		arrivals: make(map[string][]time.Time),
	}
	for i := range 2 * searchersPerVersion {
		version := "v1"
		if i >= searchersPerVersion {
			version = "v2"
		}
		s.targets = append(s.targets, &wqdirectory.Target{
			Searcher: wqtopology.Searcher{ID: fmt.Sprint("s", i), Service: "orders", Zone: string(rune('a' + i%3))}, Version: version,
		})
	}
	s.rollout = wqrollout.New(wqrollout.Order{Service: "orders", Version: "v2", Duration: duration, Revision: 5}, limits, start)
	s.rollout.FleetSize = vms
	for i := range vms {
		v := &simulatedVM{meter: &wqcanary.Meter{Random: s.random.Float64}, zone: i % 3, directive: wqrollout.Directives{}}
		v.picker = wqcanary.Picker[randomPicker]{Meter: v.meter, Directives: func() wqrollout.Directives { return v.directive }}
		v.apply(wqrollout.Directive{Service: "orders", Version: "v2", OrderRevision: 5, Phase: wqrollout.Running})
		s.vms = append(s.vms, v)
		s.after(time.Duration(s.random.Int64N(int64(reportInterval))), func() { s.report(i) })
	}
	sc.draw(s)
	s.after(0, s.arrive)
	s.after(tickInterval, s.tick)
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{s.now.Add(d), run})
}

// run plays until the deadline.
func (s *simulation) run() {
	heap.Init(&s.events)
	for end := s.start.Add(s.duration); s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if !s.rolledBackAt.IsZero() && s.now.Sub(s.rolledBackAt) > 2*wqrollout.ContactTimeout {
			s.sentAll += int(s.rate * end.Sub(s.now).Seconds()) // Only the old version gets requests from here on.
			return
		}
		e.run()
	}
}

func (v *simulatedVM) apply(d wqrollout.Directive) {
	before := v.directive["orders"]
	if before.Phase.Final() {
		return
	}
	if before.Phase == d.Phase && before.Share == d.Share && maps.EqualFunc(before.Weights, d.Weights, func(a, b float64) bool { return math.Abs(a-b) < 0.02*b }) {
		before.ValidUntil = d.ValidUntil
		v.directive["orders"] = before // Saves most of the time of a run.
		return
	}
	v.directive = wqrollout.Directives{"orders": d}
	v.meter.SetDirectives(v.directive)
}

// report sends the evidence of one VM to the coordinator, whose reply takes 5 ms.
func (s *simulation) report(i int) {
	v := s.vms[i]
	if v.cutOff {
		s.after(reportInterval, func() { s.report(i) })
		return
	}
	report, _ := v.meter.Report("orders", v.answered)
	next := reportInterval
	if report.SentNew+report.SentOld == v.sent {
		next = idleInterval
	}
	v.sent = report.SentNew + report.SentOld
	s.after(next, func() { s.report(i) })
	v.answered = report.Sequence
	report.VM, report.Witnessed, report.AgeMillis = fmt.Sprint(i), true, s.now.Sub(s.start).Milliseconds()
	s.rollout.HandleReport(s.now, &report)
	d := s.directive()
	s.after(5*time.Millisecond, func() { v.apply(d) })
}

func (s *simulation) directive() wqrollout.Directive {
	d := s.rollout.Directive()
	d.ValidUntil = s.now.Add(wqrollout.ContactTimeout)
	if !s.completedAt.IsZero() {
		d.Phase = wqrollout.Completed
	}
	return d
}

func (s *simulation) tick() {
	s.after(tickInterval, s.tick)
	phase, _ := s.rollout.Phase()
	if s.completedAt.IsZero() {
		s.rollout.Tick(s.now)
	}
	after, _ := s.rollout.Phase()
	if s.rollout.Due() == wqrollout.Completed && s.completedAt.IsZero() {
		s.completedAt = s.now
	}
	if after == wqrollout.RolledBack && phase != after {
		s.rolledBackAt = s.now
		for _, v := range s.vms {
			s.after(20*time.Millisecond, func() { v.apply(s.directive()) })
		}
	}
}

func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	route, x := 0, s.random.Float64()
	for x > routeShares[route] && route < len(routeShares)-1 {
		x -= routeShares[route]
		route++
	}
	s.send(s.vms[s.random.IntN(len(s.vms))], route, nil)
}

func (s *simulation) send(v *simulatedVM, route int, tried []string) {
	v.picker.Route = routeNames[route]
	t := v.picker.Pick(s.now, s.targets, tried, 0, s.random.Uint64())
	if t == nil {
		return
	}
	v.meter.Sent(t, v.picker.Route)
	isNew := t.Version == "v2"
	s.sentAll++
	if isNew {
		s.sentNew++
	}
	s.recordArrival(t.Searcher.ID)
	failing, slow, lost := s.scenario.response(s, isNew, route, int(t.Searcher.ID[1]-'0'))
	far := int(t.Searcher.Zone[0]-'a') != v.zone
	elapsed := time.Duration(float64(medians[route]) * math.Exp(0.4*s.random.NormFloat64()) * max(slow, 1))
	if s.random.Float64() < 0.02 {
		elapsed += time.Duration(s.random.Int64N(int64(200 * time.Millisecond))) // A pause of the searcher.
	}
	if far {
		elapsed += 8 * time.Millisecond
	}
	result := wqsend.Answered
	switch {
	case s.random.Float64() < failing+0.002:
		result = wqsend.Failed
	case s.random.Float64() < lost+0.002:
		result, elapsed = wqsend.Broken, elapsed/2
	}
	s.after(elapsed, func() {
		v.meter.Ended(s.now, wqcanary.Outcome{Target: t, Route: routeNames[route], Far: far, Result: result, Elapsed: elapsed})
		if result != wqsend.Answered && tried == nil {
			s.send(v, route, []string{t.Searcher.ID})
		}
	})
}

func (s *simulation) recordArrival(id string) {
	s.arrivals[id] = append(s.arrivals[id], s.now)
	recent := s.arrivals[id]
	for s.now.Sub(recent[0]) > time.Second {
		recent = recent[1:]
	}
	s.arrivals[id] = recent
}

// loaded reports whether a searcher gets more than a third of its part of all requests.
func (s *simulation) loaded(searcher int) bool {
	return float64(len(s.arrivals[s.targets[searcher].Searcher.ID])) > 0.35*s.rate/searchersPerVersion
}

// within reports whether the time since the order is in the drawn window.
func (s *simulation) within() bool {
	age := s.now.Sub(s.start)
	return age >= s.from && age < s.to
}
