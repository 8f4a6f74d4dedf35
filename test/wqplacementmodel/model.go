// Package wqplacementmodel plays requests to searchers without a network, to compare
// policies that choose the searcher of each send. Many VMs share the searchers, and each
// sees its own sends only. Time is simulated and all randomness comes from a seed, so
// that every policy gets the same arrivals, costs and faults.
//
// # Usage
//
//	m := wqplacementmodel.Model{Fleet: fleet, Load: 0.9, Seed: 1, Policy: policy}
//	report := m.Run()
package wqplacementmodel

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqlatency"
	"wisteriaquay/core/wqretryquota"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtopology"
)

// Fleet describes VMs, searchers and requests.
type Fleet struct {
	Name       string
	VMs        int // VMs that send; for fan-outs, the hubs
	Zones      int
	Services   int // more than one makes each request a fan-out
	Searchers  int // of each service
	Slots      int
	QueueLimit int
	Work       time.Duration // mean time of a request at a searcher of mean speed
	Spread     float64       // standard deviation of the logarithm of the time
	LongShare  float64       // part of the requests that take 5 times as long
	Kinds      []float64     // relative work of the kinds of request, which their paths show
	Objective  time.Duration
	Timeout    time.Duration
	Idempotent bool
	Pauses     bool
	Slow       bool // one searcher of each tenth service is slow for some seconds
	Cold       bool // one searcher of each service starts during the run
	HighRate   bool // one client sends half of the load, to one kind of request
	Duration   time.Duration
}

const (
	warmUp         = 8 * time.Second // requests before it are not counted
	clientCount    = 40
	sameZoneDelay  = 300 * time.Microsecond // one way
	otherZoneDelay = 3900 * time.Microsecond
	longFactor     = 5
	coldDuration   = 3 * time.Second
	coldSlowdown   = 3
	leastShare     = 0.9
	partialMargin  = 16 * time.Millisecond
)

// Model plays one load on one fleet under one policy.
type Model struct {
	Fleet  Fleet
	Load   float64 // arrivals, as a share of what the searchers can do
	Seed   uint64
	Policy Policy

	start, now time.Time
	events     eventQueue
	eventCount int
	random     *rand.Rand
	searchers  map[string]*searcher
	pools      wqdirectory.Pools
	services   []string
	vms        []*vm
	route      *wqroute.Route
	report     *Report
}

// vm is the state of one VM beside that of its policy.
type vm struct {
	index     int
	zone      string
	latencies wqlatency.Registry
	quota     *wqretryquota.Quota
	placement VMPolicy
}

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int // order of events at the same time
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// at runs a function at a time.
func (m *Model) at(t time.Time, run func()) {
	m.eventCount++
	heap.Push(&m.events, event{at: t, number: m.eventCount, run: run})
}

// Run plays the load and returns what the clients saw.
func (m *Model) Run() *Report {
	m.start = time.Unix(1000, 0)
	m.now = m.start
	m.random = rand.New(rand.NewPCG(m.Seed, 1))
	m.report = newReport(m.Fleet.Objective)
	m.addSearchers()
	m.addVMs()
	m.addArrivals()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m.report
}

func (m *Model) addSearchers() {
	f := &m.Fleet
	m.searchers, m.pools = make(map[string]*searcher), make(wqdirectory.Pools)
	for i := range f.Services {
		service := fmt.Sprintf("s%03d", i)
		m.services = append(m.services, service)
		for n := range f.Searchers {
			t := &wqdirectory.Target{Searcher: wqtopology.Searcher{
				ID: fmt.Sprintf("%s-%d", service, n), Zone: zoneName((i + n) % f.Zones), Service: service, Slots: f.Slots,
			}}
			s := &searcher{target: t, queueLimit: f.QueueLimit, segments: newSegments(f, m.random, m.start, f.Slow && n == 0 && i%10 == 0)}
			if f.Cold && n == f.Searchers-1 {
				s.makeCold(m.start.Add(f.Duration / 2))
			}
			m.searchers[t.Searcher.ID] = s
			m.pools[service] = append(m.pools[service], t)
		}
	}
}

// makeCold makes the searcher slow until the cold start ends.
func (s *searcher) makeCold(end time.Time) {
	s.target.ColdStartEnd, s.target.ColdStartRate = end, 4
	for i := range s.segments {
		if !s.segments[i].until.After(end) && s.segments[i].until.After(end.Add(-coldDuration)) {
			s.segments[i].speed /= coldSlowdown
		}
	}
}

func zoneName(i int) string { return string(rune('a' + i)) }

func (m *Model) addVMs() {
	f := &m.Fleet
	m.route = &wqroute.Route{Name: "r", Idempotent: f.Idempotent, Attempts: 2, Timeout: f.Timeout, Objective: f.Objective, LeastShare: leastShare}
	if f.Services > 1 {
		m.route.Shards = m.services
	}
	limits := wqretryquota.Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	for i := range f.VMs {
		v := &vm{index: i, zone: zoneName(i % f.Zones), quota: wqretryquota.New(limits, m.start.Add(-time.Minute))}
		v.placement = m.Policy.NewVM(m, v.index, v.zone)
		m.vms = append(m.vms, v)
	}
}

// addArrivals draws all requests. They don't depend on how fast others are answered.
func (m *Model) addArrivals() {
	f := &m.Fleet
	rate := m.Load * float64(f.Searchers*f.Slots) / f.Work.Seconds()
	r := rand.New(rand.NewPCG(m.Seed, 2))
	for t := 0.0; t < f.Duration.Seconds(); t += r.ExpFloat64() / rate {
		q := &request{model: m, arrived: m.start.Add(time.Duration(t * float64(time.Second)))}
		q.vm = m.vms[r.IntN(len(m.vms))]
		// A client's share of the requests falls with its number.
		q.client = int(math.Pow(float64(clientCount), r.Float64())) - 1
		q.kind = r.IntN(max(1, len(f.Kinds)))
		if f.HighRate && r.Float64() < 0.5 {
			q.client, q.kind = clientCount, 0
		}
		for range m.services {
			q.work = append(q.work, m.drawWork(r, q.kind))
		}
		m.at(q.arrived, q.begin)
	}
}

func (m *Model) drawWork(r *rand.Rand, kind int) time.Duration {
	f := &m.Fleet
	x := math.Exp(f.Spread*r.NormFloat64() - f.Spread*f.Spread/2)
	if r.Float64() < f.LongShare {
		x *= longFactor
	}
	if len(f.Kinds) > 0 {
		x *= f.Kinds[kind]
	}
	return time.Duration(x * float64(f.Work))
}

func networkDelay(a, b string) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return otherZoneDelay
}
