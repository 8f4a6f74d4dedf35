package wqdocument

import "wisteriaquay/core/wqtopology"

// The entries that notes and topologies share. Their fields equal those of the
// types in wqtopology, so that Go converts one to the other.

type searcher struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Shard       string `json:"shard"`
	Group       string `json:"group,omitempty"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Batch       int    `json:"batch,omitempty"`
	ColdSlots   int    `json:"cold_slots,omitempty"`
	WarmMillis  int    `json:"warm_millis,omitempty"`
}

type rule struct {
	Tenant        string  `json:"tenant"`
	Class         string  `json:"class"`
	Service       string  `json:"service"`
	TimeoutMillis int     `json:"timeout_millis"`
	Weight        int     `json:"weight"`
	LeastCoverage float64 `json:"least_coverage,omitempty"`
	HedgeQuantile float64 `json:"hedge_quantile,omitempty"`
	HedgeShare    float64 `json:"hedge_share,omitempty"`
	ShedRank      int     `json:"shed_rank,omitempty"`
}

type layout struct {
	Service       string   `json:"service"`
	FirstSnapshot uint64   `json:"first_snapshot"`
	Shards        []string `json:"shards"`
}

func toSearcher(s searcher) wqtopology.Searcher   { return wqtopology.Searcher(s) }
func fromSearcher(s wqtopology.Searcher) searcher { return searcher(s) }
func toRule(r rule) wqtopology.Rule               { return wqtopology.Rule(r) }
func fromRule(r wqtopology.Rule) rule             { return rule(r) }
func toLayout(l layout) wqtopology.Layout         { return wqtopology.Layout(l) }
func fromLayout(l wqtopology.Layout) layout       { return layout(l) }
