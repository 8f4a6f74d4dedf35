package wqstatement_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqstatement"
	"wisteriaquay/core/wqtopology"
)

var now = time.Unix(1000, 0)

func target(id string, incarnation int64) *wqdirectory.Target {
	return &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: id, Service: "s", Address: "h:1"}, Incarnation: incarnation}
}

// maySend is MaySend for a request that chooses t now.
func maySend(tr *wqstatement.Tracker, at time.Time, t *wqdirectory.Target) bool {
	return tr.MaySend(at, t, at)
}

func waitTime(tr *wqstatement.Tracker, at time.Time, targets []*wqdirectory.Target) time.Duration {
	wait, _ := tr.Wait(at, targets)
	return wait
}

// Guards against a searcher that is sent requests, or none, at the wrong time after it
// reported that it leaves.
func TestLeavingSearcherIsALastResortDuringTheGraceOnly(t *testing.T) {
	tr, x, y := wqstatement.New(), target("x", 1), target("y", 1)
	must.Eq(t, wqstatement.BeganLeaving, tr.Observe(now, x, wqstatement.Statement{Leaving: true}))
	must.Eq(t, wqstatement.NoChange, tr.Observe(now.Add(time.Second), x, wqstatement.Statement{Leaving: true}))
	for after, want := range map[time.Duration]bool{0: true, wqstatement.Grace - 1: true, wqstatement.Grace: false, 1000 * time.Hour: false} {
		at := now.Add(after)
		must.Eq(t, want, maySend(tr, at, x), must.Sprint(after))
		serving, leaving := tr.Split(at, []*wqdirectory.Target{x, y})
		must.Eq(t, []*wqdirectory.Target{y}, serving)
		must.Eq(t, want, len(leaving) == 1)
	}
	must.Eq(t, wqstatement.Never, waitTime(tr, now.Add(time.Minute), []*wqdirectory.Target{x}))
	must.Eq(t, 0, waitTime(tr, now.Add(time.Minute), []*wqdirectory.Target{x, y}))
	must.Eq(t, wqstatement.NoChange, tr.Observe(now.Add(time.Minute), x, wqstatement.Statement{}), must.Sprint("a later response without the report"))
	must.False(t, maySend(tr, now.Add(time.Minute), x))
}

// Guards against a searcher that is asked too early, or never again.
func TestRejectingSearcherGetsNothingUntilTheLatestEnd(t *testing.T) {
	tr, x := wqstatement.New(), target("x", 1)
	must.Eq(t, wqstatement.BeganRejecting, tr.Observe(now, x, wqstatement.Statement{Wait: 2 * time.Second}))
	must.Eq(t, wqstatement.NoChange, tr.Observe(now.Add(time.Second), x, wqstatement.Statement{Wait: 100 * time.Millisecond}))
	must.False(t, maySend(tr, now.Add(1999*time.Millisecond), x))
	must.Eq(t, time.Second, waitTime(tr, now.Add(time.Second), []*wqdirectory.Target{x}))
	must.True(t, maySend(tr, now.Add(2*time.Second), x))
	must.Eq(t, wqstatement.BeganRejecting, tr.Observe(now.Add(3*time.Second), x, wqstatement.Statement{Wait: 1 << 62}))
	must.True(t, maySend(tr, now.Add(3*time.Second+wqstatement.MaxWait), x))
	tr.Observe(now.Add(4*time.Second), x, wqstatement.Statement{Leaving: true})
	must.Eq(t, wqstatement.Never, waitTime(tr, now.Add(4*time.Second), []*wqdirectory.Target{x}), must.Sprint("the grace ends before the rejection"))
}

// Guards against a report that outlives the start of the searcher that made it, and
// against a late response of an old start.
func TestReportEndsWithTheStart(t *testing.T) {
	tr, later := wqstatement.New(), now.Add(time.Minute)
	tr.Observe(now, target("x", 5), wqstatement.Statement{Leaving: true})
	must.False(t, maySend(tr, later, target("x", 5)))
	must.True(t, maySend(tr, later, target("x", 6)))
	tr.Observe(later, target("x", 6), wqstatement.Statement{Wait: time.Second})
	must.Eq(t, wqstatement.NoChange, tr.Observe(later, target("x", 5), wqstatement.Statement{Leaving: true}))
	must.False(t, maySend(tr, later, target("x", 6)))
	must.True(t, maySend(tr, later.Add(time.Second), target("x", 6)))

	unregistered := target("x", 0)
	must.Eq(t, wqstatement.BeganLeaving, tr.Observe(later, unregistered, wqstatement.Statement{Leaving: true}), must.Sprint("it may be the latest start"))
	must.False(t, maySend(tr, later.Add(time.Minute), unregistered))

	unknown := target("y", 0)
	tr.Observe(now, unknown, wqstatement.Statement{Leaving: true})
	must.False(t, maySend(tr, later, unknown))
	must.True(t, maySend(tr, now.Add(2*time.Hour), unknown), must.Sprint("its restart could not be seen"))
	unknown.Searcher.Address = "h:2"
	must.True(t, maySend(tr, later, unknown))
}

// Guards against memory that grows with the number of searchers that ever reported.
func TestNumberOfEntriesIsBounded(t *testing.T) {
	tr := wqstatement.New()
	for i := range 20000 {
		tr.Observe(now.Add(time.Duration(i)), target(fmt.Sprint(i), 1), wqstatement.Statement{Leaving: true})
	}
	leaving, _ := tr.Counts(now.Add(time.Second))
	must.Between(t, 15000, leaving, 16384)
	must.False(t, maySend(tr, now.Add(time.Minute), target("19999", 1)), must.Sprint("the latest report is kept"))
}

// Guards against answers of the methods that contradict each other, for any reports.
func TestMethodsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, at := wqstatement.New(), now
		targets := []*wqdirectory.Target{target("x", 1), target("y", 2), target("z", 0)}
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			at = at.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			tr.Observe(at, targets[rapid.IntRange(0, 2).Draw(t, "from")], wqstatement.Statement{
				Leaving: rapid.Bool().Draw(t, "leaving"), Wait: time.Duration(rapid.Int64().Draw(t, "wait")),
			})
			serving, leaving := tr.Split(at, targets)
			allowed := append(append([]*wqdirectory.Target(nil), serving...), leaving...)
			for _, x := range targets {
				found := false
				for _, a := range allowed {
					found = found || a == x
				}
				must.Eq(t, maySend(tr, at, x), found)
			}
			wait := waitTime(tr, at, targets)
			must.Eq(t, len(allowed) > 0, wait == 0)
			if wait > 0 && wait != wqstatement.Never {
				must.Eq(t, 0, waitTime(tr, at.Add(wait), targets))
			}
		}
	})
}

// Guards against data races; run it with the race detector.
func TestTrackerIsSafeForConcurrentUse(*testing.T) {
	tr := wqstatement.New()
	var g sync.WaitGroup
	for i := range 4 {
		g.Go(func() {
			for n := range 500 {
				x := target(fmt.Sprint(n%10), int64(i))
				tr.Observe(now, x, wqstatement.Statement{Leaving: n%3 == 0, Wait: time.Second})
				tr.Split(now, []*wqdirectory.Target{x})
				waitTime(tr, now, []*wqdirectory.Target{x})
				tr.Counts(now)
			}
		})
	}
	g.Wait()
}
