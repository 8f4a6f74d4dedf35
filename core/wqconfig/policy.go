package wqconfig

import (
	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqmember"
)

// Policy decides which VMs watch the store.
type Policy interface {
	// Watches reports whether self, one of the live members, watches.
	Watches(self wqmember.Member, members []wqmember.Member) bool
}

// PerZone lets a fixed number of VMs in each availability zone watch, chosen by
// rendezvous hashing over the zone's members.
type PerZone struct {
	Count int
}

// Watches reports whether self is among the first Count of its zone.
func (z PerZone) Watches(self wqmember.Member, members []wqmember.Member) bool {
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
