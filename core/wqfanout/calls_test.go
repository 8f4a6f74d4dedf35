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

// Sizes of the deployment that the system is designed for.
const (
	deploymentVMs      = 920
	deploymentZones    = 9
	deploymentShards   = 1600
	deploymentReplicas = 4
)

func zoneName(i int) string { return fmt.Sprintf("z%d", i%deploymentZones) }

// deploymentView returns a view of that size with groupSize shards in a group;
// with 0, searchers have no group and holders are assigned to each separately.
func deploymentView(groupSize int) *wqview.View {
	t := &wqtopology.Topology{Revision: 1, Layouts: []wqtopology.Layout{{Service: "bench", FirstSnapshot: 1}}}
	for i := range deploymentZones {
		t.Zones = append(t.Zones, wqtopology.Zone{ID: zoneName(i), Region: "r"})
	}
	var members []wqmember.Member
	memberByID := make(map[string]wqmember.Member, deploymentVMs)
	for i := range deploymentVMs {
		m := wqmember.Member{ID: fmt.Sprintf("vm%d", i), Zone: zoneName(i), Region: "r"}
		members = append(members, m)
		memberByID[m.ID] = m
	}
	for i := range deploymentShards {
		shard := fmt.Sprintf("b%04d", i)
		t.Layouts[0].Shards = append(t.Layouts[0].Shards, shard)
		group, zoneOffset := "", i
		if groupSize > 0 {
			zoneOffset = i / groupSize
			group = fmt.Sprintf("g%d", zoneOffset)
		}
		for j := range deploymentReplicas {
			t.Searchers = append(t.Searchers, wqtopology.Searcher{
				ID: fmt.Sprintf("%s-%d", shard, j), Zone: zoneName(zoneOffset + j), Service: "bench", Shard: shard, Group: group, Slots: 3, Connections: 30,
			})
		}
	}
	v := &wqview.View{Self: members[0], Index: wqtopology.NewIndex(t), Members: memberByID, Holders: make(map[string][]wqview.Holder), Snapshots: map[string]uint64{"bench": 1}}
	for i := range t.Searchers {
		s := &t.Searchers[i]
		v.Holders[s.ID] = wqassignment.Assign(members, s, wqassignment.Limits{MaxHolders: 3})
	}
	return v
}

// BenchmarkCallsAtDeploymentSize counts the calls to holders of one query to 1,600
// shards among 920 VMs.
func BenchmarkCallsAtDeploymentSize(b *testing.B) {
	for _, size := range []int{0, 8, 16, 32} {
		b.Run(fmt.Sprintf("group=%d", size), func(b *testing.B) {
			v := deploymentView(size)
			random := rand.New(rand.NewPCG(1, 1))
			stats := wqreplica.NewStats()
			calls := 0
			for b.Loop() {
				q := &Query[wqreplica.TwoChoices, fixedDelayHedge]{
					RequestID: "q", Service: "bench", Deadline: atMillis(1000), MaxRows: 100,
					ReplicaPolicy: wqreplica.TwoChoices{Stats: stats}, Random: random.Uint64, RetryBudget: &wqbudget.Budget{Ratio: 0.1, Burst: 10},
				}
				calls += len(q.Start(atMillis(0), v).Batches)
			}
			b.ReportMetric(float64(calls)/float64(b.N), "calls/query")
		})
	}
}
