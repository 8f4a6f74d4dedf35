package wqwork_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqwork"
)

var start = time.Unix(1000, 0)

func costOf(d time.Duration) wqcost.Distribution {
	return wqcost.New().Estimate(start, wqcost.Kind{Route: "r"}, d)
}

// Guards against counting requests instead of their work: two cheap requests in flight
// are less work than a dear one.
func TestWorkInFlightCountsByCost(t *testing.T) {
	l, cheap, dear := wqwork.New(), costOf(10*time.Millisecond), costOf(300*time.Millisecond)
	l.Start(start, wqwork.Start{SearcherID: "x", Slots: 2, Cost: cheap, Owner: 1})
	l.Start(start, wqwork.Start{SearcherID: "x", Slots: 2, Cost: cheap, Owner: 2})
	l.Start(start, wqwork.Start{SearcherID: "y", Slots: 2, Cost: dear, Owner: 3})
	finish := func(id string) time.Duration {
		d, _ := l.Finish(start, id, 2, cheap)
		return d
	}
	must.Less(t, finish("y"), finish("x"))
	must.Eq(t, cheap.Mean(), finish("z"))
}

// Guards against a searcher that stopped or became slow and gets requests until the
// first late answer: what has been in flight for too long shows it.
func TestSlowSearcherIsKnownByAge(t *testing.T) {
	l, cost := wqwork.New(), costOf(20*time.Millisecond)
	for i := range 2 {
		l.Start(start, wqwork.Start{SearcherID: "x", Slots: 2, Cost: cost, Owner: i})
	}
	_, early := l.InFlight(start.Add(10*time.Millisecond), "x", 2)
	_, late := l.InFlight(start.Add(300*time.Millisecond), "x", 2)
	must.Less(t, 1.3, early)
	must.Greater(t, 4.0, late)
}

// Guards against time in the queue that is taken for cost.
func TestQueuedSendGivesNoObservation(t *testing.T) {
	l, cost := wqwork.New(), costOf(20*time.Millisecond)
	first := l.Start(start, wqwork.Start{SearcherID: "x", Slots: 1, Cost: cost, Owner: 1})
	queued := l.Start(start, wqwork.Start{SearcherID: "x", Slots: 1, Cost: cost, Owner: 2})
	work, ok := first.Done(start.Add(20*time.Millisecond), wqsend.Answered)
	must.True(t, ok)
	must.Between(t, 18*time.Millisecond, work, 22*time.Millisecond)
	_, ok = queued.Done(start.Add(40*time.Millisecond), wqsend.Answered)
	must.False(t, ok)
	_, ok = l.Start(start, wqwork.Start{SearcherID: "x", Slots: 1, Cost: cost, Owner: 3}).Done(start.Add(time.Second), wqsend.Failed)
	must.False(t, ok, must.Sprint("a failure tells nothing about the cost"))
}

// Guards against an estimate out of range while a clock jumps, sends end twice, or a
// view is 5 s old.
func TestEstimatesStayInRangeForAnyClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, cost := wqwork.New(), costOf(20*time.Millisecond)
		var sends []*wqwork.Send
		for range 100 {
			now := start.Add(time.Duration(rapid.Int64Range(-20e9, 20e9).Draw(t, "clock")))
			if rapid.Bool().Draw(t, "start") || len(sends) == 0 {
				sends = append(sends, l.Start(now, wqwork.Start{SearcherID: "x", Slots: 2, Cost: cost, Owner: len(sends)}))
			} else {
				s := sends[rapid.IntRange(0, len(sends)-1).Draw(t, "send")]
				if work, ok := s.Done(now, wqsend.Answered); ok && work <= 0 {
					t.Fatalf("work %v", work)
				}
			}
			finish, _ := l.Finish(now, "x", 2, cost)
			if _, slowness := l.InFlight(now, "x", 2); slowness < 0.04 || slowness > 20 || finish <= 0 {
				t.Fatalf("slowness %v, finish %v", slowness, finish)
			}
		}
		now := start.Add(10 * time.Minute)
		finish, wait := l.Finish(now, "x", 2, cost)
		if n, slowness := l.InFlight(now, "x", 2); finish > 2*cost.Mean() || wait > 0 || slowness > 1.1 {
			t.Fatalf("%d sends are still in flight, slowness %v", n, slowness)
		}
	})
}
