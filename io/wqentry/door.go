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
	leastQueries = 1    // leastQueries is how many queries of a service may always run at once.
	mostQueries  = 4096 // mostQueries is the most queries of a service that run at once.
	firstQueries = 64   // firstQueries is how many run at once before anything was measured.
)

// door lets the queries of one service in, as its Gate decides.
type door struct {
	mutex sync.Mutex
	gate  *wqadmission.Gate
	waits map[uint64]chan struct{} // waits holds a channel for each query that waits; closing it starts the query.
	last  uint64
}

// doors holds a door for each service.
type doors struct {
	mutex     sync.RWMutex
	byService map[string]*door
}

func (s *doors) door(service string) *door {
	s.mutex.RLock()
	found := s.byService[service]
	s.mutex.RUnlock()
	if found != nil {
		return found
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byService == nil {
		s.byService = make(map[string]*door)
	}
	if s.byService[service] == nil {
		bounds := wqadmission.Bounds{Min: leastQueries, Max: mostQueries, Initial: firstQueries}
		s.byService[service] = &door{gate: wqadmission.NewGate(bounds), waits: make(map[uint64]chan struct{})}
	}
	return s.byService[service]
}

// enter waits for the query's turn. Its error says that nothing was run.
func (d *door) enter(ctx context.Context, rule *wqtopology.Rule, deadline time.Time) error {
	verdict, turn, id := d.ask(rule, deadline)
	switch verdict {
	case wqadmission.Admitted:
		return nil
	case wqadmission.DeadlineTooShort:
		return expired()
	case wqadmission.Overloaded:
		return overloaded(rule.Service)
	}
	timer := time.NewTimer(time.Until(deadline) / 2)
	defer timer.Stop()
	select {
	case <-turn:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.giveUp(id, turn, rule.Service)
}

func (d *door) ask(rule *wqtopology.Rule, deadline time.Time) (wqadmission.Decision, chan struct{}, uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.last++
	ask := wqadmission.Query{ID: d.last, Tenant: rule.Tenant, Weight: rule.Weight, Rank: rule.ShedRank, Deadline: deadline}
	verdict := d.gate.Admit(time.Now(), ask)
	if verdict != wqadmission.Queued {
		return verdict, nil, 0
	}
	turn := make(chan struct{})
	d.waits[ask.ID] = turn
	return verdict, turn, ask.ID
}

// giveUp ends the wait, unless the turn came at the same moment.
func (d *door) giveUp(id uint64, turn chan struct{}, service string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	select {
	case <-turn:
		return nil
	default:
	}
	d.gate.Cancel(id)
	delete(d.waits, id)
	return overloaded(service)
}

// leave notes that a query that entered is over and starts those whose turn it is.
func (d *door) leave(o wqadmission.Outcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, id := range d.gate.Done(time.Now(), o) {
		close(d.waits[id])
		delete(d.waits, id)
	}
}

// outcome tells the gate what an answer says of the load.
func outcome(held, half time.Duration, a *wqanswer.Answer) wqadmission.Outcome {
	o := wqadmission.Outcome{RunTime: held, TimeToHalf: half, ShardCount: a.ShardsTotal}
	for _, m := range a.Missing {
		if m.Reason == wqanswer.Shed {
			o.ShedShard = m.Shard
			break
		}
	}
	return o
}

func overloaded(service string) error {
	message := fmt.Sprintf("service %q has more queries than it can answer in time", service)
	return wqfault.New(wqfault.Overloaded, message, "retry later with a pause that grows, or allow more time")
}

func expired() error {
	return wqfault.New(wqfault.Expired, "too little time is left for an answer", "allow more time")
}
