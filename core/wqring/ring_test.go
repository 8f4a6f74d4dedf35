package wqring_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqring"
)

var rings = wqring.Counts{Regional: 3, Global: 1}

// newNodes returns n nodes, spread over three regions.
func newNodes(n int) []wqring.Node {
	nodes := make([]wqring.Node, n)
	for i := range nodes {
		nodes[i] = wqring.Node{ID: fmt.Sprintf("vm-%d", i), Region: fmt.Sprintf("r%d", i%3)}
	}
	return nodes
}

func Example() {
	fleet := []wqring.Node{{ID: "vm-a", Region: "cuyo"}, {ID: "vm-b", Region: "cuyo"}, {ID: "vm-c", Region: "cuyo"}}
	fmt.Println(wqring.Counts{Regional: 3, Global: 1}.Successors(fleet[0], fleet))
	// Output: [vm-b vm-c]
}

func TestPredecessorsAreInverseOfSuccessors(t *testing.T) {
	nodes := newNodes(60)
	for _, n := range nodes {
		for _, id := range rings.Successors(n, nodes) {
			i := slices.IndexFunc(nodes, func(o wqring.Node) bool { return o.ID == id })
			must.SliceContains(t, rings.Predecessors(nodes[i], nodes), n.ID)
		}
	}
}

func TestGossipReaches920VMsInSevenHops(t *testing.T) {
	nodes := newNodes(920)
	neighbours := make(map[string][]string)
	for _, n := range nodes {
		neighbours[n.ID] = append(rings.Successors(n, nodes), rings.Predecessors(n, nodes)...)
		must.LessEq(t, 8, len(neighbours[n.ID]))
	}
	reached := map[string]bool{nodes[0].ID: true}
	frontier := []string{nodes[0].ID}
	hops := 0
	for ; len(reached) < len(nodes) && hops < 100; hops++ {
		var newlyReached []string
		for _, id := range frontier {
			for _, neighbour := range neighbours[id] {
				if !reached[neighbour] {
					reached[neighbour] = true
					newlyReached = append(newlyReached, neighbour)
				}
			}
		}
		frontier = newlyReached
	}
	must.LessEq(t, 7, hops, must.Sprint("gossip must reach 920 members in at most 7 hops"))
}

func TestRemovedVMChangesFewNeighbours(t *testing.T) {
	nodes := newNodes(200)
	remaining := slices.Delete(slices.Clone(nodes), 17, 18)
	changed := 0
	for _, n := range remaining {
		if !slices.Equal(rings.Successors(n, nodes), rings.Successors(n, remaining)) {
			changed++
		}
	}
	must.LessEq(t, 4, changed, must.Sprint("only the predecessors of the removed VM may change a neighbour"))
}

func BenchmarkSuccessors(b *testing.B) {
	for _, n := range []int{8, 50, 200, 920} {
		nodes := newNodes(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				rings.Successors(nodes[0], nodes)
			}
		})
	}
}
