package wqfanout

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqhedge"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

var epoch = time.Unix(1_000_000, 0)

type fixedDelayHedge struct {
	wqhedge.Never
	delay time.Duration
}

func (h fixedDelayHedge) HedgeDelay() (time.Duration, bool) { return h.delay, h.delay > 0 }
func (h fixedDelayHedge) TrySpend(time.Time, int) bool      { return true }

type testQuery = Query[wqreplica.Random, fixedDelayHedge]

func newQuery(hedgeAfter time.Duration) *testQuery {
	retry := &wqbudget.Budget{Ratio: 0.1, Burst: 100}
	retry.Earn(1000)
	n := uint64(0)
	return &testQuery{
		RequestID: "q", Service: "bench", Deadline: epoch.Add(100 * time.Millisecond), MaxRows: 1000,
		HedgePolicy: fixedDelayHedge{delay: hedgeAfter}, RetryBudget: retry,
		Random: func() uint64 { n++; return n * 0x9e3779b97f4a7c15 },
	}
}

// newView returns a view with two replicas of each shard, in zones z0 and z1. The
// holders of each are the VMs m0 and m1.
func newView(layouts ...wqtopology.Layout) *wqview.View {
	t := &wqtopology.Topology{Revision: 1, Layouts: layouts, Zones: []wqtopology.Zone{{ID: "z0"}, {ID: "z1"}}}
	v := &wqview.View{
		Self:      wqmember.Member{ID: "m0", Zone: "z0"},
		Members:   map[string]wqmember.Member{"m0": {ID: "m0"}, "m1": {ID: "m1"}},
		Holders:   map[string][]wqview.Holder{},
		Targets:   map[string]wqview.TargetState{},
		Snapshots: map[string]uint64{},
	}
	seen := map[string]bool{}
	for _, l := range layouts {
		for _, s := range l.Shards {
			for i := range 2 {
				id := fmt.Sprintf("%s-%d", s, i)
				if seen[id] {
					continue
				}
				seen[id] = true
				t.Searchers = append(t.Searchers, wqtopology.Searcher{ID: id, Zone: fmt.Sprintf("z%d", i), Service: "bench", Shard: s, Slots: 3})
				v.Holders[id] = []wqview.Holder{{MemberID: "m0", Slots: 1}, {MemberID: "m1", Slots: 1}}
			}
		}
	}
	v.Index = wqtopology.NewIndex(t)
	return v
}

func newLayout(first uint64, shards ...string) wqtopology.Layout {
	return wqtopology.Layout{Service: "bench", FirstSnapshot: first, Shards: shards}
}

// answeredReply returns a successful answer to one sub-query, with two rows.
func answeredReply(b Batch, s SubQuery, snapshot, oldest, newest uint64) *ReplyPart {
	return &ReplyPart{
		BatchID: b.ID, RequestID: "q",
		Results: []Result{{
			Shard: s.Shard, SearcherID: s.SearcherID, Snapshot: snapshot, OldestSnapshot: oldest, NewestSnapshot: newest,
			MatchedRows: 2, Sent: true, Status: wqobservation.Answered,
		}},
		Rows: rowsOf(s.Shard, snapshot),
	}
}

func refusedReply(b Batch, s SubQuery, status wqobservation.Status, oldest, newest uint64) *ReplyPart {
	return &ReplyPart{BatchID: b.ID, RequestID: "q", Results: []Result{{
		Shard: s.Shard, SearcherID: s.SearcherID, Status: status, OldestSnapshot: oldest, NewestSnapshot: newest, Sent: true,
	}}}
}

func rowsOf(shard string, snapshot uint64) []wqanswer.Row {
	rows := make([]wqanswer.Row, 2)
	for n := range rows {
		rows[n] = wqanswer.Row{Shard: shard, Key: fmt.Sprintf("bench/%s/%d/%d", shard, snapshot, n), Score: float64(n)}
	}
	return rows
}

// answerAll passes the reply that answer returns for each sub-query to the query,
// until there is no sub-query left, and returns the last actions. A nil reply leaves
// the sub-query open.
func answerAll(q *testQuery, v *wqview.View, actions Actions, answer func(Batch, SubQuery) *ReplyPart) Actions {
	sends := actions.Batches
	for len(sends) > 0 {
		b := sends[0]
		sends = sends[1:]
		for _, s := range b.SubQueries {
			p := answer(b, s)
			if p == nil {
				continue
			}
			actions = q.HandleReply(epoch, v, p)
			sends = append(sends, actions.Batches...)
		}
	}
	return actions
}
