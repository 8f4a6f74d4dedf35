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

// fixedHedgePolicy has a fixed delay and counts its budget in sends.
type fixedHedgePolicy struct {
	delay  time.Duration
	budget *int
}

func (p fixedHedgePolicy) HedgeDelay(float64) time.Duration { return p.delay }
func (p fixedHedgePolicy) MeanLatency() time.Duration       { return 20 * time.Millisecond }

func (p fixedHedgePolicy) TrySpend(time.Time, string) bool {
	*p.budget--
	return *p.budget >= 0
}

type gather = wqgather.Gather[wqselector.LeastLatency, fixedHedgePolicy]

// testRequest is one request to services with two searchers each.
type testRequest struct {
	*gather
	now    time.Time
	pools  wqdirectory.Pools
	budget int
}

func newTestRequest(services int, route wqroute.Route) *testRequest {
	tr := &testRequest{now: time.Unix(1000, 0), pools: make(wqdirectory.Pools), budget: 100}
	names := make([]string, services)
	for i := range names {
		names[i] = fmt.Sprintf("s%02d", i)
		for _, zone := range []string{"a", "b"} {
			s := wqtopology.Searcher{ID: names[i] + zone, Zone: zone, Service: names[i], Slots: 3}
			tr.pools[names[i]] = append(tr.pools[names[i]], &wqdirectory.Target{Searcher: s})
		}
	}
	if services > 1 {
		route.Shards = names
	}
	tr.gather = &gather{
		Route: &route, Services: names, Random: func() uint64 { return 7 },
		Picker:      wqselector.LeastLatency{Tracker: wqselector.New(), Zone: "a"},
		HedgePolicy: fixedHedgePolicy{delay: 50 * time.Millisecond, budget: &tr.budget},
		Deadline:    tr.now.Add(2 * time.Second),
	}
	return tr
}

func (tr *testRequest) endSend(s wqgather.Send, o wqsend.Outcome) []wqgather.Send {
	return tr.HandleResult(tr.now, tr.pools, s, wqsend.Result{Outcome: o, Signature: s.Target.Searcher.ID})
}

func (tr *testRequest) wake(after time.Duration) []wqgather.Send {
	tr.now = tr.now.Add(after)
	return tr.Wake(tr.now, tr.pools)
}

func TestNonIdempotentRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	cases := map[wqsend.Outcome]bool{
		wqsend.Declined: true, wqsend.WrongSearcher: true, wqsend.Unreachable: true, wqsend.Withheld: true,
		wqsend.Failed: false, wqsend.Broken: false, wqsend.Cancelled: false,
	}
	for outcome, retried := range cases {
		t.Run(outcome.String(), func(t *testing.T) {
			tr := newTestRequest(1, wqroute.Route{Attempts: 3})
			first := tr.Start(tr.now, tr.pools)
			must.Len(t, 1, first)
			must.Len(t, 0, tr.wake(500*time.Millisecond), must.Sprint("a second send while the first is in flight"))
			sends := tr.endSend(first[0], outcome)
			if retried {
				must.Len(t, 1, sends)
				must.Eq(t, wqgather.Pending, tr.State(tr.now))
				return
			}
			must.Len(t, 0, sends)
			must.Len(t, 0, tr.wake(500*time.Millisecond))
			must.Eq(t, wqgather.Failed, tr.State(tr.now))
		})
	}
}

func TestIdempotentRequestIsHedgedAfterDelay(t *testing.T) {
	tr := newTestRequest(1, wqroute.Route{Attempts: 2, Idempotent: true})
	first := tr.Start(tr.now, tr.pools)
	must.Len(t, 0, tr.wake(49*time.Millisecond))
	second := tr.wake(time.Millisecond)
	must.Len(t, 1, second)
	must.NotEq(t, first[0].Target.Searcher.ID, second[0].Target.Searcher.ID)
	must.True(t, second[0].Extra)
	must.Len(t, 0, tr.wake(time.Second), must.Sprint("more sends than attempts"))
	tr.endSend(second[0], wqsend.Answered)
	must.Eq(t, wqgather.Complete, tr.State(tr.now))
	must.Eq(t, []int{first[0].ID}, tr.RemoveInFlight(0))
}

func TestBudgetBoundsExtraSends(t *testing.T) {
	tr := newTestRequest(4, wqroute.Route{Attempts: 2, Idempotent: true, LeastShare: 0.5})
	tr.budget = 3
	must.Len(t, 4, tr.Start(tr.now, tr.pools))
	must.Len(t, 3, tr.wake(50*time.Millisecond))
	tr.budget = 0
	must.Len(t, 0, tr.wake(50*time.Millisecond))
}

func TestUnreachableSearchersCostNoBudget(t *testing.T) {
	tr := newTestRequest(1, wqroute.Route{Attempts: 1, Idempotent: true})
	tr.budget = 0
	first := tr.Start(tr.now, tr.pools)
	must.Len(t, 1, tr.endSend(first[0], wqsend.Unreachable))
}

func TestPartialAnswerIsReturnedAtPartialAfter(t *testing.T) {
	tr := newTestRequest(20, wqroute.Route{Attempts: 1, Idempotent: true, LeastShare: 0.89})
	tr.PartialAfter = tr.now.Add(180 * time.Millisecond)
	sends := tr.Start(tr.now, tr.pools)
	for _, s := range sends[:18] {
		tr.endSend(s, wqsend.Answered)
	}
	must.Eq(t, wqgather.Pending, tr.State(tr.now))
	must.Eq(t, tr.PartialAfter, tr.NextWake(tr.now))
	tr.now = tr.PartialAfter
	must.Eq(t, wqgather.Partial, tr.State(tr.now))
}

func TestTooFewAnswersKeepRequestPendingUntilDeadline(t *testing.T) {
	tr := newTestRequest(20, wqroute.Route{Attempts: 1, Idempotent: true, LeastShare: 0.89})
	tr.PartialAfter = tr.now.Add(180 * time.Millisecond)
	sends := tr.Start(tr.now, tr.pools)
	for _, s := range sends[:17] {
		tr.endSend(s, wqsend.Answered)
	}
	tr.now = tr.PartialAfter
	must.Eq(t, wqgather.Pending, tr.State(tr.now))
	tr.now = tr.Deadline
	must.Eq(t, wqgather.Expired, tr.State(tr.now))
}

func TestTooFewServicesWithSearchersRefuseAtOnce(t *testing.T) {
	tr := newTestRequest(20, wqroute.Route{Attempts: 1, Idempotent: true, LeastShare: 0.89})
	for _, s := range []string{"s03", "s04", "s05"} {
		delete(tr.pools, s)
	}
	sends := tr.Start(tr.now, tr.pools)
	must.Eq(t, wqgather.Refused, tr.State(tr.now), must.Sprint("17 of 20 services are fewer than 0.89"))
	must.Len(t, 0, sends)

	single := newTestRequest(1, wqroute.Route{Attempts: 1})
	delete(single.pools, "s00")
	must.Len(t, 0, single.Start(single.now, single.pools))
	must.Eq(t, wqgather.Refused, single.State(single.now))
}

func TestRequestIsRetriedAfterAllSearchersDeclined(t *testing.T) {
	tr := newTestRequest(1, wqroute.Route{Attempts: 2})
	sends := tr.Start(tr.now, tr.pools)
	sends = tr.endSend(sends[0], wqsend.Declined)
	must.Len(t, 1, sends)
	must.Len(t, 0, tr.endSend(sends[0], wqsend.Declined))
	must.Eq(t, wqgather.Pending, tr.State(tr.now))
	tr.now = tr.NextWake(tr.now)
	must.Len(t, 1, tr.wake(0), must.Sprint("a backoff after refusals, then another send"))
}

func TestRequestWithoutBudgetForAnotherSendEndsAtOnce(t *testing.T) {
	for outcome, want := range map[wqsend.Outcome]wqgather.State{wqsend.Failed: wqgather.Failed, wqsend.Declined: wqgather.Refused} {
		tr := newTestRequest(1, wqroute.Route{Attempts: 2, Idempotent: true})
		tr.budget = 0
		first := tr.Start(tr.now, tr.pools)
		must.Len(t, 0, tr.endSend(first[0], outcome))
		must.Eq(t, want, tr.State(tr.now))
	}
}

// Guards against sends late in a stop, which would be cut: from LastSendAt on, what waits
// is refused, and what is in flight may finish.
func TestNothingIsSentFromLastSendAtOn(t *testing.T) {
	tr := newTestRequest(1, wqroute.Route{Attempts: 2, Idempotent: true})
	send := tr.Start(tr.now, tr.pools)[0]
	tr.LastSendAt = tr.now.Add(10 * time.Millisecond)
	must.Eq(t, tr.LastSendAt, tr.NextWake(tr.now))
	must.Len(t, 0, tr.wake(100*time.Millisecond), must.Sprint("a hedge"))
	must.Eq(t, wqgather.Pending, tr.State(tr.now))
	must.Eq(t, tr.Deadline, tr.NextWake(tr.now))
	must.Len(t, 0, tr.endSend(send, wqsend.Declined), must.Sprint("a retry"))
	must.Eq(t, wqgather.Refused, tr.State(tr.now))

	late := newTestRequest(1, wqroute.Route{Attempts: 2})
	late.LastSendAt = late.now
	must.Len(t, 0, late.Start(late.now, late.pools))
	must.Eq(t, wqgather.Refused, late.State(late.now))
}
