package wqgather_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtopology"
)

// patience is a fixed one with a budget.
type patience struct {
	delay  time.Duration
	budget *int
}

func (p patience) HedgeDelay() time.Duration  { return p.delay }
func (p patience) MeanLatency() time.Duration { return 20 * time.Millisecond }

func (p patience) TrySpend(time.Time, string) bool {
	*p.budget--
	return *p.budget >= 0
}

type gather = wqgather.Gather[wqselector.LeastLatency, patience]

// bench is one request against services of two searchers each.
type bench struct {
	*gather
	now    time.Time
	pools  wqdirectory.Pools
	budget int
}

func newBench(services int, route wqroute.Route) *bench {
	b := &bench{now: time.Unix(1000, 0), pools: make(wqdirectory.Pools), budget: 100}
	names := make([]string, services)
	for i := range names {
		names[i] = fmt.Sprintf("s%02d", i)
		for _, zone := range []string{"a", "b"} {
			s := wqtopology.Searcher{ID: names[i] + zone, Zone: zone, Service: names[i], Slots: 3}
			b.pools[names[i]] = append(b.pools[names[i]], &wqdirectory.Target{Searcher: s})
		}
	}
	if services > 1 {
		route.Shards = names
	}
	b.gather = &gather{
		Route: &route, Services: names, Random: func() uint64 { return 7 },
		Picker:      wqselector.LeastLatency{Tracker: wqselector.New(), Zone: "a"},
		HedgePolicy: patience{delay: 50 * time.Millisecond, budget: &b.budget},
		Deadline:    b.now.Add(2 * time.Second),
	}
	return b
}

func (b *bench) take(s wqgather.Send, o wqsend.Outcome) []wqgather.Send {
	return b.HandleResult(b.now, b.pools, s, wqsend.Result{Outcome: o, Signature: s.Target.Searcher.ID})
}

func (b *bench) wake(after time.Duration) []wqgather.Send {
	b.now = b.now.Add(after)
	return b.Wake(b.now, b.pools)
}

func TestNotIdempotentIsSentAgainOnlyOnProof(t *testing.T) {
	cases := map[wqsend.Outcome]bool{
		wqsend.Declined: true, wqsend.WrongSearcher: true, wqsend.Unreachable: true,
		wqsend.Failed: false, wqsend.Broken: false, wqsend.Cancelled: false,
	}
	for outcome, again := range cases {
		t.Run(outcome.String(), func(t *testing.T) {
			b := newBench(1, wqroute.Route{Attempts: 3})
			first := b.Start(b.now, b.pools)
			must.Len(t, 1, first)
			must.Len(t, 0, b.wake(500*time.Millisecond), must.Sprint("a second send while the first is out"))
			sends := b.take(first[0], outcome)
			if again {
				must.Len(t, 1, sends)
				must.Eq(t, wqgather.Pending, b.State(b.now))
				return
			}
			must.Len(t, 0, sends)
			must.Len(t, 0, b.wake(500*time.Millisecond))
			must.Eq(t, wqgather.Failed, b.State(b.now))
		})
	}
}

func TestIdempotentIsSentToASecondSearcherAfterTheDelay(t *testing.T) {
	b := newBench(1, wqroute.Route{Attempts: 2, Idempotent: true})
	first := b.Start(b.now, b.pools)
	must.Len(t, 0, b.wake(49*time.Millisecond))
	second := b.wake(time.Millisecond)
	must.Len(t, 1, second)
	must.NotEq(t, first[0].Target.Searcher.ID, second[0].Target.Searcher.ID)
	must.True(t, second[0].Extra)
	must.Len(t, 0, b.wake(time.Second), must.Sprint("more sends than attempts"))
	b.take(second[0], wqsend.Answered)
	must.Eq(t, wqgather.Complete, b.State(b.now))
	must.Eq(t, []int{first[0].ID}, b.RemoveInFlight(0))
}

func TestBudgetBoundsExtraSends(t *testing.T) {
	b := newBench(4, wqroute.Route{Attempts: 2, Idempotent: true, LeastShare: 0.5})
	b.budget = 3
	must.Len(t, 4, b.Start(b.now, b.pools))
	must.Len(t, 3, b.wake(50*time.Millisecond))
	b.budget = 0
	must.Len(t, 0, b.wake(50*time.Millisecond))
}

func TestUnreachableSearchersCostNoBudget(t *testing.T) {
	b := newBench(1, wqroute.Route{Attempts: 1, Idempotent: true})
	b.budget = 0
	first := b.Start(b.now, b.pools)
	must.Len(t, 1, b.take(first[0], wqsend.Unreachable))
}

func TestIncompleteAnswerIsGivenInTimeForTheObjective(t *testing.T) {
	b := newBench(20, wqroute.Route{Attempts: 1, Idempotent: true, LeastShare: 0.89})
	b.PartialAfter = b.now.Add(180 * time.Millisecond)
	sends := b.Start(b.now, b.pools)
	for _, s := range sends[:18] {
		b.take(s, wqsend.Answered)
	}
	must.Eq(t, wqgather.Pending, b.State(b.now))
	must.Eq(t, b.PartialAfter, b.NextWake(b.now))
	b.now = b.PartialAfter
	must.Eq(t, wqgather.Partial, b.State(b.now))
}

func TestTooFewAnswersWaitUntilTheDeadline(t *testing.T) {
	b := newBench(20, wqroute.Route{Attempts: 1, Idempotent: true, LeastShare: 0.89})
	b.PartialAfter = b.now.Add(180 * time.Millisecond)
	sends := b.Start(b.now, b.pools)
	for _, s := range sends[:17] {
		b.take(s, wqsend.Answered)
	}
	b.now = b.PartialAfter
	must.Eq(t, wqgather.Pending, b.State(b.now))
	b.now = b.Deadline
	must.Eq(t, wqgather.Expired, b.State(b.now))
}

func TestWhatCannotBeServedEndsAtOnce(t *testing.T) {
	b := newBench(20, wqroute.Route{Attempts: 1, Idempotent: true, LeastShare: 0.89})
	for _, s := range []string{"s03", "s04", "s05"} {
		delete(b.pools, s)
	}
	sends := b.Start(b.now, b.pools)
	must.Eq(t, wqgather.Refused, b.State(b.now), must.Sprint("17 of 20 are fewer than 0.89"))
	must.Len(t, 0, sends)

	single := newBench(1, wqroute.Route{Attempts: 1})
	delete(single.pools, "s00")
	must.Len(t, 0, single.Start(single.now, single.pools))
	must.Eq(t, wqgather.Refused, single.State(single.now))
}

func TestAllSearchersDeclineThenOneTakesIt(t *testing.T) {
	b := newBench(1, wqroute.Route{Attempts: 2})
	sends := b.Start(b.now, b.pools)
	sends = b.take(sends[0], wqsend.Declined)
	must.Len(t, 1, sends)
	must.Len(t, 0, b.take(sends[0], wqsend.Declined))
	must.Eq(t, wqgather.Pending, b.State(b.now))
	b.now = b.NextWake(b.now)
	must.Len(t, 1, b.wake(0), must.Sprint("a rest after refusals, then another try"))
}

func TestRequestWithoutBudgetForAnotherSendEndsAtOnce(t *testing.T) {
	for outcome, want := range map[wqsend.Outcome]wqgather.State{wqsend.Failed: wqgather.Failed, wqsend.Declined: wqgather.Refused} {
		b := newBench(1, wqroute.Route{Attempts: 2, Idempotent: true})
		b.budget = 0
		first := b.Start(b.now, b.pools)
		must.Len(t, 0, b.take(first[0], outcome))
		must.Eq(t, want, b.State(b.now))
	}
}
