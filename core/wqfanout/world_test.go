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

type fixedHedge struct {
	wqhedge.Never
	after time.Duration
}

func (h fixedHedge) HedgeDelay() (time.Duration, bool) { return h.after, h.after > 0 }
func (h fixedHedge) TrySpend(time.Time, int) bool      { return true }

type testQuery = Query[wqreplica.Random, fixedHedge]

func newQuery(hedgeAfter time.Duration) *testQuery {
	retry := &wqbudget.Budget{Ratio: 0.1, Burst: 100}
	retry.Earn(1000)
	n := uint64(0)
	return &testQuery{
		RequestID: "q", Service: "bench", Deadline: epoch.Add(100 * time.Millisecond), MaxRows: 1000,
		HedgePolicy: fixedHedge{after: hedgeAfter}, RetryBudget: retry,
		Random: func() uint64 { n++; return n * 0x9e3779b97f4a7c15 },
	}
}

// newView has two replicas of each shard, in zones z0 and z1, each held by the
// VMs m0 and m1.
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

func layout(first uint64, shards ...string) wqtopology.Layout {
	return wqtopology.Layout{Service: "bench", FirstSnapshot: first, Shards: shards}
}

// reply is a whole answer to one sub-query.
func reply(b Batch, s SubQuery, snapshot, oldest, newest uint64) *ReplyPart {
	return &ReplyPart{
		Batch: b.ID, RequestID: "q",
		Results: []Result{{
			Shard: s.Shard, SearcherID: s.SearcherID, Snapshot: snapshot, OldestSnapshot: oldest, NewestSnapshot: newest,
			MatchedRows: 2, Sent: true, Status: wqobservation.Answered,
		}},
		Rows: rowsOf(s.Shard, snapshot),
	}
}

func refusal(b Batch, s SubQuery, status wqobservation.Status, oldest, newest uint64) *ReplyPart {
	return &ReplyPart{Batch: b.ID, RequestID: "q", Results: []Result{{
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

// serve answers every sub-query at once by what answer says, until nothing is
// left to send, and returns the last step.
func serve(q *testQuery, v *wqview.View, step Actions, answer func(Batch, SubQuery) *ReplyPart) Actions {
	sends := step.Batches
	for len(sends) > 0 {
		b := sends[0]
		sends = sends[1:]
		for _, s := range b.SubQueries {
			p := answer(b, s)
			if p == nil {
				continue
			}
			step = q.HandleReply(epoch, v, p)
			sends = append(sends, step.Batches...)
		}
	}
	return step
}
