package wqfanout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqhedge"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqview"
)

// virtualClock runs events in the order of their virtual time.
type virtualClock struct {
	now    time.Time
	events []event
}

type event struct {
	at     time.Time
	action func()
}

func (c *virtualClock) Len() int           { return len(c.events) }
func (c *virtualClock) Less(i, j int) bool { return c.events[i].at.Before(c.events[j].at) }
func (c *virtualClock) Swap(i, j int)      { c.events[i], c.events[j] = c.events[j], c.events[i] }
func (c *virtualClock) Push(x any)         { c.events = append(c.events, x.(event)) }
func (c *virtualClock) Pop() any {
	last := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return last
}

func (c *virtualClock) schedule(t time.Time, action func()) { heap.Push(c, event{t, action}) }

func (c *virtualClock) run() {
	for c.Len() > 0 {
		e := heap.Pop(c).(event)
		c.now = e.at
		e.action()
	}
}

// simulation runs 50 queries per second on searchers that take 15 ms on average.
type simulation[R ReplicaPolicy, H HedgePolicy] struct {
	virtualClock
	view             *wqview.View
	replicaPolicy    R
	hedgePolicy      H
	random           *rand.Rand
	isSlow           func(searcher string, draw float64) bool // isSlow reports whether an answer takes ten times as long.
	latenciesMS      []float64
	subQueriesSent   int
	hedgesSent       int
	subQueriesNeeded int
}

func (sim *simulation[R, H]) responseTime(searcher string) time.Duration {
	const mean, floor, spread, factor = 15.0, 0.7, 0.3, 10.0
	millis := mean * (floor + spread*sim.random.ExpFloat64())
	if sim.isSlow(searcher, sim.random.Float64()) {
		millis *= factor
	}
	return time.Duration(millis * float64(time.Millisecond))
}

func (sim *simulation[R, H]) startQuery() {
	retry := &wqbudget.Budget{}
	q := &Query[R, H]{
		RequestID: "q", Service: "bench", Deadline: sim.now.Add(500 * time.Millisecond), MaxRows: 10,
		ReplicaPolicy: sim.replicaPolicy, HedgePolicy: sim.hedgePolicy, RetryBudget: retry, Random: sim.random.Uint64,
	}
	startedAt := sim.now
	var carryOut func(Actions)
	scheduleWake := func() {
		next := q.NextWake()
		sim.schedule(next, func() {
			if !q.done && q.NextWake().Equal(next) {
				carryOut(q.Wake(sim.now, sim.view))
			}
		})
	}
	carryOut = func(s Actions) {
		for _, b := range s.Batches {
			for _, sub := range b.SubQueries {
				sim.schedule(sim.now.Add(sim.responseTime(sub.SearcherID)), func() {
					if !q.done {
						carryOut(q.HandleReply(sim.now, sim.view, answeredReply(b, sub, 5, 5, 5)))
					}
				})
			}
		}
		if !s.Done {
			scheduleWake()
			return
		}
		sim.recordQuery(q, startedAt)
	}
	carryOut(q.Start(sim.now, sim.view))
}

func (sim *simulation[R, H]) recordQuery(q *Query[R, H], startedAt time.Time) {
	if startedAt.Sub(epoch) < 5*time.Second {
		return
	}
	sim.latenciesMS = append(sim.latenciesMS, sim.now.Sub(startedAt).Seconds()*1000)
	sim.subQueriesSent += q.subQueriesSent
	sim.hedgesSent += q.hedgesSent
	sim.subQueriesNeeded += len(q.pass.shards)
}

// measure runs the simulation for 30 s of virtual time. It returns the 99th
// percentile of the query latency in milliseconds, and the extra sub-queries per
// needed one.
func (sim *simulation[R, H]) measure(t *testing.T, shards int) (p99, extra float64) {
	names := make([]string, shards)
	for i := range names {
		names[i] = fmt.Sprintf("s%02d", i)
	}
	sim.now = epoch
	sim.random = rand.New(rand.NewPCG(1, 2))
	sim.view = newView(newLayout(1, names...))
	sim.view.Snapshots["bench"] = 5
	for s := 0.0; s < 30; s += sim.random.ExpFloat64() / 50 {
		sim.schedule(epoch.Add(time.Duration(s*float64(time.Second))), sim.startQuery)
	}
	sim.run()
	slices.Sort(sim.latenciesMS)
	quantile := func(q float64) float64 { return sim.latenciesMS[int(q*float64(len(sim.latenciesMS)))] }
	extra = float64(sim.subQueriesSent)/float64(sim.subQueriesNeeded) - 1
	t.Logf("%T, %d shards: p50 %.1f p90 %.1f p99 %.1f p99.9 %.1f ms, extra %.2f%%", sim.hedgePolicy, shards,
		quantile(0.5), quantile(0.9), quantile(0.99), quantile(0.999), 100*extra)
	return quantile(0.99), extra
}

func TestHedgingCutsTailLatencyWithinBudget(t *testing.T) {
	random := func(share float64) func(string, float64) bool {
		return func(_ string, draw float64) bool { return draw < share }
	}
	slowSearcher := func(s string, _ float64) bool { return strings.HasSuffix(s, "0-0") }
	for name, c := range map[string]struct {
		isSlow     func(string, float64) bool
		hedgeShare float64 // hedgeShare is the hedge budget per sub-query.
		maxRatio   float64 // maxRatio is the maximum p99 relative to the p99 without hedges.
	}{
		"3% of answers straggle":                          {random(0.03), 0.05, 1.0 / 3},
		"5% of answers straggle":                          {random(0.05), 0.05, 2.0 / 3},
		"5% of answers straggle, with a budget of 6%":     {random(0.05), 0.06, 0.5},
		"one searcher in twenty is slow":                  {slowSearcher, 0.05, 1.0 / 3},
		"no straggler: hedges only spend what is allowed": {random(0), 0.05, 1.01},
	} {
		t.Run(name, func(t *testing.T) {
			unhedged := &simulation[wqreplica.Random, wqhedge.Never]{isSlow: c.isSlow}
			baseline, _ := unhedged.measure(t, 20)
			budget := &wqbudget.Budget{Ratio: c.hedgeShare, Burst: 10, OverloadPause: time.Second}
			hedged := &simulation[wqreplica.TwoChoices, *wqhedge.Quantile]{
				isSlow: c.isSlow, replicaPolicy: wqreplica.TwoChoices{Stats: wqreplica.NewStats()}, hedgePolicy: wqhedge.NewQuantile(0.95, budget),
			}
			p99, extra := hedged.measure(t, 20)
			must.LessEq(t, c.maxRatio*baseline, p99)
			must.LessEq(t, c.hedgeShare+0.001, extra)
		})
	}
}
