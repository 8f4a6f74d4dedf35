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

type excludingGather = wqgather.Gather[wqexclusion.Picker[wqselector.LeastLatency], fixedHedgePolicy]

// newExcludingGather returns a request whose searchers have reported wait.
func newExcludingGather(services int, wait time.Duration) (*testRequest, *excludingGather, *wqstatement.Tracker) {
	tr := newTestRequest(services, wqroute.Route{Attempts: 2, Idempotent: true, LeastShare: 0.5})
	statements := wqstatement.New()
	for _, pool := range tr.pools {
		for _, t := range pool {
			statements.Observe(tr.now, t, wqstatement.Statement{Wait: wait})
		}
	}
	return tr, &excludingGather{
		Route: tr.Route, Services: tr.Services, Random: tr.Random, HedgePolicy: tr.HedgePolicy, Deadline: tr.Deadline, WaitTime: statements.Wait,
		Picker: wqexclusion.Picker[wqselector.LeastLatency]{Inner: tr.Picker, Statements: statements},
	}, statements
}

// Guards against requests that wait in vain for searchers that reject them until after
// the deadline, and against sends of a fan-out that can't be answered.
func TestRequestIsRefusedAtOnceWhenNoSearcherMayBeAskedInTime(t *testing.T) {
	for _, services := range []int{1, 4} {
		for wait, want := range map[time.Duration]wqgather.State{time.Second: wqgather.Pending, 2 * time.Second: wqgather.Refused, time.Minute: wqgather.Refused} {
			tr, g, _ := newExcludingGather(services, wait)
			must.Len(t, 0, g.Start(tr.now, tr.pools))
			must.Eq(t, want, g.State(tr.now), must.Sprint(services, wait))
		}
	}
}

// Guards against requests that are not sent once a searcher may be asked, and against
// checks that are so frequent that waiting requests take the processor.
func TestRequestWaitsForASearcherThatMayBeAskedInTime(t *testing.T) {
	tr, g, _ := newExcludingGather(1, time.Second)
	must.Len(t, 0, g.Start(tr.now, tr.pools))
	at, wakes := tr.now, 0
	var sends []wqgather.Send
	for ; len(sends) == 0; wakes++ {
		at = g.NextWake(at)
		sends = g.Wake(at, tr.pools)
	}
	must.Between(t, time.Second, at.Sub(tr.now), 1050*time.Millisecond)
	must.LessEq(t, 21, wakes)
}

// Guards against a refusal of a request that was sent, or a wait after all searchers
// have rejected it.
func TestRejectionsByAllSearchersEndTheRequest(t *testing.T) {
	for outcome, want := range map[wqsend.Outcome]wqgather.State{wqsend.Declined: wqgather.Refused, wqsend.Broken: wqgather.Failed} {
		tr, g, statements := newExcludingGather(1, 0)
		for sends := g.Start(tr.now, tr.pools); len(sends) > 0; {
			statements.Observe(tr.now, sends[0].Target, wqstatement.Statement{Wait: 5 * time.Second})
			sends = g.HandleResult(tr.now, tr.pools, sends[0], wqsend.Result{Outcome: outcome})
		}
		must.Eq(t, want, g.State(tr.now))
	}
}

// Guards against shards that are left out although another searcher has registered.
func TestNewSearcherEndsTheWait(t *testing.T) {
	tr, g, _ := newExcludingGather(1, time.Second)
	must.Len(t, 0, g.Start(tr.now, tr.pools))
	fresh := *tr.pools["s00"][0]
	fresh.Searcher.ID = "new"
	tr.pools["s00"] = append(tr.pools["s00"], &fresh)
	sends := g.Wake(g.NextWake(tr.now), tr.pools)
	must.Eq(t, []*wqdirectory.Target{&fresh}, []*wqdirectory.Target{sends[0].Target})
}
