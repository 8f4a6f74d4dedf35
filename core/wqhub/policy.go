// Package wqhub decides which VMs run fan-outs for the others. In a large fleet
// each VM sees too few requests to keep connections to all searchers warm, and
// more VMs than a searcher takes connections would have to hold one. A few hubs
// in each availability zone see all of its requests; in a small fleet every VM
// runs its own.
//
// # Usage
//
//	hubs := wqhub.DefaultPolicy().Choose(live)
//	if hubs == nil { ... every VM runs its own fan-outs ... }
//
// VMs with the same view of the fleet choose the same hubs without a message.
package wqhub

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqmember"
)

// Policy chooses hubs by the size of the fleet.
type Policy struct {
	MaxFleetWithoutHubs int // MaxFleetWithoutHubs is the largest fleet in which every VM runs its own fan-outs.
	MinHubsPerZone      int // MinHubsPerZone is how many hubs a zone has at least.
	VMsPerHub           int // VMsPerHub is how many VMs of a zone share one more hub.
}

// DefaultPolicy returns the policy for fleets of up to 920 VMs.
func DefaultPolicy() Policy { return Policy{MaxFleetWithoutHubs: 12, MinHubsPerZone: 2, VMsPerHub: 14} }

// Choose returns the hubs among the live VMs, sorted by id; nil when every VM
// runs its own fan-outs. VMs with more capacity come first.
func (p Policy) Choose(live []wqmember.Member) []wqmember.Member {
	if len(live) <= p.MaxFleetWithoutHubs {
		return nil
	}
	zones := make(map[string][]wqmember.Member)
	for _, m := range live {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	var hubs []wqmember.Member
	for _, members := range zones {
		slices.SortFunc(members, compare)
		count := max(p.MinHubsPerZone, len(members)/p.VMsPerHub)
		hubs = append(hubs, members[:min(count, len(members))]...)
	}
	slices.SortFunc(hubs, func(a, b wqmember.Member) int { return strings.Compare(a.ID, b.ID) })
	return hubs
}

// compare orders VMs by capacity, then by a hash that is the same on all VMs.
func compare(a, b wqmember.Member) int {
	if a.Capacity != b.Capacity {
		return b.Capacity - a.Capacity
	}
	x, y := xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}
