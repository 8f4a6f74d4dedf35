package wqcandidate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

var startTime = time.Unix(1_000_000, 0)

func testView() *wqview.View {
	zones := []wqtopology.Zone{{ID: "a"}, {ID: "b"}, {ID: "c", Out: true}}
	searcher := func(id, zone string) wqtopology.Searcher {
		return wqtopology.Searcher{ID: id, Zone: zone, Service: "orders", Shard: "o1"}
	}
	searchers := []wqtopology.Searcher{searcher("out", "c"), searcher("far", "b"), searcher("near", "a")}
	members := map[string]wqmember.Member{
		"vm1": {ID: "vm1", Zone: "a", Epoch: 1}, "vm2": {ID: "vm2", Zone: "b", Epoch: 1}, "vm3": {ID: "vm3", Epoch: 1, State: wqmember.Leaving},
	}
	holders := []wqview.Holder{{MemberID: "vm3"}, {MemberID: "vm2"}, {MemberID: "vm1"}}
	return &wqview.View{
		Self: members["vm1"], Members: members, Targets: map[string]wqview.TargetState{},
		Index:   wqtopology.NewIndex(&wqtopology.Topology{Searchers: searchers, Zones: zones}),
		Holders: map[string][]wqview.Holder{"out": holders, "far": holders, "near": holders},
	}
}

func rankedIDs(v *wqview.View) []string {
	var names []string
	for _, c := range (NearFirst{}).Rank(v, startTime, "orders", "o1") {
		names = append(names, c.Searcher.ID+"/"+c.Holder.ID)
	}
	return names
}

func TestRankPrefersNearSearchersAndOwnConnections(t *testing.T) {
	must.Eq(t, []string{"near/vm1", "near/vm2", "far/vm1", "far/vm2"}, rankedIDs(testView()))
}

func TestRankOmitsDrainingSearchersAndPutsDownOnesLast(t *testing.T) {
	v := testView()
	v.Targets["near"] = wqview.TargetState{Down: true}
	must.Eq(t, []string{"far/vm1", "far/vm2", "near/vm1", "near/vm2"}, rankedIDs(v))
	v.Targets["near"] = wqview.TargetState{Draining: true}
	must.Eq(t, []string{"far/vm1", "far/vm2"}, rankedIDs(v))
}

func TestRankPutsSharesNotYetUsableLast(t *testing.T) {
	v := testView()
	v.Holders["near"] = []wqview.Holder{{MemberID: "vm1", UsableFrom: startTime.Add(time.Second)}, {MemberID: "vm2"}}
	must.Eq(t, []string{"near/vm2", "far/vm1", "far/vm2", "near/vm1"}, rankedIDs(v))
}
