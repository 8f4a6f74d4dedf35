package wqdirectory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqdirectory"
)

// applyRandomChange applies the same random change to all directories.
func applyRandomChange(t *rapid.T, now time.Time, directories ...*wqdirectory.Directory) {
	id := fmt.Sprintf("i-%d", rapid.IntRange(0, 5).Draw(t, "id"))
	r := registration(id, rapid.Int64Range(1, 3).Draw(t, "incarnation"), rapid.Int64Range(1, 4).Draw(t, "sequence"))
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

// derefTargets returns the pools with targets by value, for comparison.
func derefTargets(pools wqdirectory.Pools) map[string][]wqdirectory.Target {
	targetsByService := make(map[string][]wqdirectory.Target)
	for service, targets := range pools {
		for _, t := range targets {
			targetsByService[service] = append(targetsByService[service], *t)
		}
	}
	return targetsByService
}

// Guards against a change that does not rebuild the pool of its service: pools
// built after each change have to equal pools built once at the end.
func TestIncrementalPoolsEqualPoolsBuiltOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		incremental := &wqdirectory.Directory{GracePeriod: 2 * time.Second}
		single := &wqdirectory.Directory{GracePeriod: 2 * time.Second}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			applyRandomChange(t, now, incremental, single)
			incremental.Pools(now)
		}
		pools, next := incremental.Pools(now)
		wantPools, wantNext := single.Pools(now)
		must.Eq(t, derefTargets(wantPools), derefTargets(pools))
		must.Eq(t, wantNext, next)
	})
}

// Guards against needless work for services that did not change: their targets
// have to stay the same pointers.
func TestUnchangedServicesKeepTheirTargets(t *testing.T) {
	other := registration("y", 1, 1)
	other.Service = "t"
	d := newDirectory(registration("x", 1, 1), other)
	before, _ := d.Pools(start)
	d.Register(start, registration("x", 1, 2), 0)
	after, _ := d.Pools(start)
	must.True(t, before["t"][0] == after["t"][0])
	must.False(t, before["s"][0] == after["s"][0])
}
