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
	noNoise = 0x8080808080808080 // a random number that adds no noise
)

var now = time.Unix(1000, 0)

func targets(zones ...string) []*wqdirectory.Target {
	var list []*wqdirectory.Target
	for i, z := range zones {
		list = append(list, &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: string(rune('x' + i)), Zone: z, Slots: 3}})
	}
	return list
}

func pick(tr *wqselector.Tracker, at time.Time, from []*wqdirectory.Target, tried ...string) string {
	t := wqselector.LeastLatency{Tracker: tr, Zone: "a"}.Pick(at, from, tried, typical, noNoise)
	if t == nil {
		return ""
	}
	return t.Searcher.ID
}

func TestOwnZoneIsPreferred(t *testing.T) {
	must.Eq(t, "y", pick(wqselector.New(), now, targets("b", "a")))
	must.Eq(t, "x", pick(wqselector.New(), now, targets("b", "a"), "y"))
	must.Eq(t, "", pick(wqselector.New(), now, targets("b", "a"), "x", "y"))
}

// A paused searcher must be avoided before any reply shows that it is slow: the
// age of its oldest request in flight counts.
func TestPausedSearcherIsAvoidedByRequestAge(t *testing.T) {
	tr := wqselector.New()
	tr.Start(now, "x")
	tr.Start(now, "y")
	must.Eq(t, "x", pick(tr, now.Add(20*time.Millisecond), targets("a", "a")), must.Sprint("young requests in flight do not indicate a pause"))
	tr.Start(now.Add(110*time.Millisecond), "z")
	must.Eq(t, "z", pick(tr, now.Add(120*time.Millisecond), targets("a", "a", "a")))
	must.True(t, wqselector.LeastLatency{Tracker: tr}.Unresponsive(now.Add(700*time.Millisecond), "x"))
	must.False(t, wqselector.LeastLatency{Tracker: tr}.Unresponsive(now.Add(250*time.Millisecond), "x"))
}

func TestSlowSearcherIsAvoidedUntilAverageDecays(t *testing.T) {
	tr := wqselector.New()
	for range 3 {
		tr.Start(now, "x").Done(now.Add(8*typical), wqsend.Answered, typical)
	}
	must.Eq(t, "y", pick(tr, now.Add(time.Second), targets("a", "b")))
	must.Eq(t, "x", pick(tr, now.Add(20*time.Second), targets("a", "b")))
}

func TestBackoffGrowsWithFailures(t *testing.T) {
	tr := wqselector.New()
	for range 5 {
		tr.Start(now, "x").Done(now, wqsend.Unreachable, typical)
	}
	must.Eq(t, "y", pick(tr, now.Add(1800*time.Millisecond), targets("a", "b")))
	tr.Start(now, "x").Done(now, wqsend.Answered, typical)
	must.Eq(t, "x", pick(tr, now.Add(time.Millisecond), targets("a", "b")))
}

func TestDrainingSearcherIsTheLastResort(t *testing.T) {
	from := targets("a", "b")
	from[0].LastResort = true
	must.Eq(t, "y", pick(wqselector.New(), now, from))
	must.Eq(t, "x", pick(wqselector.New(), now, from, "y"))
}
