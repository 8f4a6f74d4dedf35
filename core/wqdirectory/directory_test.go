package wqdirectory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
)

var start = time.Unix(1000, 0)

func record(id string, born, sequence int64) wqdirectory.Registration {
	return wqdirectory.Registration{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "a", Slots: 3, Incarnation: born, Sequence: sequence}
}

// ids returns the targets of a directory, those that are doubtful with a mark.
func ids(d *wqdirectory.Directory, after time.Duration) []string {
	var out []string
	pools, _ := d.Pools(start.Add(after))
	for _, t := range pools["s"] {
		mark := ""
		if t.LastResort {
			mark = "?"
		}
		out = append(out, t.Searcher.ID+mark)
	}
	return out
}

func directory(records ...wqdirectory.Registration) *wqdirectory.Directory {
	d := &wqdirectory.Directory{GracePeriod: 2 * time.Second}
	for _, r := range records {
		d.Register(start, r, 0)
	}
	return d
}

func TestDrainingSearcherIsDoubtfulThenUnused(t *testing.T) {
	d := directory(record("x", 1, 1), record("y", 1, 1))
	leaving := record("x", 1, 2)
	leaving.Draining = true
	d.Register(start, leaving, 0)
	must.Eq(t, []string{"x?", "y"}, ids(d, 0))
	_, next := d.Pools(start)
	must.Eq(t, start.Add(2*time.Second), next)
	must.Eq(t, []string{"y"}, ids(d, 2*time.Second))
}

func TestOlderWordOfTheSameLifeIsLeftAside(t *testing.T) {
	d := directory(record("x", 1, 1))
	leaving := record("x", 1, 5)
	leaving.Draining = true
	d.Register(start, leaving, 0)
	must.False(t, d.Register(start, record("x", 1, 4), 0))
	must.Eq(t, []string{"x?"}, ids(d, 0))
	must.True(t, d.Register(start, record("x", 2, 0), 0), must.Sprint("a new life counts anew"))
	must.Eq(t, []string{"x"}, ids(d, 0))
	must.False(t, d.Register(start, record("x", 1, 9), 0))
}

func TestLapsedRegistrationComesBackWithinTheGrace(t *testing.T) {
	d := directory(record("x", 1, 3))
	d.Deregister(start, "x", 0)
	must.Eq(t, []string{"x?"}, ids(d, time.Second))
	must.True(t, d.Register(start.Add(time.Second), record("x", 1, 3), 0))
	must.Eq(t, []string{"x"}, ids(d, 5*time.Second))
}

func TestRemovalThatAPeerKnewLongerEndsSooner(t *testing.T) {
	d := directory(record("x", 1, 3))
	d.Deregister(start, "x", 1500*time.Millisecond)
	must.Eq(t, []string{"x?"}, ids(d, 400*time.Millisecond))
	must.SliceEmpty(t, ids(d, 500*time.Millisecond))
}

func TestZoneOutAndBack(t *testing.T) {
	other := record("y", 1, 1)
	other.Zone = "b"
	d := directory(record("x", 1, 1), other)
	d.SetZonesOut(map[string]bool{"a": true})
	must.Eq(t, []string{"y"}, ids(d, 0))
	d.SetZonesOut(map[string]bool{})
	must.Eq(t, []string{"x", "y"}, ids(d, 0))
}

func TestMisplacedSearcherIsUnusedUntilItSaysSomethingNew(t *testing.T) {
	d := directory(record("x", 1, 1))
	d.MarkWrongSearcher("x", 0)
	must.Eq(t, []string{"x"}, ids(d, 0), must.Sprint("a word about an earlier life"))
	d.MarkWrongSearcher("x", 1)
	must.SliceEmpty(t, ids(d, 0))
	d.Register(start, record("x", 1, 2), 0)
	must.Eq(t, []string{"x"}, ids(d, 0))
}

func TestSpoiledRegistrationNamesNoSearcher(t *testing.T) {
	d := directory(record("x", 1, 1), record("y", 1, 1))
	d.DropInvalid("x")
	must.Eq(t, []string{"y"}, ids(d, 0))
}

func TestColdSearcherSaysHowLong(t *testing.T) {
	r := record("x", 1, 1)
	r.ColdStartRemaining = 3 * time.Second
	pools, _ := directory(r).Pools(start)
	must.Eq(t, start.Add(3*time.Second), pools["s"][0].ColdStartEnd)
}

func TestDrainingThatAPeerKnewLongerEndsSooner(t *testing.T) {
	d := directory(record("x", 1, 1), record("y", 1, 1))
	leaving := record("x", 1, 2)
	leaving.Draining = true
	d.Register(start, leaving, 1500*time.Millisecond)
	must.Eq(t, []string{"x?", "y"}, ids(d, 499*time.Millisecond))
	must.Eq(t, []string{"y"}, ids(d, 500*time.Millisecond))
}
