package wqquotaroster_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqquotaroster"
)

// fleetOf returns a roster of n VMs in three zones.
func fleetOf(n int) *wqquotaroster.Roster {
	var vms []wqquotaroster.VM
	for i := range n {
		vms = append(vms, wqquotaroster.VM{ID: fmt.Sprintf("vm-%d", i), Zone: string(rune('a' + i%3)), Epoch: 1, Capacity: 400})
	}
	return wqquotaroster.New(vms, n)
}

// Guards against owners that differ between VMs, are all in one zone, or change with VMs
// that are no owners.
func TestOwnersAreStableAndInDifferentZones(t *testing.T) {
	r := fleetOf(63)
	owners := r.Owners("t")
	must.Len(t, 3, owners)
	must.SliceContainsAll(t, []string{"a", "b", "c"}, []string{owners[0].Zone, owners[1].Zone, owners[2].Zone})
	must.Eq(t, owners, wqquotaroster.New(append(r.VMs[7:63:63], r.VMs[:7]...), 63).Owners("t"))
	must.Len(t, 2, fleetOf(2).Owners("t"))
	must.Len(t, 0, wqquotaroster.New(nil, 1).Owners("t"))
	small := append([]wqquotaroster.VM{{ID: "small", Zone: "a", Capacity: 100}}, fleetOf(20).VMs...)
	for i := range 50 {
		for _, o := range wqquotaroster.New(small, 21).Owners(fmt.Sprint(i)) {
			must.NotEq(t, "small", o.ID)
		}
	}
}
