package wqdirectory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqdirectory"
)

// change makes one random change to all directories at some moment.
func change(t *rapid.T, now time.Time, directories ...*wqdirectory.Directory) {
	id := fmt.Sprintf("i-%d", rapid.IntRange(0, 5).Draw(t, "id"))
	r := record(id, rapid.Int64Range(1, 3).Draw(t, "born"), rapid.Int64Range(1, 4).Draw(t, "sequence"))
	r.Service = rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
	r.Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
	r.Draining = rapid.Bool().Draw(t, "draining")
	age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
	kind := rapid.IntRange(0, 6).Draw(t, "kind")
	for _, d := range directories {
		switch kind {
		case 0:
			d.Deregister(now, id, age)
		case 1:
			d.MarkWrongSearcher(id, r.Incarnation)
		case 2:
			d.DropInvalid(id)
		case 3:
			d.SetZonesOut(map[string]bool{r.Zone: r.Draining})
		case 4:
			d.SetColdStartRates(func(string) float64 { return float64(r.Incarnation) })
		default:
			d.Register(now, r, age)
		}
	}
}

// values returns the targets themselves in place of their addresses.
func values(pools wqdirectory.Pools) map[string][]wqdirectory.Target {
	out := make(map[string][]wqdirectory.Target)
	for service, targets := range pools {
		for _, t := range targets {
			out[service] = append(out[service], *t)
		}
	}
	return out
}

// Pools that are asked for after each change say the same as pools that are asked
// for once at the end.
func TestPoolsFollowEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		often := &wqdirectory.Directory{GracePeriod: 2 * time.Second}
		once := &wqdirectory.Directory{GracePeriod: 2 * time.Second}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			change(t, now, often, once)
			often.Pools(now)
		}
		p, next := often.Pools(now)
		q, other := once.Pools(now)
		must.Eq(t, values(q), values(p))
		must.Eq(t, other, next)
	})
}

// Unchanged services keep their targets, so that nothing is done for them anew.
func TestUnchangedServicesKeepTheirTargets(t *testing.T) {
	other := record("y", 1, 1)
	other.Service = "t"
	d := directory(record("x", 1, 1), other)
	before, _ := d.Pools(start)
	d.Register(start, record("x", 1, 2), 0)
	after, _ := d.Pools(start)
	must.True(t, before["t"][0] == after["t"][0])
	must.False(t, before["s"][0] == after["s"][0])
}
