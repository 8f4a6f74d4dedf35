// Package wqring chooses the peers that a VM exchanges heartbeats with.
//
// Every member has a fixed place on a few rings, each ordered by a hash under
// its own seed. A VM sends heartbeats to its successor on each ring, so the
// connections last as long as the VMs do, and the number of messages does not
// depend on the fleet's size. The union of a few random rings is an expander:
// a rumour reaches all n members in about log n hops. Most rings join the
// members of one region, so that a VM sees enough of its own region when
// regions lose each other; the rest join the whole fleet.
//
// # Usage
//
//	rings := wqring.Counts{Regional: 3, Global: 1}
//	for _, id := range rings.Successors(self, places) { ... }
//
// VMs with the same member list agree on the rings without a message.
package wqring

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is where a member stands.
type Node struct {
	ID     string
	Region string
}

// Counts is the number of rings of each kind; plain data, safe to copy.
type Counts struct {
	Regional int // Regional is the number of rings over the members of one region.
	Global   int // Global is the number of rings over all members.
}

// Successors returns the ids that self sends heartbeats to, sorted. In a fleet
// with at most two peers a ring, these are all other members.
func (r Counts) Successors(self Node, places []Node) []string {
	return r.neighbours(self, places, func(from, to uint64) uint64 { return to - from })
}

// Predecessors returns the ids that send heartbeats to self, sorted.
func (r Counts) Predecessors(self Node, places []Node) []string {
	return r.neighbours(self, places, func(from, to uint64) uint64 { return from - to })
}

func (r Counts) neighbours(self Node, places []Node, distance func(from, to uint64) uint64) []string {
	others := slices.DeleteFunc(slices.Clone(places), func(p Node) bool { return p.ID == self.ID })
	if len(others) <= 2*(r.Regional+r.Global) {
		return ids(others)
	}
	near := slices.DeleteFunc(slices.Clone(others), func(p Node) bool { return p.Region != self.Region })
	var chosen []Node
	for i := range r.Regional {
		chosen = appendNearest(chosen, self, near, uint64(i), distance)
	}
	for i := range r.Global {
		chosen = appendNearest(chosen, self, others, uint64(r.Regional+i), distance)
	}
	return ids(chosen)
}

// appendNearest appends the place at the least distance from self on one ring.
func appendNearest(chosen []Node, self Node, places []Node, seed uint64, distance func(from, to uint64) uint64) []Node {
	if len(places) == 0 {
		return chosen
	}
	from := position(self.ID, seed)
	nearest := slices.MinFunc(places, func(a, b Node) int {
		x, y := distance(from, position(a.ID, seed)), distance(from, position(b.ID, seed))
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return append(chosen, nearest)
}

// position returns where an id stands on the ring with this seed.
func position(id string, seed uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

func ids(places []Node) []string {
	names := make([]string, 0, len(places))
	for _, p := range places {
		names = append(names, p.ID)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
