package wqhealth_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqhealth"
	"wisteriaquay/core/wqobservation"
)

var start = time.Unix(1000, 0)

func report(after time.Duration, status wqobservation.Status, incarnation string) wqobservation.Observation {
	return wqobservation.Observation{SearcherID: "s-1", ObservedAt: start.Add(after), Status: status, Incarnation: incarnation, Latency: 10 * time.Millisecond}
}

func TestDownAfterFailuresInARow(t *testing.T) {
	m := wqhealth.New()
	m.Observe(report(0, wqobservation.Answered, "a"))
	m.Observe(report(time.Second, wqobservation.Unreachable, ""))
	must.False(t, m.States()["s-1"].Down)
	must.True(t, m.States()["s-1"].Cold)
	must.True(t, m.Observe(report(2*time.Second, wqobservation.Unreachable, "")))
	must.True(t, m.States()["s-1"].Down)
	must.False(t, m.Advance(start.Add(2400*time.Millisecond)))
	must.True(t, m.Advance(start.Add(2500*time.Millisecond)))
	m.Observe(report(3*time.Second, wqobservation.Unreachable, ""))
	must.False(t, m.Advance(start.Add(3900*time.Millisecond)))
	must.True(t, m.Advance(start.Add(4*time.Second)))
	must.True(t, m.Observe(report(5*time.Second, wqobservation.Answered, "a")))
	must.False(t, m.States()["s-1"].Cold)
}

// In-flight work that a leaving searcher still finishes does not make it stay.
func TestLeavingHoldsUntilRestart(t *testing.T) {
	m := wqhealth.New()
	must.True(t, m.Observe(report(0, wqobservation.Draining, "a")))
	must.False(t, m.Observe(report(time.Second, wqobservation.Answered, "a")))
	must.True(t, m.States()["s-1"].Draining)
	must.True(t, m.Observe(report(2*time.Second, wqobservation.Answered, "b")))
	must.False(t, m.States()["s-1"].Draining)
	m.Observe(report(3*time.Second, wqobservation.Draining, "b"))
	must.False(t, m.Advance(start.Add(time.Minute)))
	must.True(t, m.Advance(start.Add(63*time.Second)))
	must.False(t, m.States()["s-1"].Draining)
}

// A late report of an incarnation that is gone changes nothing.
func TestLateReportIsIgnored(t *testing.T) {
	m := wqhealth.New()
	newest := report(time.Second, wqobservation.Answered, "b")
	newest.OldestSnapshot, newest.NewestSnapshot = 5, 7
	m.Observe(newest)
	must.False(t, m.Observe(report(0, wqobservation.Draining, "a")))
	s := m.States()["s-1"]
	must.EqOp(t, "b", s.Incarnation)
	must.EqOp(t, 7, s.NewestSnapshot)
	must.EqOp(t, 10*time.Millisecond, s.Latency)
}

func TestLatencyAloneIsNoChange(t *testing.T) {
	m := wqhealth.New()
	must.True(t, m.Observe(report(0, wqobservation.Answered, "a")))
	slower := report(time.Second, wqobservation.Answered, "a")
	slower.Latency = 50 * time.Millisecond
	must.False(t, m.Observe(slower))
	m.Retain(func(string) bool { return false })
	must.MapEmpty(t, m.States())
}
