package wqentry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wisteriaquay/core/wqadmission"
	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqtopology"
)

const (
	minConcurrency     = 1    // queries of a service that may always run at once
	maxConcurrency     = 4096 // queries of a service at once
	initialConcurrency = 64   // queries of a service at once, before the limit adapts to measurements
)

// serviceGate queues and admits the queries of one service, using a
// wqadmission.Gate for the decisions.
type serviceGate struct {
	mutex  sync.Mutex
	gate   *wqadmission.Gate
	queued map[uint64]chan struct{} // by query ID; closing the channel starts the query
	lastID uint64
}

// serviceGates holds one serviceGate per service.
type serviceGates struct {
	mutex     sync.RWMutex
	byService map[string]*serviceGate
}

func (s *serviceGates) gate(service string) *serviceGate {
	s.mutex.RLock()
	found := s.byService[service]
	s.mutex.RUnlock()
	if found != nil {
		return found
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byService == nil {
		s.byService = make(map[string]*serviceGate)
	}
	if s.byService[service] == nil {
		bounds := wqadmission.Bounds{Min: minConcurrency, Max: maxConcurrency, Initial: initialConcurrency}
		s.byService[service] = &serviceGate{gate: wqadmission.NewGate(bounds), queued: make(map[uint64]chan struct{})}
	}
	return s.byService[service]
}

// admit blocks until the query may start. With an Expired or Overloaded fault,
// nothing was run. A query is queued for at most half of its remaining time.
func (g *serviceGate) admit(ctx context.Context, rule *wqtopology.Rule, deadline time.Time) error {
	decision, admitted, id := g.submit(rule, deadline)
	switch decision {
	case wqadmission.Admitted:
		return nil
	case wqadmission.DeadlineTooShort:
		return expiredFault()
	case wqadmission.Overloaded:
		return overloadedFault(rule.Service)
	}
	timer := time.NewTimer(time.Until(deadline) / 2)
	defer timer.Stop()
	select {
	case <-admitted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.cancel(id, admitted, rule.Service)
}

func (g *serviceGate) submit(rule *wqtopology.Rule, deadline time.Time) (wqadmission.Decision, chan struct{}, uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.lastID++
	query := wqadmission.Query{ID: g.lastID, Tenant: rule.Tenant, Weight: rule.Weight, Rank: rule.ShedRank, Deadline: deadline}
	decision := g.gate.Admit(time.Now(), query)
	if decision != wqadmission.Queued {
		return decision, nil, 0
	}
	admitted := make(chan struct{})
	g.queued[query.ID] = admitted
	return decision, admitted, query.ID
}

// cancel removes a query from the queue and returns an Overloaded fault, or nil if
// the query was admitted in the meantime.
func (g *serviceGate) cancel(id uint64, admitted chan struct{}, service string) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case <-admitted:
		return nil
	default:
	}
	g.gate.Cancel(id)
	delete(g.queued, id)
	return overloadedFault(service)
}

// finished records the end of an admitted query and starts the queued queries that
// the gate now admits.
func (g *serviceGate) finished(o wqadmission.Outcome) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, id := range g.gate.Done(time.Now(), o) {
		close(g.queued[id])
		delete(g.queued, id)
	}
}

// admissionOutcome returns the measurements that the gate adapts its concurrency
// limit to.
func admissionOutcome(runTime, timeToHalf time.Duration, a *wqanswer.Answer) wqadmission.Outcome {
	o := wqadmission.Outcome{RunTime: runTime, TimeToHalf: timeToHalf, ShardCount: a.ShardsTotal}
	for _, m := range a.Missing {
		if m.Reason == wqanswer.Shed {
			o.ShedShard = m.Shard
			break
		}
	}
	return o
}

func overloadedFault(service string) error {
	message := fmt.Sprintf("service %q has more queries than it can answer in time", service)
	return wqfault.New(wqfault.Overloaded, message, "retry with exponential backoff, or allow more time")
}

func expiredFault() error {
	return wqfault.New(wqfault.Expired, "the remaining time is too short for an answer", "allow more time")
}
