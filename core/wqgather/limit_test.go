package wqgather_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqexclusion"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqstatement"
)

// newLimitedGather returns a request whose searchers take one request a second each.
func newLimitedGather(services int, route wqroute.Route) (*testRequest, *excludingGather) {
	tr := newTestRequest(services, route)
	statements := wqstatement.New()
	for _, pool := range tr.pools {
		for _, t := range pool {
			statements.ObserveLimit(tr.now, t, wqstatement.Limit{Report: wqstatement.Limited, Rate: 1, SentAt: tr.now})
		}
	}
	return tr, &excludingGather{
		Route: tr.Route, Services: tr.Services, Random: tr.Random, HedgePolicy: tr.HedgePolicy, Deadline: tr.Deadline, WaitTime: statements.Wait,
		Take:   func(now time.Time, t *wqdirectory.Target) bool { return statements.Take(now, t, 1, 0) },
		Picker: wqexclusion.Picker[wqselector.LeastLatency]{Inner: tr.Picker, Statements: statements},
	}
}

// nextRequest returns another request to the same searchers.
func nextRequest(g *excludingGather) *excludingGather {
	return &excludingGather{
		Route: g.Route, Services: g.Services, Random: g.Random, HedgePolicy: g.HedgePolicy, Deadline: g.Deadline, WaitTime: g.WaitTime, Take: g.Take, Picker: g.Picker,
	}
}

// Guards against requests that wait in vain for searchers at their limit.
func TestRequestIsRefusedAtOnceWhenAllSearchersAreAtTheirLimit(t *testing.T) {
	tr, g := newLimitedGather(1, wqroute.Route{Attempts: 2})
	for range 2 {
		must.Len(t, 1, g.Start(tr.now, tr.pools))
		g = nextRequest(g)
	}
	must.Len(t, 0, g.Start(tr.now, tr.pools))
	must.Eq(t, wqgather.Refused, g.State(tr.now))
	g = nextRequest(g)
	must.Len(t, 1, g.Start(tr.now.Add(time.Second), tr.pools))
}

// Guards against a fan-out that waits for shards at their limit, or is refused although
// enough other shards answer.
func TestFanOutLeavesOutShardsAtTheirLimit(t *testing.T) {
	tr, g := newLimitedGather(4, wqroute.Route{Attempts: 2, Idempotent: true, LeastShare: 0.75})
	for _, target := range tr.pools["s00"] {
		must.True(t, g.Take(tr.now, target))
	}
	sends := g.Start(tr.now, tr.pools)
	must.Len(t, 3, sends)
	for _, s := range sends {
		g.HandleResult(tr.now, tr.pools, s, wqsend.Result{Outcome: wqsend.Answered})
	}
	must.Eq(t, wqgather.Partial, g.State(tr.now))
	for _, target := range append(tr.pools["s01"], tr.pools["s02"]...) {
		g.Take(tr.now, target)
	}
	g = nextRequest(g)
	must.Len(t, 0, g.Start(tr.now, tr.pools), must.Sprint("the other shards are spared a fan-out that can't be answered"))
	must.Eq(t, wqgather.Refused, g.State(tr.now))
}

// Guards against retries and hedges that use up a limit without being sent.
func TestSendWithoutBudgetDoesNotUseTheLimit(t *testing.T) {
	tr, g := newLimitedGather(1, wqroute.Route{Attempts: 2, Idempotent: true})
	tr.budget = 0
	first := g.Start(tr.now, tr.pools)[0]
	for range 10 {
		must.Len(t, 0, g.Wake(tr.now.Add(100*time.Millisecond), tr.pools))
	}
	for _, target := range tr.pools["s00"] {
		must.Eq(t, target != first.Target, g.Take(tr.now.Add(100*time.Millisecond), target))
	}
}
