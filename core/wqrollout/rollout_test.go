package wqrollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqverdict"
)

var start = time.Unix(1000, 0)

// report returns the totals of a VM after some seconds with 10 answers of each side in each.
func report(vm string, second int, witnessed bool) wqrollout.Report {
	n := uint64(10 * (second + 1))
	return wqrollout.Report{
		VM: vm, OrderRevision: 5, Witnessed: witnessed, AgeMillis: int64(second) * 1000, SentNew: n, SentOld: n,
		Rows: []wqverdict.Row{{Route: "r", Answered: n}, {Route: "r", New: true, Searcher: "a", Answered: n}},
	}
}

func newRollout(fleet int) *wqrollout.Rollout {
	r := wqrollout.New(wqrollout.Order{Service: "s", Version: "v2", Duration: time.Minute, Revision: 5}, limits, start)
	r.FleetSize = fleet
	return r
}

// playUntil reports for two VMs and ticks twice a second, as steps take 1.5 s; it returns
// the second at which the rollout was due to be completed, 0 if it was not.
func playUntil(r *wqrollout.Rollout, seconds int, witnessed bool) int {
	for i := range 2 * seconds {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		for v := range 2 {
			m := report(fmt.Sprint(v), i/2, witnessed)
			r.HandleReport(now, &m)
			r.HandleReport(now, &m)
		}
		r.Tick(now)
		if r.Due() == wqrollout.Completed {
			return i / 2
		}
	}
	return 0
}

// Guards against evidence that counts twice when a report is repeated.
func TestRepeatedReportsCountOnce(t *testing.T) {
	r := newRollout(2)
	playUntil(r, 10, true)
	sentNew, sentOld := r.Sent()
	must.Eq(t, 200, sentNew)
	must.Eq(t, 200, sentOld)
	must.Eq(t, 200, r.Responses())
}

// Guards against evidence that a new coordinator does not get, since the VM left out what
// the former one had.
func TestCoordinatorAsksForAllRows(t *testing.T) {
	r := newRollout(1)
	m := report("a", 10, true)
	m.Sequence, m.Base, m.Rows = 7, 6, m.Rows[:1]
	must.False(t, r.HandleReport(start, &m))
	m = report("a", 10, true)
	m.Sequence = 8
	must.True(t, r.HandleReport(start, &m))
	m.Sequence, m.Base = 9, 8
	must.True(t, r.HandleReport(start, &m))
	r.Tick(start)
	must.Eq(t, 110, r.Responses())
}

// Guards against a verdict that is taken early, so that faults after it are not seen.
func TestCompletionIsDueShortlyBeforeTheDeadline(t *testing.T) {
	must.Between(t, 54, playUntil(newRollout(2), 60, true), 58)
}

// Guards against a rollout whose time starts anew after all VMs ended.
func TestRecoveredRolloutAssumesThatMostOfItsTimeIsOver(t *testing.T) {
	must.Between(t, 15, playUntil(newRollout(2), 60, false), 19)
}

// Guards against a coordinator that moves the requests without hearing from most VMs.
func TestCoordinatorOfAMinorityDoesNotMoveTheRequests(t *testing.T) {
	r := newRollout(5)
	must.Eq(t, 0, playUntil(r, 60, true))
	must.Eq(t, wqrollout.RolledBack, r.Due())
}

// Guards against steps on evidence that waited while the coordinator was frozen.
func TestResumedCoordinatorWaitsForNewReports(t *testing.T) {
	r := newRollout(2)
	playUntil(r, 49, true)
	r.Resume()
	r.Tick(start.Add(51 * time.Second))
	must.Eq(t, 0, r.Directive().Step)
}

// Guards against a new coordinator that starts again at the small share when there is no
// time left for the steps.
func TestNewCoordinatorGoesOnAtTheStepThatWasReached(t *testing.T) {
	r := newRollout(1)
	m := report("a", 52, true)
	m.Step = 3
	r.HandleReport(start.Add(52*time.Second), &m)
	r.Tick(start.Add(52 * time.Second))
	must.Eq(t, 3, r.Directive().Step)
	must.Eq(t, 0.9, r.Directive().Share)
}

// Guards against VMs that choose different coordinators, and a coordinator with little
// processor time.
func TestCoordinatorsAreTheSameInAnyOrder(t *testing.T) {
	a, b, small := wqmember.Member{ID: "a", Capacity: 500}, wqmember.Member{ID: "b", Capacity: 400}, wqmember.Member{ID: "c", Capacity: 100}
	first := wqrollout.Coordinators([]wqmember.Member{a, b, small})
	must.Eq(t, first, wqrollout.Coordinators([]wqmember.Member{small, b, a}))
	must.Eq(t, "c", first[2].ID)
}
