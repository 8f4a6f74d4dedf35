package wqfanout

import (
	"cmp"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func seal(t *testing.T, q *testQuery, v *wqview.View) wqanswer.Answer {
	t.Helper()
	a, err := q.Answer(v)
	must.NoError(t, err)
	return a
}

func TestWholeAnswerInOneCallForEachHolder(t *testing.T) {
	v := newView(layout(1, "a", "b", "c", "d"))
	v.Snapshots["bench"] = 7
	q := newQuery(0)
	step := q.Start(epoch, v)
	must.LessEq(t, 2, len(step.Batches))
	step = serve(q, v, step, func(b Batch, s SubQuery) *ReplyPart { return reply(b, s, b.Snapshot, 5, 7) })
	must.True(t, step.Done)
	a := seal(t, q, v)
	must.Eq(t, 4, a.ShardsAnswered)
	must.Eq(t, 4, a.SubQueriesSent)
	must.Eq(t, uint64(7), a.Snapshot)
	must.Eq(t, 8, len(a.Rows))
}

func TestUnknownSnapshotSettlesOnNewestThatAllServe(t *testing.T) {
	v := newView(layout(1, "a", "b", "c"))
	q := newQuery(0)
	newest := map[string]uint64{"a": 9, "b": 8, "c": 9}
	step := serve(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		if b.Snapshot > newest[s.Shard] {
			return refusal(b, s, wqobservation.SnapshotGone, 6, newest[s.Shard])
		}
		return reply(b, s, cmp.Or(b.Snapshot, newest[s.Shard]), 6, newest[s.Shard])
	})
	must.True(t, step.Done)
	a := seal(t, q, v)
	must.Eq(t, uint64(8), a.Snapshot)
	must.Eq(t, 3, a.ShardsAnswered)
	must.Eq(t, 6, len(a.Rows))
	must.Eq(t, 5, a.SubQueriesSent)
}

// The index advances mid-query and one shard's replicas drop the version.
func TestLostVersionMovesWholeQuery(t *testing.T) {
	v := newView(layout(1, "a", "b"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	step := serve(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		if s.Shard == "b" && b.Snapshot < 6 {
			return refusal(b, s, wqobservation.SnapshotGone, 6, 6)
		}
		return reply(b, s, b.Snapshot, 4, 6)
	})
	must.True(t, step.Done)
	a := seal(t, q, v)
	must.Eq(t, uint64(6), a.Snapshot)
	must.Eq(t, 2, a.ShardsAnswered)
}

func TestOtherVersionThanAskedMovesWholeQuery(t *testing.T) {
	v := newView(layout(1, "a", "b"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	step := serve(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		return reply(b, s, max(b.Snapshot, 6), 0, 0)
	})
	must.True(t, step.Done)
	a := seal(t, q, v)
	must.Eq(t, uint64(6), a.Snapshot)
	must.Eq(t, 4, len(a.Rows))
}

func TestNoCommonVersionIsPartialAndLabelled(t *testing.T) {
	v := newView(layout(1, "a", "b", "c"))
	q := newQuery(0)
	only := map[string]uint64{"a": 4, "b": 5, "c": 5}
	step := serve(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		x := only[s.Shard]
		if b.Snapshot != 0 && b.Snapshot != x {
			return refusal(b, s, wqobservation.SnapshotGone, x, x)
		}
		return reply(b, s, x, x, x)
	})
	must.True(t, step.Done)
	a := seal(t, q, v)
	must.Eq(t, uint64(5), a.Snapshot)
	must.Eq(t, []wqanswer.MissingShard{{Shard: "a", Reason: wqanswer.SnapshotGone}}, a.Missing)
	must.Eq(t, 4, len(a.Rows))
}

// A repartition replaces shard b by b1 and b2 while a query runs.
func TestRepartitionCountsOldAndNewShardsOnce(t *testing.T) {
	v := newView(layout(1, "a", "b"), layout(6, "a", "b1", "b2"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	step := serve(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		if b.Snapshot < 6 && s.Shard == "b" {
			return refusal(b, s, wqobservation.SnapshotGone, 0, 0)
		}
		return reply(b, s, b.Snapshot, 5, 6)
	})
	must.True(t, step.Done)
	a := seal(t, q, v)
	must.Eq(t, uint64(6), a.Snapshot)
	must.Eq(t, 3, a.ShardsTotal)
	must.Eq(t, 3, a.ShardsAnswered)
	must.Eq(t, 6, len(a.Rows))
}

func TestHedgeAndOriginalCountOnce(t *testing.T) {
	v := newView(layout(1, "a"))
	v.Snapshots["bench"] = 5
	q := newQuery(10 * time.Millisecond)
	first := q.Start(epoch, v).Batches[0]
	must.Eq(t, at(10), q.NextWake())
	hedge := q.Wake(at(10), v).Batches[0]
	must.NotEq(t, first.SubQueries[0].SearcherID, hedge.SubQueries[0].SearcherID)
	step := q.HandleReply(at(11), v, reply(hedge, hedge.SubQueries[0], 5, 5, 5))
	must.True(t, step.Done)
	must.SliceContains(t, step.CancelIDs, first.ID)
	q.HandleReply(at(12), v, reply(first, first.SubQueries[0], 5, 5, 5))
	a := seal(t, q, v)
	must.Eq(t, 2, len(a.Rows))
	must.Eq(t, 1, a.HedgesSent)
}

func TestAnswerAfterDeadlineCountsAsMissing(t *testing.T) {
	v := newView(layout(1, "a", "b"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	step := q.Start(epoch, v)
	var late *ReplyPart
	for _, b := range step.Batches {
		for _, s := range b.SubQueries {
			if s.Shard == "a" {
				q.HandleReply(at(1), v, reply(b, s, 5, 5, 5))
			} else {
				late = reply(b, s, 5, 5, 5)
			}
		}
	}
	must.True(t, q.Wake(at(100), v).Done)
	q.HandleReply(at(101), v, late)
	a := seal(t, q, v)
	must.Eq(t, []wqanswer.MissingShard{{Shard: "b", Reason: wqanswer.Late}}, a.Missing)
	must.Eq(t, 2, len(a.Rows))
}

// A holder dies with half of its results sent: the rest is asked elsewhere.
func TestHolderDeathRetriesTheUnansweredHalf(t *testing.T) {
	v := newView(layout(1, "a", "b", "c", "d", "e", "f"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	sends := q.Start(epoch, v).Batches
	died := sends[0]
	must.Greater(t, 1, len(died.SubQueries))
	q.HandleReply(at(1), v, reply(died, died.SubQueries[0], 5, 5, 5))
	step := q.HandleCallEnd(at(2), v, died.ID, wqobservation.Broken)
	again := 0
	for _, b := range step.Batches {
		again += len(b.SubQueries)
	}
	must.Eq(t, len(died.SubQueries)-1, again)
	q.HandleReply(at(3), v, reply(died, died.SubQueries[1], 5, 5, 5))
	step = serve(q, v, Actions{Batches: append(sends[1:], step.Batches...)}, func(b Batch, s SubQuery) *ReplyPart {
		return reply(b, s, 5, 5, 5)
	})
	must.True(t, step.Done)
	a := seal(t, q, v)
	must.Eq(t, 6, a.ShardsAnswered)
	must.Eq(t, 12, len(a.Rows))
}

func TestOtherRequestsAnswerEndsTheCall(t *testing.T) {
	v := newView(layout(1, "a"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	b := q.Start(epoch, v).Batches[0]
	crossed := reply(b, b.SubQueries[0], 5, 5, 5)
	crossed.RequestID = "other"
	step := q.HandleReply(at(1), v, crossed)
	must.Eq(t, []int{b.ID}, step.CancelIDs)
	must.Eq(t, 1, len(step.Batches))
	must.False(t, step.Done)
}

func TestShardsWithoutReplicaAreMissingUntilTheSnapshotDropsThem(t *testing.T) {
	v := newView(layout(1, "a", "b"))
	v.Index.Topology.Searchers = v.Index.Topology.Searchers[:2]
	v.Index = wqtopology.NewIndex(v.Index.Topology)
	v.Snapshots["bench"] = 5
	answer := func(b Batch, s SubQuery) *ReplyPart { return reply(b, s, b.Snapshot, 5, 6) }
	q := newQuery(0)
	must.True(t, serve(q, v, q.Start(epoch, v), answer).Done)
	a := seal(t, q, v)
	must.Eq(t, []wqanswer.MissingShard{{Shard: "b", Reason: wqanswer.Withdrawn}}, a.Missing)
	v.Index.Topology.Layouts = append(v.Index.Topology.Layouts, layout(6, "a"))
	v.Index = wqtopology.NewIndex(v.Index.Topology)
	v.Snapshots["bench"] = 6
	q = newQuery(0)
	must.True(t, serve(q, v, q.Start(epoch, v), answer).Done)
	must.Eq(t, 0, len(seal(t, q, v).Missing))
}

// The view changes between the first send and the hedge.
func TestHedgesAndRetriesAvoidWhatLeft(t *testing.T) {
	for name, leave := range map[string]func(v *wqview.View, searcher string){
		"zone out": func(v *wqview.View, s string) { v.Index.Zone(v.Index.Searcher(s).Zone).Out = true },
		"leaving":  func(v *wqview.View, s string) { v.Targets[s] = wqview.TargetState{Draining: true} },
		"no VM":    func(v *wqview.View, _ string) { v.Members = nil },
	} {
		t.Run(name, func(t *testing.T) {
			v := newView(layout(1, "a"))
			v.Snapshots["bench"] = 5
			q := newQuery(10 * time.Millisecond)
			b := q.Start(epoch, v).Batches[0]
			other := map[string]string{"a-0": "a-1", "a-1": "a-0"}[b.SubQueries[0].SearcherID]
			leave(v, other)
			must.Eq(t, 0, len(q.Wake(at(10), v).Batches))
			leave(v, b.SubQueries[0].SearcherID)
			must.Eq(t, 0, len(q.HandleReply(at(11), v, refusal(b, b.SubQueries[0], wqobservation.Draining, 0, 0)).Batches))
		})
	}
}

func TestLeastCoverageRefuses(t *testing.T) {
	v := newView(layout(1, "a", "b"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	q.MinCoverage = 1
	q.Start(epoch, v)
	q.Wake(at(100), v)
	a, err := q.Answer(v)
	must.ErrorContains(t, err, "0 of 2 shards answered")
	must.Eq(t, 0, len(a.Rows))
	must.Eq(t, 2, len(a.Missing))
}

// Every target refuses for load: repeats stay within a tenth.
func TestRefusalsCauseNoStorm(t *testing.T) {
	v := newView(layout(1, "a", "b", "c", "d"))
	v.Snapshots["bench"] = 5
	retry := &wqbudget.Budget{Ratio: 0.1, Burst: 10}
	sent, needed := 0, 0
	for range 200 {
		q := newQuery(0)
		q.RetryBudget = retry
		refuse := func(b Batch, s SubQuery) *ReplyPart { return refusal(b, s, wqobservation.Shed, 0, 0) }
		step := serve(q, v, q.Start(epoch, v), refuse)
		for !step.Done {
			step = serve(q, v, q.Wake(q.NextWake(), v), refuse)
		}
		a := seal(t, q, v)
		must.Eq(t, wqanswer.Shed, a.Missing[0].Reason)
		sent += a.SubQueriesSent
		needed += a.ShardsTotal
	}
	must.Eq(t, 800, needed)
	must.LessEq(t, 880, sent)
}
