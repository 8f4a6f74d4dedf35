// Package wqring selects the peers that a VM exchanges heartbeats with.
//
// Each ring orders the VMs by a hash of their id under the ring's own seed, and
// a VM sends heartbeats to its successor on each ring. The connections
// therefore last as long as the VMs do, and the number of messages per VM does
// not depend on the fleet's size. The union of a few random rings is an
// expander graph: gossip reaches all n members in about log n hops. Most rings
// connect the VMs of one region, so that a VM still monitors enough of its own
// region during a partition between regions; the others connect the whole
// fleet.
//
// # Usage
//
//	rings := wqring.Counts{Regional: 3, Global: 1}
//	for _, id := range rings.Successors(self, nodes) { ... }
//
// VMs with the same member list compute the same rings without coordination.
package wqring

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a VM on the rings.
type Node struct {
	ID     string
	Region string
}

// Counts holds the number of rings of each kind; plain data, safe to copy.
type Counts struct {
	Regional int // Regional is the number of rings over the VMs of one region.
	Global   int // Global is the number of rings over all VMs.
}

// Successors returns the sorted ids of the nodes that self sends heartbeats
// to. When there are at most two other nodes per ring, it returns all of them.
func (c Counts) Successors(self Node, nodes []Node) []string {
	return c.neighbours(self, nodes, func(from, to uint64) uint64 { return to - from })
}

// Predecessors returns the sorted ids of the nodes that send heartbeats to self.
func (c Counts) Predecessors(self Node, nodes []Node) []string {
	return c.neighbours(self, nodes, func(from, to uint64) uint64 { return from - to })
}

func (c Counts) neighbours(self Node, nodes []Node, distance func(from, to uint64) uint64) []string {
	others := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.ID == self.ID })
	if len(others) <= 2*(c.Regional+c.Global) {
		return sortedIDs(others)
	}
	sameRegion := slices.DeleteFunc(slices.Clone(others), func(n Node) bool { return n.Region != self.Region })
	var chosen []Node
	for i := range c.Regional {
		chosen = appendNearest(chosen, self, sameRegion, uint64(i), distance)
	}
	for i := range c.Global {
		chosen = appendNearest(chosen, self, others, uint64(c.Regional+i), distance)
	}
	return sortedIDs(chosen)
}

// appendNearest appends the node with the smallest distance from self on the
// ring of this seed.
func appendNearest(chosen []Node, self Node, nodes []Node, seed uint64, distance func(from, to uint64) uint64) []Node {
	if len(nodes) == 0 {
		return chosen
	}
	from := ringPosition(self.ID, seed)
	nearest := slices.MinFunc(nodes, func(a, b Node) int {
		x, y := distance(from, ringPosition(a.ID, seed)), distance(from, ringPosition(b.ID, seed))
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

// ringPosition hashes an id onto the ring of this seed.
func ringPosition(id string, seed uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// sortedIDs returns the ids of the nodes without duplicates.
func sortedIDs(nodes []Node) []string {
	ids := make([]string, 0, len(nodes))
	for _, n := range nodes {
		ids = append(ids, n.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
