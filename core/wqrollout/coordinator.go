package wqrollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqmember"
)

// Coordinators returns the live VMs in the order in which they coordinate rollouts: the
// first one does, the others follow if it fails. VMs with the same view choose the same
// without messages. One VM coordinates all services, as each VM then reports to one other
// only; VMs with under half of the largest capacity come last.
func Coordinators(live []wqmember.Member) []wqmember.Member {
	largest := 0
	for _, m := range live {
		largest = max(largest, m.Capacity)
	}
	ordered := slices.Clone(live)
	slices.SortFunc(ordered, func(a, b wqmember.Member) int {
		if small := 2*a.Capacity < largest; small != (2*b.Capacity < largest) {
			if small {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(weight(a.ID), weight(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

func weight(id string) uint64 { return xxhash.Sum64String("rollouts/" + id) }
