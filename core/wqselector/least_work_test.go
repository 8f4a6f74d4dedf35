package wqselector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqwork"
)

func newLeastWork(work *wqwork.Ledger) wqselector.LeastWork {
	cost := wqcost.New().Estimate(now, wqcost.Kind{Route: "r"}, typical)
	return wqselector.LeastWork{LeastLatency: wqselector.LeastLatency{Tracker: wqselector.New(), Zone: "a"}, Work: work, Cost: cost, Owner: 1}
}

func pickWork(l wqselector.LeastWork, at time.Time, from []*wqdirectory.Target, tried ...string) string {
	t := l.Pick(at, from, tried, typical, noNoise)
	if t == nil {
		return ""
	}
	return t.Searcher.ID
}

// Guards against a change of the placement where the setting does not ask for it.
func TestLeastWorkWithoutWorkIsLeastLatency(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 1))
	latency := wqselector.LeastLatency{Tracker: wqselector.New(), Zone: "a", SenderCount: 3}
	work := wqselector.LeastWork{LeastLatency: latency}
	from := targets("a", "b", "a", "c")
	at := now
	for range 500 {
		at = at.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		random := r.Uint64()
		want := latency.Pick(at, from, []string{"y"}, typical, random)
		must.True(t, want == work.Pick(at, from, []string{"y"}, typical, random))
		latency.Tracker.Start(at, want.Searcher.ID).Done(at.Add(time.Duration(r.IntN(60))*time.Millisecond), wqsend.Outcome(r.IntN(8)), typical)
	}
}

func TestLeastWorkPrefersLessWorkAndTheOwnZone(t *testing.T) {
	work := wqwork.New()
	l := newLeastWork(work)
	must.Eq(t, "y", pickWork(l, now, targets("b", "a")))
	for i := range 4 {
		work.Start(now, wqwork.Start{SearcherID: "y", Slots: 3, Cost: l.Cost, Owner: 10 + i})
	}
	must.Eq(t, "x", pickWork(l, now, targets("b", "a")))
	from := targets("a", "a")
	from[0].LastResort = true
	must.Eq(t, "y", pickWork(l, now, from), must.Sprint("draining searchers are the last choice"))
}

// Guards against hedges that end later than what they are for, and against missing ones
// while the first searcher is paused.
func TestSecondSendIsMadeOnlyIfItMayEndFirst(t *testing.T) {
	work := wqwork.New()
	l := newLeastWork(work)
	work.Start(now, wqwork.Start{SearcherID: "x", Slots: 3, Cost: l.Cost, Owner: l.Owner})
	for i := range 6 {
		work.Start(now, wqwork.Start{SearcherID: "y", Slots: 3, Cost: l.Cost, Owner: 10 + i})
	}
	must.Eq(t, "", pickWork(l, now.Add(20*time.Millisecond), targets("a", "a"), "x"), must.Sprint("y has too much to do"))
	must.Eq(t, "z", pickWork(l, now.Add(200*time.Millisecond), targets("a", "a", "a"), "x"), must.Sprint("x seems to be paused"))
}
