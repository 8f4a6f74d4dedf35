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

// clock runs events in the order of a virtual time.
type clock struct {
	now    time.Time
	events []event
}

type event struct {
	at time.Time
	do func()
}

func (c *clock) Len() int           { return len(c.events) }
func (c *clock) Less(i, j int) bool { return c.events[i].at.Before(c.events[j].at) }
func (c *clock) Swap(i, j int)      { c.events[i], c.events[j] = c.events[j], c.events[i] }
func (c *clock) Push(x any)         { c.events = append(c.events, x.(event)) }
func (c *clock) Pop() any {
	last := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return last
}

func (c *clock) at(t time.Time, do func()) { heap.Push(c, event{t, do}) }

func (c *clock) run() {
	for c.Len() > 0 {
		e := heap.Pop(c).(event)
		c.now = e.at
		e.do()
	}
}

// trial answers queries at 50 a second from searchers that take 15 ms on average.
type trial[R ReplicaPolicy, H HedgePolicy] struct {
	clock
	view    *wqview.View
	replica R
	hedge   H
	random  *rand.Rand
	slow    func(searcher string, draw float64) bool // slow tells whether an answer takes ten times as long.
	tookMS  []float64
	sent    int
	hedges  int
	needed  int
}

func (tr *trial[R, H]) delay(searcher string) time.Duration {
	const mean, floor, spread, factor = 15.0, 0.7, 0.3, 10.0
	took := mean * (floor + spread*tr.random.ExpFloat64())
	if tr.slow(searcher, tr.random.Float64()) {
		took *= factor
	}
	return time.Duration(took * float64(time.Millisecond))
}

func (tr *trial[R, H]) query() {
	retry := &wqbudget.Budget{}
	q := &Query[R, H]{
		RequestID: "q", Service: "bench", Deadline: tr.now.Add(500 * time.Millisecond), MaxRows: 10,
		ReplicaPolicy: tr.replica, HedgePolicy: tr.hedge, RetryBudget: retry, Random: tr.random.Uint64,
	}
	began := tr.now
	var carryOut func(Actions)
	wakeUp := func() {
		next := q.NextWake()
		tr.at(next, func() {
			if !q.done && q.NextWake().Equal(next) {
				carryOut(q.Wake(tr.now, tr.view))
			}
		})
	}
	carryOut = func(s Actions) {
		for _, b := range s.Batches {
			for _, sub := range b.SubQueries {
				tr.at(tr.now.Add(tr.delay(sub.SearcherID)), func() {
					if !q.done {
						carryOut(q.HandleReply(tr.now, tr.view, reply(b, sub, 5, 5, 5)))
					}
				})
			}
		}
		if !s.Done {
			wakeUp()
			return
		}
		tr.count(q, began)
	}
	carryOut(q.Start(tr.now, tr.view))
}

func (tr *trial[R, H]) count(q *Query[R, H], began time.Time) {
	if began.Sub(epoch) < 5*time.Second {
		return
	}
	tr.tookMS = append(tr.tookMS, tr.now.Sub(began).Seconds()*1000)
	tr.sent += q.sent
	tr.hedges += q.hedges
	tr.needed += len(q.pass.shards)
}

// measure returns the quantiles of the time and the extra sub-queries per needed one.
func (tr *trial[R, H]) measure(t *testing.T, shards int) (p99, extra float64) {
	names := make([]string, shards)
	for i := range names {
		names[i] = fmt.Sprintf("s%02d", i)
	}
	tr.now = epoch
	tr.random = rand.New(rand.NewPCG(1, 2))
	tr.view = newView(layout(1, names...))
	tr.view.Snapshots["bench"] = 5
	for s := 0.0; s < 30; s += tr.random.ExpFloat64() / 50 {
		tr.at(epoch.Add(time.Duration(s*float64(time.Second))), tr.query)
	}
	tr.run()
	slices.Sort(tr.tookMS)
	quantile := func(q float64) float64 { return tr.tookMS[int(q*float64(len(tr.tookMS)))] }
	extra = float64(tr.sent)/float64(tr.needed) - 1
	t.Logf("%T, %d shards: p50 %.1f p90 %.1f p99 %.1f p99.9 %.1f ms, extra %.2f%%", tr.hedge, shards,
		quantile(0.5), quantile(0.9), quantile(0.99), quantile(0.999), 100*extra)
	return quantile(0.99), extra
}

func TestTailIsCutWithinTheBudget(t *testing.T) {
	random := func(share float64) func(string, float64) bool {
		return func(_ string, draw float64) bool { return draw < share }
	}
	oneInTwenty := func(s string, _ float64) bool { return strings.HasSuffix(s, "0-0") }
	for name, c := range map[string]struct {
		slow  func(string, float64) bool
		share float64 // share is the budget of hedges.
		part  float64 // part of the baseline's p99 that is allowed.
	}{
		"3% of answers straggle":                          {random(0.03), 0.05, 1.0 / 3},
		"5% of answers straggle":                          {random(0.05), 0.05, 2.0 / 3},
		"5% of answers straggle, with a budget of 6%":     {random(0.05), 0.06, 0.5},
		"one searcher in twenty is slow":                  {oneInTwenty, 0.05, 1.0 / 3},
		"no straggler: hedges only spend what is allowed": {random(0), 0.05, 1.01},
	} {
		t.Run(name, func(t *testing.T) {
			plain := &trial[wqreplica.Random, wqhedge.Never]{slow: c.slow}
			baseline, _ := plain.measure(t, 20)
			budget := &wqbudget.Budget{Ratio: c.share, Burst: 10, OverloadPause: time.Second}
			tuned := &trial[wqreplica.TwoChoices, *wqhedge.Quantile]{
				slow: c.slow, replica: wqreplica.TwoChoices{Stats: wqreplica.NewStats()}, hedge: wqhedge.NewQuantile(0.95, budget),
			}
			p99, extra := tuned.measure(t, 20)
			must.LessEq(t, c.part*baseline, p99)
			must.LessEq(t, c.share+0.001, extra)
		})
	}
}
