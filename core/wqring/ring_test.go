package wqring_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqring"
)

var rings = wqring.Counts{Regional: 3, Global: 1}

func places(n int) []wqring.Node {
	all := make([]wqring.Node, n)
	for i := range all {
		all[i] = wqring.Node{ID: fmt.Sprintf("vm-%d", i), Region: fmt.Sprintf("r%d", i%3)}
	}
	return all
}

func Example() {
	fleet := []wqring.Node{{ID: "vm-a", Region: "cuyo"}, {ID: "vm-b", Region: "cuyo"}, {ID: "vm-c", Region: "cuyo"}}
	fmt.Println(wqring.Counts{Regional: 3, Global: 1}.Successors(fleet[0], fleet))
	// Output: [vm-b vm-c]
}

func TestPredecessorsMirrorSuccessors(t *testing.T) {
	all := places(60)
	for _, a := range all {
		for _, id := range rings.Successors(a, all) {
			i := slices.IndexFunc(all, func(p wqring.Node) bool { return p.ID == id })
			must.SliceContains(t, rings.Predecessors(all[i], all), a.ID)
		}
	}
}

func TestRumourFloodsInFewHops(t *testing.T) {
	all := places(920)
	next := make(map[string][]string)
	for _, p := range all {
		next[p.ID] = append(rings.Successors(p, all), rings.Predecessors(p, all)...)
		must.LessEq(t, 8, len(next[p.ID]))
	}
	reached := map[string]bool{all[0].ID: true}
	edge := []string{all[0].ID}
	hops := 0
	for ; len(reached) < len(all) && hops < 100; hops++ {
		var further []string
		for _, id := range edge {
			for _, peer := range next[id] {
				if !reached[peer] {
					reached[peer] = true
					further = append(further, peer)
				}
			}
		}
		edge = further
	}
	must.LessEq(t, 7, hops, must.Sprint("a rumour must reach 920 members in at most 7 hops"))
}

func TestOneDeathChangesFewNeighbours(t *testing.T) {
	all := places(200)
	fewer := slices.Delete(slices.Clone(all), 17, 18)
	changed := 0
	for _, p := range fewer {
		if !slices.Equal(rings.Successors(p, all), rings.Successors(p, fewer)) {
			changed++
		}
	}
	must.LessEq(t, 4, changed, must.Sprint("only the predecessors of the dead member may change a neighbour"))
}

func BenchmarkSuccessors(b *testing.B) {
	for _, n := range []int{8, 50, 200, 920} {
		all := places(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				rings.Successors(all[0], all)
			}
		})
	}
}
