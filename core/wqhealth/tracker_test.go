package wqhealth_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqhealth"
	"wisteriaquay/core/wqobservation"
)

var start = time.Unix(1000, 0)

func observation(after time.Duration, status wqobservation.Status, incarnation string) wqobservation.Observation {
	return wqobservation.Observation{SearcherID: "s-1", ObservedAt: start.Add(after), Status: status, Incarnation: incarnation, Latency: 10 * time.Millisecond}
}

func TestDownAfterFailuresInARow(t *testing.T) {
	tr := wqhealth.New()
	tr.Observe(observation(0, wqobservation.Answered, "a"))
	tr.Observe(observation(time.Second, wqobservation.Unreachable, ""))
	must.False(t, tr.States()["s-1"].Down)
	must.True(t, tr.States()["s-1"].Cold)
	must.True(t, tr.Observe(observation(2*time.Second, wqobservation.Unreachable, "")))
	must.True(t, tr.States()["s-1"].Down)
	must.False(t, tr.Advance(start.Add(2400*time.Millisecond)))
	must.True(t, tr.Advance(start.Add(2500*time.Millisecond)))
	tr.Observe(observation(3*time.Second, wqobservation.Unreachable, ""))
	must.False(t, tr.Advance(start.Add(3900*time.Millisecond)))
	must.True(t, tr.Advance(start.Add(4*time.Second)))
	must.True(t, tr.Observe(observation(5*time.Second, wqobservation.Answered, "a")))
	must.False(t, tr.States()["s-1"].Cold)
}

// A draining searcher that still answers requests in flight stays draining.
func TestDrainingLastsUntilRestartOrExpiry(t *testing.T) {
	tr := wqhealth.New()
	must.True(t, tr.Observe(observation(0, wqobservation.Draining, "a")))
	must.False(t, tr.Observe(observation(time.Second, wqobservation.Answered, "a")))
	must.True(t, tr.States()["s-1"].Draining)
	must.True(t, tr.Observe(observation(2*time.Second, wqobservation.Answered, "b")))
	must.False(t, tr.States()["s-1"].Draining)
	tr.Observe(observation(3*time.Second, wqobservation.Draining, "b"))
	must.False(t, tr.Advance(start.Add(time.Minute)))
	must.True(t, tr.Advance(start.Add(63*time.Second)))
	must.False(t, tr.States()["s-1"].Draining)
}

// A late report of a replaced incarnation must not change the state.
func TestReportOfPreviousIncarnationIsIgnored(t *testing.T) {
	tr := wqhealth.New()
	newest := observation(time.Second, wqobservation.Answered, "b")
	newest.OldestSnapshot, newest.NewestSnapshot = 5, 7
	tr.Observe(newest)
	must.False(t, tr.Observe(observation(0, wqobservation.Draining, "a")))
	s := tr.States()["s-1"]
	must.EqOp(t, "b", s.Incarnation)
	must.EqOp(t, 7, s.NewestSnapshot)
	must.EqOp(t, 10*time.Millisecond, s.Latency)
}

func TestLatencyAloneIsNotReportedAsChange(t *testing.T) {
	tr := wqhealth.New()
	must.True(t, tr.Observe(observation(0, wqobservation.Answered, "a")))
	slower := observation(time.Second, wqobservation.Answered, "a")
	slower.Latency = 50 * time.Millisecond
	must.False(t, tr.Observe(slower))
	tr.Retain(func(string) bool { return false })
	must.MapEmpty(t, tr.States())
}
