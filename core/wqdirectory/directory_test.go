package wqdirectory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
)

var start = time.Unix(1000, 0)

func registration(id string, incarnation, sequence int64) wqdirectory.Registration {
	return wqdirectory.Registration{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "a", Slots: 3, Incarnation: incarnation, Sequence: sequence}
}

// poolIDs returns the ids of the targets of service s, with a "?" appended to last
// resorts.
func poolIDs(d *wqdirectory.Directory, after time.Duration) []string {
	var targetIDs []string
	pools, _ := d.Pools(start.Add(after))
	for _, t := range pools["s"] {
		suffix := ""
		if t.LastResort {
			suffix = "?"
		}
		targetIDs = append(targetIDs, t.Searcher.ID+suffix)
	}
	return targetIDs
}

func newDirectory(registrations ...wqdirectory.Registration) *wqdirectory.Directory {
	d := &wqdirectory.Directory{GracePeriod: 2 * time.Second}
	for _, r := range registrations {
		d.Register(start, r, 0)
	}
	return d
}

func TestDrainingSearcherIsLastResortThenUnused(t *testing.T) {
	d := newDirectory(registration("x", 1, 1), registration("y", 1, 1))
	draining := registration("x", 1, 2)
	draining.Draining = true
	d.Register(start, draining, 0)
	must.Eq(t, []string{"x?", "y"}, poolIDs(d, 0))
	_, next := d.Pools(start)
	must.Eq(t, start.Add(2*time.Second), next)
	must.Eq(t, []string{"y"}, poolIDs(d, 2*time.Second))
}

func TestOlderRegistrationIsIgnored(t *testing.T) {
	d := newDirectory(registration("x", 1, 1))
	draining := registration("x", 1, 5)
	draining.Draining = true
	d.Register(start, draining, 0)
	must.False(t, d.Register(start, registration("x", 1, 4), 0))
	must.Eq(t, []string{"x?"}, poolIDs(d, 0))
	must.True(t, d.Register(start, registration("x", 2, 0), 0), must.Sprint("a new incarnation starts a new sequence"))
	must.Eq(t, []string{"x"}, poolIDs(d, 0))
	must.False(t, d.Register(start, registration("x", 1, 9), 0))
}

func TestExpiredRegistrationReturnsWithinGracePeriod(t *testing.T) {
	d := newDirectory(registration("x", 1, 3))
	d.Deregister(start, "x", 0)
	must.Eq(t, []string{"x?"}, poolIDs(d, time.Second))
	must.True(t, d.Register(start.Add(time.Second), registration("x", 1, 3), 0))
	must.Eq(t, []string{"x"}, poolIDs(d, 5*time.Second))
}

func TestGracePeriodStartsWhenRegistrationEnded(t *testing.T) {
	d := newDirectory(registration("x", 1, 3))
	d.Deregister(start, "x", 1500*time.Millisecond)
	must.Eq(t, []string{"x?"}, poolIDs(d, 400*time.Millisecond))
	must.SliceEmpty(t, poolIDs(d, 500*time.Millisecond))
}

func TestZoneOutAndBack(t *testing.T) {
	other := registration("y", 1, 1)
	other.Zone = "b"
	d := newDirectory(registration("x", 1, 1), other)
	d.SetZonesOut(map[string]bool{"a": true})
	must.Eq(t, []string{"y"}, poolIDs(d, 0))
	d.SetZonesOut(map[string]bool{})
	must.Eq(t, []string{"x", "y"}, poolIDs(d, 0))
}

func TestWrongSearcherIsUnusedUntilItRegistersAgain(t *testing.T) {
	d := newDirectory(registration("x", 1, 1))
	d.MarkWrongSearcher("x", 0)
	must.Eq(t, []string{"x"}, poolIDs(d, 0), must.Sprint("a result of an earlier incarnation"))
	d.MarkWrongSearcher("x", 1)
	must.SliceEmpty(t, poolIDs(d, 0))
	d.Register(start, registration("x", 1, 2), 0)
	must.Eq(t, []string{"x"}, poolIDs(d, 0))
}

func TestInvalidRegistrationDropsTheSearcher(t *testing.T) {
	d := newDirectory(registration("x", 1, 1), registration("y", 1, 1))
	d.DropInvalid("x")
	must.Eq(t, []string{"y"}, poolIDs(d, 0))
}

func TestColdStartEndFollowsRegistration(t *testing.T) {
	r := registration("x", 1, 1)
	r.ColdStartRemaining = 3 * time.Second
	pools, _ := newDirectory(r).Pools(start)
	must.Eq(t, start.Add(3*time.Second), pools["s"][0].ColdStartEnd)
}

func TestGracePeriodStartsWhenDrainingBegan(t *testing.T) {
	d := newDirectory(registration("x", 1, 1), registration("y", 1, 1))
	draining := registration("x", 1, 2)
	draining.Draining = true
	d.Register(start, draining, 1500*time.Millisecond)
	must.Eq(t, []string{"x?", "y"}, poolIDs(d, 499*time.Millisecond))
	must.Eq(t, []string{"y"}, poolIDs(d, 500*time.Millisecond))
}
