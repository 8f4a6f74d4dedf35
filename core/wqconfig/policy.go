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

// WatchersPerZone lets a fixed number of VMs in each availability zone watch, chosen by
// rendezvous hashing over the zone's members.
type WatchersPerZone struct {
	Count int
}

// Watches reports whether self is among the first Count of its zone.
func (z WatchersPerZone) Watches(self wqmember.Member, members []wqmember.Member) bool {
	own := weight(self)
	ahead := 0
	for _, m := range members {
		if m.Zone != self.Zone || m.ID == self.ID {
			continue
		}
		w := weight(m)
		if w > own || w == own && m.ID < self.ID {
			ahead++
		}
	}
	return ahead < z.Count
}

func weight(m wqmember.Member) uint64 {
	return xxhash.Sum64String("watch\x00" + m.Zone + "\x00" + m.ID)
}
