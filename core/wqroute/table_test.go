package wqroute_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqroute"
)

func table() *wqroute.Table {
	return wqroute.NewTable(7, []wqroute.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, wqroute.Limits{})
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	for path, want := range map[string]string{"/x/y/1": "long", "/x/yy": "short", "/x/y": "short", "/x/": "short"} {
		must.Eq(t, want, table().Match("a.example", path).Name, must.Sprint(path))
	}
	must.Eq(t, "other", table().Match("b.example", "/x/y/1").Name)
	must.Nil(t, table().Match("a.example", "/z/"))
	must.Nil(t, table().Match("c.example", "/x/"))
}

func TestWeightedRoundRobinKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 10), 2, 5).Draw(t, "weights")
		r := &wqroute.Route{Name: "r"}
		total := 0.0
		for i, w := range weights {
			r.Parts = append(r.Parts, wqroute.Part{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		var w wqroute.WeightedRoundRobin
		got := make(map[string]int)
		for n := 1; n <= 300; n++ {
			got[w.NextService(r)]++
			for _, p := range r.Parts {
				want := float64(n) * p.Weight / total
				if deviation := float64(got[p.Service]) - want; deviation > float64(len(weights)) || deviation < -float64(len(weights)) {
					t.Fatalf("after %d requests %s has %d, want %.1f", n, p.Service, got[p.Service], want)
				}
			}
		}
	})
}

func TestChangedPartsRestartTheRoundRobin(t *testing.T) {
	var w wqroute.WeightedRoundRobin
	for range 7 {
		w.NextService(&wqroute.Route{Name: "r", Parts: []wqroute.Part{{Service: "a", Weight: 300}, {Service: "b", Weight: 500}}})
	}
	got := make(map[string]int)
	for range 20 {
		got[w.NextService(&wqroute.Route{Name: "r", Parts: []wqroute.Part{{Service: "a", Weight: 1}, {Service: "c", Weight: 1}}})]++
	}
	must.Eq(t, map[string]int{"a": 10, "c": 10}, got)
}
