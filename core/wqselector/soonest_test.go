package wqselector_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtopology"
)

const (
	typical = 30 * time.Millisecond
	even    = 0x8080808080808080 // even is a random number that adds no noise.
)

var now = time.Unix(1000, 0)

func targets(zones ...string) []*wqdirectory.Target {
	var out []*wqdirectory.Target
	for i, z := range zones {
		out = append(out, &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: string(rune('x' + i)), Zone: z, Slots: 3}})
	}
	return out
}

func pick(b *wqselector.Tracker, at time.Time, from []*wqdirectory.Target, tried ...string) string {
	t := wqselector.LeastLatency{Tracker: b, Zone: "a"}.Pick(at, from, tried, typical, even)
	if t == nil {
		return ""
	}
	return t.Searcher.ID
}

func TestOwnZoneFirst(t *testing.T) {
	must.Eq(t, "y", pick(wqselector.New(), now, targets("b", "a")))
	must.Eq(t, "x", pick(wqselector.New(), now, targets("b", "a"), "y"))
	must.Eq(t, "", pick(wqselector.New(), now, targets("b", "a"), "x", "y"))
}

// A searcher that stops for a moment is seen by the age of its oldest request
// before any answer says so.
func TestPausedSearcherIsAvoidedBeforeItAnswers(t *testing.T) {
	b := wqselector.New()
	b.Start(now, "x")
	b.Start(now, "y")
	must.Eq(t, "x", pick(b, now.Add(20*time.Millisecond), targets("a", "a")), must.Sprint("requests out are no pause"))
	b.Start(now.Add(110*time.Millisecond), "z")
	must.Eq(t, "z", pick(b, now.Add(120*time.Millisecond), targets("a", "a", "a")))
	must.True(t, wqselector.LeastLatency{Tracker: b}.Unresponsive(now.Add(700*time.Millisecond), "x"))
	must.False(t, wqselector.LeastLatency{Tracker: b}.Unresponsive(now.Add(250*time.Millisecond), "x"))
}

func TestSlowSearcherIsAvoidedAndTriedAgainLater(t *testing.T) {
	b := wqselector.New()
	for range 3 {
		b.Start(now, "x").Done(now.Add(8*typical), wqsend.Answered, typical)
	}
	must.Eq(t, "y", pick(b, now.Add(time.Second), targets("a", "b")))
	must.Eq(t, "x", pick(b, now.Add(20*time.Second), targets("a", "b")))
}

func TestFailingSearcherRestsLongerEachTime(t *testing.T) {
	b := wqselector.New()
	for range 5 {
		b.Start(now, "x").Done(now, wqsend.Unreachable, typical)
	}
	must.Eq(t, "y", pick(b, now.Add(1800*time.Millisecond), targets("a", "b")))
	b.Start(now, "x").Done(now, wqsend.Answered, typical)
	must.Eq(t, "x", pick(b, now.Add(time.Millisecond), targets("a", "b")))
}

func TestLeavingSearcherIsTheLastResort(t *testing.T) {
	from := targets("a", "b")
	from[0].LastResort = true
	must.Eq(t, "y", pick(wqselector.New(), now, from))
	must.Eq(t, "x", pick(wqselector.New(), now, from, "y"))
}
