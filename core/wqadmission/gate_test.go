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
	shards   = 5
	slots    = 40
	patience = 20 * time.Millisecond
)

// backend is a fake service. A query needs a slot in each shard for 5 to 15 ms;
// a shard refuses what would wait for longer than its patience.
type backend struct {
	random  *rand.Rand
	free    [shards][slots]time.Time
	running []job
}

type job struct {
	outcome Outcome
	ends    time.Time
	good    bool
}

func (b *backend) start(now, deadline time.Time) job {
	j := job{good: true}
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
		if begins.Sub(now) > patience {
			j.good = false
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
	j.good = j.good && j.ends.Before(deadline)
	j.outcome.RunTime = j.ends.Sub(now)
	j.outcome.ShardCount = shards
	return j
}

// plant runs a Gate before a backend in steps of one millisecond.
type plant struct {
	gate    *Gate
	backend backend
	now     time.Time
	next    uint64
	asks    map[uint64]Query
	good    map[string]int
	refused int
}

func newPlant(b Bounds) *plant {
	return &plant{
		gate:    NewGate(b),
		backend: backend{random: rand.New(rand.NewPCG(1, 2))},
		now:     time.Unix(1, 0),
		asks:    map[uint64]Query{},
		good:    map[string]int{},
	}
}

func (p *plant) arrive(tenant string, weight, rank int) {
	p.next++
	ask := Query{ID: p.next, Tenant: tenant, Weight: weight, Rank: rank, Deadline: p.now.Add(100 * time.Millisecond)}
	switch p.gate.Admit(p.now, ask) {
	case Admitted:
		p.start(ask)
	case Queued:
		p.asks[p.next] = ask
	default:
		p.refused++
	}
}

func (p *plant) start(a Query) {
	j := p.backend.start(p.now, a.Deadline)
	p.backend.running = append(p.backend.running, j)
	if j.good {
		p.good[a.Tenant]++
	}
}

func (p *plant) tick() {
	p.now = p.now.Add(time.Millisecond)
	var left, over []job
	for _, j := range p.backend.running {
		if j.ends.After(p.now) {
			left = append(left, j)
		} else {
			over = append(over, j)
		}
	}
	p.backend.running = left
	for _, j := range over {
		for _, id := range p.gate.Done(p.now, j.outcome) {
			p.start(p.asks[id])
			delete(p.asks, id)
		}
	}
}

// run offers the tenants' queries for a time; rates are queries a millisecond.
func (p *plant) run(d time.Duration, rates map[string]float64, weights, ranks map[string]int) {
	owed := map[string]float64{}
	for end := p.now.Add(d); p.now.Before(end); p.tick() {
		for _, t := range []string{"a", "b", "c"} {
			for owed[t] += rates[t]; owed[t] >= 1; owed[t]-- {
				p.arrive(t, weights[t], ranks[t])
			}
		}
	}
}

func (p *plant) reset() { p.good, p.refused = map[string]int{}, 0 }

var adaptive = Bounds{Min: 4, Max: 4096, Initial: 64}

// Capacity is 40 slots / 10 ms = 4 queries a millisecond.
func TestTwiceTheLoadKeepsGoodput(t *testing.T) {
	p := newPlant(adaptive)
	p.run(2*time.Second, map[string]float64{"a": 8}, nil, nil)
	p.reset()
	p.run(5*time.Second, map[string]float64{"a": 8}, nil, nil)
	t.Logf("goodput at twice the load: %.1f%% of capacity", float64(p.good["a"])/200)
	must.Greater(t, int(0.9*4*5000), p.good["a"])
	p.run(3*time.Second, map[string]float64{"a": 2}, nil, nil)
	p.reset()
	p.run(time.Second, map[string]float64{"a": 2}, nil, nil)
	must.Eq(t, 0, p.refused)
	must.GreaterEq(t, 1990, p.good["a"])
}

func TestFairSharesFollowWeights(t *testing.T) {
	p := newPlant(adaptive)
	rates := map[string]float64{"a": 20, "b": 3, "c": 0.5}
	weights := map[string]int{"a": 1, "b": 1, "c": 1}
	p.run(2*time.Second, rates, weights, nil)
	p.reset()
	p.run(5*time.Second, rates, weights, nil)
	must.Greater(t, 2400, p.good["c"])
	ratio := float64(p.good["a"]) / float64(p.good["b"])
	t.Logf("a/b %.2f, c %d of 2500", ratio, p.good["c"])
	must.Between(t, 0.8, ratio, 1.25)
}

func TestHighestRankIsShedFirst(t *testing.T) {
	p := newPlant(adaptive)
	rates := map[string]float64{"a": 3, "b": 4}
	ranks := map[string]int{"a": 0, "b": 1}
	p.run(2*time.Second, rates, nil, ranks)
	p.reset()
	p.run(5*time.Second, rates, nil, ranks)
	must.Greater(t, int(0.95*3*5000), p.good["a"])
	must.Less(t, 6000, p.good["b"])
}

func TestOneSickShardDoesNotThrottle(t *testing.T) {
	g := NewGate(Bounds{Min: 4, Max: 4096, Initial: 64})
	now := time.Unix(1, 0)
	for range 5000 {
		must.Eq(t, Admitted, g.Admit(now, Query{Deadline: now.Add(time.Second)}))
		now = now.Add(time.Millisecond)
		g.Done(now, Outcome{RunTime: 900 * time.Millisecond, TimeToHalf: time.Millisecond, ShedShard: "b03", ShardCount: 20})
	}
	must.GreaterEq(t, 64, g.Limit())
}

func TestTooShortDeadlineIsRefusedButNeverForGood(t *testing.T) {
	g := NewGate(Bounds{Min: 4, Max: 64, Initial: 64})
	now := time.Unix(1, 0)
	ask := Query{Deadline: now.Add(500 * time.Microsecond)}
	must.Eq(t, Admitted, g.Admit(now, ask))
	must.Eq(t, DeadlineTooShort, g.Admit(now, ask))
	g.Done(now, Outcome{})
	must.Eq(t, Admitted, g.Admit(now, ask))
	must.Eq(t, DeadlineTooShort, g.Admit(now.Add(time.Second), ask))
}

func TestGateNeverLosesOrExceeds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewGate(Bounds{Min: 2, Max: 8, Initial: 4})
		now := time.Unix(1, 0)
		waiting, running, id := map[uint64]bool{}, 0, uint64(0)
		begin := func(ids []uint64) {
			for _, i := range ids {
				must.True(rt, waiting[i])
				delete(waiting, i)
				running++
			}
			must.LessEq(rt, max(8, running), running)
		}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(rt, "what") {
			case 0:
				id++
				a := Query{ID: id, Tenant: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "tenant"), Rank: rapid.IntRange(0, 1).Draw(rt, "rank"), Deadline: now.Add(50 * time.Millisecond)}
				switch g.Admit(now, a) {
				case Admitted:
					running++
				case Queued:
					waiting[id] = true
				}
			case 1:
				if running > 0 {
					running--
					shed := rapid.SampledFrom([]string{"", "x"}).Draw(rt, "shed")
					begin(g.Done(now, Outcome{RunTime: time.Millisecond, TimeToHalf: time.Millisecond, ShedShard: shed, ShardCount: 1}))
				}
			case 2:
				if id > 0 {
					gone := rapid.Uint64Range(1, id).Draw(rt, "gone")
					if g.Cancel(gone) {
						must.True(rt, waiting[gone])
					}
					delete(waiting, gone)
				}
			}
			must.LessEq(rt, 8, running)
		}
	})
}
