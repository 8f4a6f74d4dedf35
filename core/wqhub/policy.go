// Package wqhub chooses the VMs that run fan-outs for the other VMs. In a large
// fleet, each VM gets too few requests to keep connections to all searchers warm,
// and there are more VMs than a searcher accepts connections. A few hubs in each
// availability zone run the fan-outs of the whole zone. In a small fleet, every
// VM runs its own.
//
// # Usage
//
//	hubs := wqhub.DefaultPolicy().Choose(live)
//	if hubs == nil { ... every VM runs its own fan-outs ... }
//
// VMs with the same view of the fleet choose the same hubs without any messages.
package wqhub

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqmember"
)

// Policy chooses the number of hubs from the size of the fleet.
type Policy struct {
	MaxFleetWithoutHubs int // largest fleet, in VMs, in which every VM runs its own fan-outs
	MinHubsPerZone      int // fewer only where a zone has fewer VMs
	VMsPerHub           int // VMs of a zone, the hub included, for each hub
}

// DefaultPolicy returns the policy for fleets of up to 920 VMs.
func DefaultPolicy() Policy { return Policy{MaxFleetWithoutHubs: 12, MinHubsPerZone: 2, VMsPerHub: 14} }

// Choose returns the hubs among the live VMs, sorted by id, or nil when every
// VM runs its own fan-outs. In each zone, the VMs with the most capacity become
// hubs.
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
		slices.SortFunc(members, compareForHub)
		hubs = append(hubs, members[:p.hubCount(members)]...)
	}
	slices.SortFunc(hubs, func(a, b wqmember.Member) int { return strings.Compare(a.ID, b.ID) })
	return hubs
}

// hubCount returns how many of a zone's VMs, sorted by compareForHub, become hubs.
// VMs with less than half of the largest capacity are left out where there are enough
// others: a fan-out takes as much longer on them.
func (p Policy) hubCount(members []wqmember.Member) int {
	n := min(max(p.MinHubsPerZone, len(members)/p.VMsPerHub), len(members))
	for n > p.MinHubsPerZone && 2*members[n-1].Capacity < members[0].Capacity {
		n--
	}
	return n
}

// compareForHub orders VMs by descending capacity, then by a hash of their ids,
// which is the same on all VMs.
func compareForHub(a, b wqmember.Member) int {
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
