package wqfanout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"wisteriaquay/core/wqassignment"
	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// Sizes of the target deployment.
const (
	targetVMs      = 920
	targetZones    = 9
	targetShards   = 1600
	targetReplicas = 4
)

func zoneName(i int) string { return fmt.Sprintf("z%d", i%targetZones) }

// targetView returns a view of the target size with so many shards to a group,
// 0 for searchers that are held each by itself.
func targetView(groupSize int) *wqview.View {
	t := &wqtopology.Topology{Revision: 1, Layouts: []wqtopology.Layout{{Service: "bench", FirstSnapshot: 1}}}
	for i := range targetZones {
		t.Zones = append(t.Zones, wqtopology.Zone{ID: zoneName(i), Region: "r"})
	}
	var members []wqmember.Member
	known := make(map[string]wqmember.Member, targetVMs)
	for i := range targetVMs {
		m := wqmember.Member{ID: fmt.Sprintf("vm%d", i), Zone: zoneName(i), Region: "r"}
		members = append(members, m)
		known[m.ID] = m
	}
	for i := range targetShards {
		shard := fmt.Sprintf("b%04d", i)
		t.Layouts[0].Shards = append(t.Layouts[0].Shards, shard)
		group, place := "", i
		if groupSize > 0 {
			place = i / groupSize
			group = fmt.Sprintf("g%d", place)
		}
		for j := range targetReplicas {
			t.Searchers = append(t.Searchers, wqtopology.Searcher{
				ID: fmt.Sprintf("%s-%d", shard, j), Zone: zoneName(place + j), Service: "bench", Shard: shard, Group: group, Slots: 3, Connections: 30,
			})
		}
	}
	v := &wqview.View{Self: members[0], Index: wqtopology.NewIndex(t), Members: known, Holders: make(map[string][]wqview.Holder), Snapshots: map[string]uint64{"bench": 1}}
	for i := range t.Searchers {
		s := &t.Searchers[i]
		v.Holders[s.ID] = wqassignment.Assign(members, s, wqassignment.Limits{MaxHolders: 3})
	}
	return v
}

// BenchmarkCallsAtTargetSize counts the calls to holders that one query of
// 1,600 shards makes among 920 VMs.
func BenchmarkCallsAtTargetSize(b *testing.B) {
	for _, size := range []int{0, 8, 16, 32} {
		b.Run(fmt.Sprintf("group=%d", size), func(b *testing.B) {
			v := targetView(size)
			random := rand.New(rand.NewPCG(1, 1))
			stats := wqreplica.NewStats()
			calls := 0
			for b.Loop() {
				q := &Query[wqreplica.TwoChoices, fixedHedge]{
					RequestID: "q", Service: "bench", Deadline: at(1000), MaxRows: 100,
					ReplicaPolicy: wqreplica.TwoChoices{Stats: stats}, Random: random.Uint64, RetryBudget: &wqbudget.Budget{Ratio: 0.1, Burst: 10},
				}
				calls += len(q.Start(at(0), v).Batches)
			}
			b.ReportMetric(float64(calls)/float64(b.N), "calls/query")
		})
	}
}
