package wqconfig

import (
	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqmember"
)

// WatchPolicy decides which VMs watch the store.
type WatchPolicy interface {
	// Watches reports whether self, one of the live members, watches.
	Watches(self wqmember.Member, members []wqmember.Member) bool
}

// WatchersPerZone chooses Count VMs of each availability zone as watchers, by
// rendezvous hashing over the members of the zone.
type WatchersPerZone struct {
	Count int
}

// Watches reports whether self is one of the Count members of its zone with the
// highest rendezvous weights.
func (z WatchersPerZone) Watches(self wqmember.Member, members []wqmember.Member) bool {
	ownWeight := rendezvousWeight(self)
	higher := 0
	for _, m := range members {
		if m.Zone != self.Zone || m.ID == self.ID {
			continue
		}
		w := rendezvousWeight(m)
		if w > ownWeight || w == ownWeight && m.ID < self.ID {
			higher++
		}
	}
	return higher < z.Count
}

func rendezvousWeight(m wqmember.Member) uint64 {
	return xxhash.Sum64String("watch\x00" + m.Zone + "\x00" + m.ID)
}
