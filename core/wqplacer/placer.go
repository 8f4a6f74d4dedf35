// Package wqplacer places the requests of all VMs for some services. VMs that share few
// searchers see a small part of the load each, so one of them places the requests of all
// for a service: it is told of the sends, knows the work in flight, and advises the
// searcher that is expected to end a request first. Advice may be ignored, late or
// missing; the VM that sends then decides by what it sees itself.
//
// # Usage
//
//	p := wqplacer.New()
//	advice := p.Handle(now, message, pools, fleetSize, random)
//	vm := wqplacer.Choose("orders", hubs) // the VM that places requests for a service
package wqplacer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqwork"
)

const (
	maxSends          = 16384            // bounds the memory: further sends are not recorded
	maxRemaining      = 30 * time.Second // bounds how long a send without an end counts
	sweepInterval     = time.Second      // time between two searches for sends whose end was not reported
	objectiveShare    = 0.85             // part of the objective by which a request is to end; costs and waits vary
	maxCostShare      = 0.25             // part of the objective that a request's own cost counts at most, so that expensive requests are not the first to be refused
	maxUnknownEnds    = 0.1              // share of ends that were not reported in time from which nothing is refused, since what seems to be in flight may have ended
	unknownEndsWeight = 0.02             // weight of an end in that share
	reportDelay       = time.Second      // how long after its deadline the end of a send may still be reported
)

// Placer places requests. It is safe for concurrent use.
type Placer struct {
	tracker *wqselector.Tracker
	work    *wqwork.Ledger
	costs   *wqcost.Estimator

	mutex       sync.Mutex
	sends       map[sendID]*send
	lastSweep   time.Time
	unknownEnds float64 // share of the latest sends whose end was not reported in time
}

// sendID identifies a send of a process.
type sendID struct {
	from   string
	number uint64
}

// send is a send in flight.
type send struct {
	searcher string
	kind     wqcost.Kind
	typical  time.Duration
	deadline time.Time
	inFlight *wqselector.Request
	work     *wqwork.Send
}

// New returns a Placer that knows of no sends.
func New() *Placer {
	return &Placer{tracker: wqselector.New(), work: wqwork.New(), costs: wqcost.New(), sends: make(map[sendID]*send)}
}

// Choose returns the VM that places the requests for a service, nil if there is none.
// VMs with the same candidates choose the same one.
func Choose(service string, candidates []*wqdirectory.Target) *wqdirectory.Target {
	var best *wqdirectory.Target
	var highest uint64
	for _, c := range candidates {
		if h := xxhash.Sum64String(service + "\x00" + c.Searcher.ID); best == nil || h > highest {
			best, highest = c, h
		}
	}
	return best
}

// Handle records the reports of a message and returns the advice for its request.
// SenderCount is the number of VMs that send to the searchers.
func (p *Placer) Handle(now time.Time, m Message, pools wqdirectory.Pools, senderCount int, random uint64) Advice {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(now)
	for _, r := range m.Reports {
		p.record(now, sendID{m.From, r.Request.Number}, r, pools[r.Request.Service])
	}
	if m.Request == nil {
		return Advice{}
	}
	q := m.Request
	policy := wqselector.LeastWork{
		LeastLatency: wqselector.LeastLatency{Tracker: p.tracker, Zone: q.Zone, SenderCount: senderCount},
		Work:         p.work, Cost: p.costs.Estimate(now, q.Kind, q.Typical),
	}
	t := policy.Pick(now, pools[q.Service], nil, q.Typical, random)
	if t == nil {
		return Advice{}
	}
	_, wait := p.work.Finish(now, t.Searcher.ID, policy.Slots(t), policy.Cost)
	queue := p.work.Queue(now, t.Searcher.ID, policy.Slots(t))
	if q.Objective > 0 && queue > maxWait(q.Objective, policy.Cost.Mean()) && p.unknownEnds < maxUnknownEnds {
		return Advice{Refuse: true, Wait: wait, Cost: policy.Cost.Mean()}
	}
	p.start(now, sendID{m.From, q.Number}, q, t)
	return Advice{Searcher: t.Searcher.ID, Wait: wait, Cost: policy.Cost.Mean()}
}

// maxWait returns how long a request may wait for a searcher. If all requests of an
// overload were taken, all would miss their objective.
func maxWait(objective, cost time.Duration) time.Duration {
	counted := min(cost, time.Duration(maxCostShare*float64(objective)))
	return time.Duration(objectiveShare*float64(objective)) - counted
}

// record applies one report. A searcher that is not in the pool any more gets no record.
func (p *Placer) record(now time.Time, id sendID, r Report, pool []*wqdirectory.Target) {
	s := p.sends[id]
	known := s != nil
	if known && r.Ended {
		p.countEnd(0)
	}
	if s != nil && (r.Ended || s.searcher != r.Searcher) {
		o := r.Outcome
		if !r.Ended || s.searcher != r.Searcher {
			o = wqsend.Withheld
		}
		p.end(now, id, s, o)
		s = nil
	}
	if s == nil && r.Ended && !known {
		p.countEnd(1)
	}
	if s != nil || r.Ended {
		return
	}
	i, ok := slices.BinarySearchFunc(pool, r.Searcher, func(t *wqdirectory.Target, id string) int { return strings.Compare(t.Searcher.ID, id) })
	if ok {
		p.start(now, id, &r.Request, pool[i])
	}
}

func (p *Placer) start(now time.Time, id sendID, q *Request, t *wqdirectory.Target) {
	if previous := p.sends[id]; previous != nil {
		p.end(now, id, previous, wqsend.Withheld)
	}
	if len(p.sends) >= maxSends {
		return
	}
	deadline := now.Add(min(max(q.Remaining, 0), maxRemaining))
	cost := p.costs.Estimate(now, q.Kind, q.Typical)
	p.sends[id] = &send{
		searcher: t.Searcher.ID, kind: q.Kind, typical: q.Typical, deadline: deadline,
		inFlight: p.tracker.Start(now, t.Searcher.ID),
		work:     p.work.Start(now, wqwork.Start{SearcherID: t.Searcher.ID, Slots: t.Searcher.Slots, Cost: cost, Deadline: deadline}),
	}
}

func (p *Placer) end(now time.Time, id sendID, s *send, o wqsend.Outcome) {
	delete(p.sends, id)
	s.inFlight.Done(now, o, s.typical)
	if cost, ok := s.work.Done(now, o); ok {
		p.costs.Observe(now, s.kind, cost)
	}
}

// sweep ends the sends whose end was not reported, because the VM was lost or cut off.
func (p *Placer) sweep(now time.Time) {
	if passed := now.Sub(p.lastSweep); passed >= 0 && passed < sweepInterval {
		return
	}
	p.lastSweep = now
	for id, s := range p.sends {
		if now.Sub(s.deadline) > reportDelay || s.deadline.Sub(now) > maxRemaining {
			p.end(now, id, s, wqsend.Withheld)
			p.countEnd(1)
		}
	}
}

// countEnd counts the end of a send: 1 if it was not reported in time, else 0.
func (p *Placer) countEnd(unknown float64) {
	p.unknownEnds += unknownEndsWeight * (unknown - p.unknownEnds)
}

// InFlight returns the number of sends that are recorded as in flight.
func (p *Placer) InFlight() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.sends)
}
