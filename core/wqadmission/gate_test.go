package wqadmission

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// The seed is fixed; -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	shards       = 5
	slots        = 40
	maxShardWait = 20 * time.Millisecond
)

// backend simulates a service. A query occupies a slot in each shard for 5 to
// 15 ms; a shard sheds a query that would wait for longer than maxShardWait.
type backend struct {
	random  *rand.Rand
	free    [shards][slots]time.Time
	running []job
}

type job struct {
	outcome  Outcome
	ends     time.Time
	answered bool
}

func (b *backend) start(now, deadline time.Time) job {
	j := job{answered: true}
	var ends []time.Time
	for s := range b.free {
		slot := 0
		for i, f := range b.free[s] {
			if f.Before(b.free[s][slot]) {
				slot = i
			}
		}
		begins := now
		if b.free[s][slot].After(now) {
			begins = b.free[s][slot]
		}
		if begins.Sub(now) > maxShardWait {
			j.answered = false
			j.outcome.ShedShard = fmt.Sprint("s", s)
			continue
		}
		b.free[s][slot] = begins.Add(time.Duration(5000+b.random.IntN(10000)) * time.Microsecond)
		ends = append(ends, b.free[s][slot])
	}
	slices.SortFunc(ends, time.Time.Compare)
	j.ends = now.Add(time.Millisecond)
	if len(ends) > 0 {
		j.ends = ends[len(ends)-1]
	}
	if len(ends) > shards/2 {
		j.outcome.TimeToHalf = ends[shards/2].Sub(now)
	}
	j.answered = j.answered && j.ends.Before(deadline)
	j.outcome.RunTime = j.ends.Sub(now)
	j.outcome.ShardCount = shards
	return j
}

// simulation runs a Gate in front of a backend in steps of one millisecond.
type simulation struct {
	gate    *Gate
	backend backend
	now     time.Time
	lastID  uint64
	queued  map[uint64]Query
	goodput map[string]int
	refused int
}

func newSimulation(b Bounds) *simulation {
	return &simulation{
		gate:    NewGate(b),
		backend: backend{random: rand.New(rand.NewPCG(1, 2))},
		now:     time.Unix(1, 0),
		queued:  map[uint64]Query{},
		goodput: map[string]int{},
	}
}

func (s *simulation) arrive(tenant string, weight, rank int) {
	s.lastID++
	query := Query{ID: s.lastID, Tenant: tenant, Weight: weight, Rank: rank, Deadline: s.now.Add(100 * time.Millisecond)}
	switch s.gate.Admit(s.now, query) {
	case Admitted:
		s.start(query)
	case Queued:
		s.queued[s.lastID] = query
	default:
		s.refused++
	}
}

func (s *simulation) start(q Query) {
	j := s.backend.start(s.now, q.Deadline)
	s.backend.running = append(s.backend.running, j)
	if j.answered {
		s.goodput[q.Tenant]++
	}
}

func (s *simulation) tick() {
	s.now = s.now.Add(time.Millisecond)
	var unfinished, finished []job
	for _, j := range s.backend.running {
		if j.ends.After(s.now) {
			unfinished = append(unfinished, j)
		} else {
			finished = append(finished, j)
		}
	}
	s.backend.running = unfinished
	for _, j := range finished {
		for _, id := range s.gate.Done(s.now, j.outcome) {
			s.start(s.queued[id])
			delete(s.queued, id)
		}
	}
}

// run offers the tenants' queries for a duration; rates are queries per
// millisecond.
func (s *simulation) run(d time.Duration, rates map[string]float64, weights, ranks map[string]int) {
	due := map[string]float64{}
	for end := s.now.Add(d); s.now.Before(end); s.tick() {
		for _, t := range []string{"a", "b", "c"} {
			for due[t] += rates[t]; due[t] >= 1; due[t]-- {
				s.arrive(t, weights[t], ranks[t])
			}
		}
	}
}

func (s *simulation) reset() { s.goodput, s.refused = map[string]int{}, 0 }

var adaptive = Bounds{Min: 4, Max: 4096, Initial: 64}

// Guards against a collapse of goodput under overload, and refusals after it.
// The capacity is 40 slots / 10 ms = 4 queries per millisecond.
func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	s := newSimulation(adaptive)
	s.run(2*time.Second, map[string]float64{"a": 8}, nil, nil)
	s.reset()
	s.run(5*time.Second, map[string]float64{"a": 8}, nil, nil)
	t.Logf("goodput at twice the capacity: %.1f%% of capacity", float64(s.goodput["a"])/200)
	must.Greater(t, int(0.9*4*5000), s.goodput["a"])
	s.run(3*time.Second, map[string]float64{"a": 2}, nil, nil)
	s.reset()
	s.run(time.Second, map[string]float64{"a": 2}, nil, nil)
	must.Eq(t, 0, s.refused)
	must.GreaterEq(t, 1990, s.goodput["a"])
}

func TestFairSharesFollowWeights(t *testing.T) {
	s := newSimulation(adaptive)
	rates := map[string]float64{"a": 20, "b": 3, "c": 0.5}
	weights := map[string]int{"a": 1, "b": 1, "c": 1}
	s.run(2*time.Second, rates, weights, nil)
	s.reset()
	s.run(5*time.Second, rates, weights, nil)
	must.Greater(t, 2400, s.goodput["c"])
	ratio := float64(s.goodput["a"]) / float64(s.goodput["b"])
	t.Logf("a/b %.2f, c %d of 2500", ratio, s.goodput["c"])
	must.Between(t, 0.8, ratio, 1.25)
}

func TestHighestRankIsShedFirst(t *testing.T) {
	s := newSimulation(adaptive)
	rates := map[string]float64{"a": 3, "b": 4}
	ranks := map[string]int{"a": 0, "b": 1}
	s.run(2*time.Second, rates, nil, ranks)
	s.reset()
	s.run(5*time.Second, rates, nil, ranks)
	must.Greater(t, int(0.95*3*5000), s.goodput["a"])
	must.Less(t, 6000, s.goodput["b"])
}

func TestOneFailingShardDoesNotLowerLimit(t *testing.T) {
	g := NewGate(Bounds{Min: 4, Max: 4096, Initial: 64})
	now := time.Unix(1, 0)
	for range 5000 {
		must.Eq(t, Admitted, g.Admit(now, Query{Deadline: now.Add(time.Second)}))
		now = now.Add(time.Millisecond)
		g.Done(now, Outcome{RunTime: 900 * time.Millisecond, TimeToHalf: time.Millisecond, ShedShard: "b03", ShardCount: 20})
	}
	must.GreaterEq(t, 64, g.Limit())
}

func TestShortDeadlineIsRefusedOnlyWhileBusy(t *testing.T) {
	g := NewGate(Bounds{Min: 4, Max: 64, Initial: 64})
	now := time.Unix(1, 0)
	query := Query{Deadline: now.Add(500 * time.Microsecond)}
	must.Eq(t, Admitted, g.Admit(now, query))
	must.Eq(t, DeadlineTooShort, g.Admit(now, query))
	g.Done(now, Outcome{})
	must.Eq(t, Admitted, g.Admit(now, query))
	must.Eq(t, DeadlineTooShort, g.Admit(now.Add(time.Second), query))
}

func TestGateStartsQueriesOnceWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewGate(Bounds{Min: 2, Max: 8, Initial: 4})
		now := time.Unix(1, 0)
		queued, running, id := map[uint64]bool{}, 0, uint64(0)
		startQueued := func(ids []uint64) {
			for _, i := range ids {
				must.True(rt, queued[i])
				delete(queued, i)
				running++
			}
			must.LessEq(rt, max(8, running), running)
		}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(rt, "event") {
			case 0:
				id++
				q := Query{ID: id, Tenant: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "tenant"), Rank: rapid.IntRange(0, 1).Draw(rt, "rank"), Deadline: now.Add(50 * time.Millisecond)}
				switch g.Admit(now, q) {
				case Admitted:
					running++
				case Queued:
					queued[id] = true
				}
			case 1:
				if running > 0 {
					running--
					shed := rapid.SampledFrom([]string{"", "x"}).Draw(rt, "shed")
					startQueued(g.Done(now, Outcome{RunTime: time.Millisecond, TimeToHalf: time.Millisecond, ShedShard: shed, ShardCount: 1}))
				}
			case 2:
				if id > 0 {
					cancelled := rapid.Uint64Range(1, id).Draw(rt, "cancelled")
					if g.Cancel(cancelled) {
						must.True(rt, queued[cancelled])
					}
					delete(queued, cancelled)
				}
			}
			must.LessEq(rt, 8, running)
		}
	})
}
