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

func atMillis(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func mustAnswer(t *testing.T, q *testQuery, v *wqview.View) wqanswer.Answer {
	t.Helper()
	a, err := q.Answer(v)
	must.NoError(t, err)
	return a
}

func TestCompleteAnswerWithOneCallPerHolder(t *testing.T) {
	v := newView(newLayout(1, "a", "b", "c", "d"))
	v.Snapshots["bench"] = 7
	q := newQuery(0)
	actions := q.Start(epoch, v)
	must.LessEq(t, 2, len(actions.Batches))
	actions = answerAll(q, v, actions, func(b Batch, s SubQuery) *ReplyPart { return answeredReply(b, s, b.Snapshot, 5, 7) })
	must.True(t, actions.Done)
	a := mustAnswer(t, q, v)
	must.Eq(t, 4, a.ShardsAnswered)
	must.Eq(t, 4, a.SubQueriesSent)
	must.Eq(t, uint64(7), a.Snapshot)
	must.Eq(t, 8, len(a.Rows))
}

func TestUnknownSnapshotMovesToNewestServedByAllShards(t *testing.T) {
	v := newView(newLayout(1, "a", "b", "c"))
	q := newQuery(0)
	newest := map[string]uint64{"a": 9, "b": 8, "c": 9}
	actions := answerAll(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		if b.Snapshot > newest[s.Shard] {
			return refusedReply(b, s, wqobservation.SnapshotGone, 6, newest[s.Shard])
		}
		return answeredReply(b, s, cmp.Or(b.Snapshot, newest[s.Shard]), 6, newest[s.Shard])
	})
	must.True(t, actions.Done)
	a := mustAnswer(t, q, v)
	must.Eq(t, uint64(8), a.Snapshot)
	must.Eq(t, 3, a.ShardsAnswered)
	must.Eq(t, 6, len(a.Rows))
	must.Eq(t, 5, a.SubQueriesSent)
}

// The replicas of one shard drop the snapshot while a query runs.
func TestDroppedSnapshotMovesQueryToNextSnapshot(t *testing.T) {
	v := newView(newLayout(1, "a", "b"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	actions := answerAll(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		if s.Shard == "b" && b.Snapshot < 6 {
			return refusedReply(b, s, wqobservation.SnapshotGone, 6, 6)
		}
		return answeredReply(b, s, b.Snapshot, 4, 6)
	})
	must.True(t, actions.Done)
	a := mustAnswer(t, q, v)
	must.Eq(t, uint64(6), a.Snapshot)
	must.Eq(t, 2, a.ShardsAnswered)
}

func TestAnswersOfUnexpectedSnapshotMoveQuery(t *testing.T) {
	v := newView(newLayout(1, "a", "b"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	actions := answerAll(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		return answeredReply(b, s, max(b.Snapshot, 6), 0, 0)
	})
	must.True(t, actions.Done)
	a := mustAnswer(t, q, v)
	must.Eq(t, uint64(6), a.Snapshot)
	must.Eq(t, 4, len(a.Rows))
}

func TestNoCommonSnapshotYieldsPartialAnswerWithReason(t *testing.T) {
	v := newView(newLayout(1, "a", "b", "c"))
	q := newQuery(0)
	snapshotOf := map[string]uint64{"a": 4, "b": 5, "c": 5}
	actions := answerAll(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		x := snapshotOf[s.Shard]
		if b.Snapshot != 0 && b.Snapshot != x {
			return refusedReply(b, s, wqobservation.SnapshotGone, x, x)
		}
		return answeredReply(b, s, x, x, x)
	})
	must.True(t, actions.Done)
	a := mustAnswer(t, q, v)
	must.Eq(t, uint64(5), a.Snapshot)
	must.Eq(t, []wqanswer.MissingShard{{Shard: "a", Reason: wqanswer.SnapshotGone}}, a.Missing)
	must.Eq(t, 4, len(a.Rows))
}

// A repartition replaces shard b by b1 and b2 while a query runs. Results of b must
// not be counted in the answer with the new layout.
func TestRepartitionDuringQueryUsesOnlyNewLayout(t *testing.T) {
	v := newView(newLayout(1, "a", "b"), newLayout(6, "a", "b1", "b2"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	actions := answerAll(q, v, q.Start(epoch, v), func(b Batch, s SubQuery) *ReplyPart {
		if b.Snapshot < 6 && s.Shard == "b" {
			return refusedReply(b, s, wqobservation.SnapshotGone, 0, 0)
		}
		return answeredReply(b, s, b.Snapshot, 5, 6)
	})
	must.True(t, actions.Done)
	a := mustAnswer(t, q, v)
	must.Eq(t, uint64(6), a.Snapshot)
	must.Eq(t, 3, a.ShardsTotal)
	must.Eq(t, 3, a.ShardsAnswered)
	must.Eq(t, 6, len(a.Rows))
}

func TestHedgeAndOriginalAnswerCountOnce(t *testing.T) {
	v := newView(newLayout(1, "a"))
	v.Snapshots["bench"] = 5
	q := newQuery(10 * time.Millisecond)
	first := q.Start(epoch, v).Batches[0]
	must.Eq(t, atMillis(10), q.NextWake())
	hedge := q.Wake(atMillis(10), v).Batches[0]
	must.NotEq(t, first.SubQueries[0].SearcherID, hedge.SubQueries[0].SearcherID)
	actions := q.HandleReply(atMillis(11), v, answeredReply(hedge, hedge.SubQueries[0], 5, 5, 5))
	must.True(t, actions.Done)
	must.SliceContains(t, actions.CancelIDs, first.ID)
	q.HandleReply(atMillis(12), v, answeredReply(first, first.SubQueries[0], 5, 5, 5))
	a := mustAnswer(t, q, v)
	must.Eq(t, 2, len(a.Rows))
	must.Eq(t, 1, a.HedgesSent)
}

func TestAnswerAfterDeadlineCountsAsMissing(t *testing.T) {
	v := newView(newLayout(1, "a", "b"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	actions := q.Start(epoch, v)
	var lateReply *ReplyPart
	for _, b := range actions.Batches {
		for _, s := range b.SubQueries {
			if s.Shard == "a" {
				q.HandleReply(atMillis(1), v, answeredReply(b, s, 5, 5, 5))
			} else {
				lateReply = answeredReply(b, s, 5, 5, 5)
			}
		}
	}
	must.True(t, q.Wake(atMillis(100), v).Done)
	q.HandleReply(atMillis(101), v, lateReply)
	a := mustAnswer(t, q, v)
	must.Eq(t, []wqanswer.MissingShard{{Shard: "b", Reason: wqanswer.DeadlineExceeded}}, a.Missing)
	must.Eq(t, 2, len(a.Rows))
}

// The call to a holder breaks after some of its results: only the sub-queries
// without a result may be sent to another holder.
func TestBrokenCallRetriesUnansweredSubQueries(t *testing.T) {
	v := newView(newLayout(1, "a", "b", "c", "d", "e", "f"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	sends := q.Start(epoch, v).Batches
	broken := sends[0]
	must.Greater(t, 1, len(broken.SubQueries))
	q.HandleReply(atMillis(1), v, answeredReply(broken, broken.SubQueries[0], 5, 5, 5))
	actions := q.HandleCallEnd(atMillis(2), v, broken.ID, wqobservation.Broken)
	retried := 0
	for _, b := range actions.Batches {
		retried += len(b.SubQueries)
	}
	must.Eq(t, len(broken.SubQueries)-1, retried)
	q.HandleReply(atMillis(3), v, answeredReply(broken, broken.SubQueries[1], 5, 5, 5))
	actions = answerAll(q, v, Actions{Batches: append(sends[1:], actions.Batches...)}, func(b Batch, s SubQuery) *ReplyPart {
		return answeredReply(b, s, 5, 5, 5)
	})
	must.True(t, actions.Done)
	a := mustAnswer(t, q, v)
	must.Eq(t, 6, a.ShardsAnswered)
	must.Eq(t, 12, len(a.Rows))
}

func TestReplyOfOtherRequestCancelsCall(t *testing.T) {
	v := newView(newLayout(1, "a"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	b := q.Start(epoch, v).Batches[0]
	otherReply := answeredReply(b, b.SubQueries[0], 5, 5, 5)
	otherReply.RequestID = "other"
	actions := q.HandleReply(atMillis(1), v, otherReply)
	must.Eq(t, []int{b.ID}, actions.CancelIDs)
	must.Eq(t, 1, len(actions.Batches))
	must.False(t, actions.Done)
}

func TestShardWithoutReplicaIsMissingUntilLayoutDropsIt(t *testing.T) {
	v := newView(newLayout(1, "a", "b"))
	v.Index.Topology.Searchers = v.Index.Topology.Searchers[:2]
	v.Index = wqtopology.NewIndex(v.Index.Topology)
	v.Snapshots["bench"] = 5
	answer := func(b Batch, s SubQuery) *ReplyPart { return answeredReply(b, s, b.Snapshot, 5, 6) }
	q := newQuery(0)
	must.True(t, answerAll(q, v, q.Start(epoch, v), answer).Done)
	a := mustAnswer(t, q, v)
	must.Eq(t, []wqanswer.MissingShard{{Shard: "b", Reason: wqanswer.Withdrawn}}, a.Missing)
	v.Index.Topology.Layouts = append(v.Index.Topology.Layouts, newLayout(6, "a"))
	v.Index = wqtopology.NewIndex(v.Index.Topology)
	v.Snapshots["bench"] = 6
	q = newQuery(0)
	must.True(t, answerAll(q, v, q.Start(epoch, v), answer).Done)
	must.Eq(t, 0, len(mustAnswer(t, q, v).Missing))
}

// Searchers become unavailable between the first send and the hedge or retry.
func TestHedgesAndRetriesSkipUnavailableSearchers(t *testing.T) {
	for name, makeUnavailable := range map[string]func(v *wqview.View, searcher string){
		"zone out": func(v *wqview.View, s string) { v.Index.Zone(v.Index.Searcher(s).Zone).Out = true },
		"leaving":  func(v *wqview.View, s string) { v.Targets[s] = wqview.TargetState{Draining: true} },
		"no VM":    func(v *wqview.View, _ string) { v.Members = nil },
	} {
		t.Run(name, func(t *testing.T) {
			v := newView(newLayout(1, "a"))
			v.Snapshots["bench"] = 5
			q := newQuery(10 * time.Millisecond)
			b := q.Start(epoch, v).Batches[0]
			other := map[string]string{"a-0": "a-1", "a-1": "a-0"}[b.SubQueries[0].SearcherID]
			makeUnavailable(v, other)
			must.Eq(t, 0, len(q.Wake(atMillis(10), v).Batches))
			makeUnavailable(v, b.SubQueries[0].SearcherID)
			must.Eq(t, 0, len(q.HandleReply(atMillis(11), v, refusedReply(b, b.SubQueries[0], wqobservation.Draining, 0, 0)).Batches))
		})
	}
}

func TestCoverageBelowMinimumReturnsError(t *testing.T) {
	v := newView(newLayout(1, "a", "b"))
	v.Snapshots["bench"] = 5
	q := newQuery(0)
	q.MinCoverage = 1
	q.Start(epoch, v)
	q.Wake(atMillis(100), v)
	a, err := q.Answer(v)
	must.ErrorContains(t, err, "0 of 2 shards answered")
	must.Eq(t, 0, len(a.Rows))
	must.Eq(t, 2, len(a.Missing))
}

// All targets refuse because of load: without a retry budget, each query would
// multiply the load. Retries stay within a tenth of the 800 sub-queries needed.
func TestOverloadCausesNoRetryStorm(t *testing.T) {
	v := newView(newLayout(1, "a", "b", "c", "d"))
	v.Snapshots["bench"] = 5
	retry := &wqbudget.Budget{Ratio: 0.1, Burst: 10}
	sent, needed := 0, 0
	for range 200 {
		q := newQuery(0)
		q.RetryBudget = retry
		refuse := func(b Batch, s SubQuery) *ReplyPart { return refusedReply(b, s, wqobservation.Shed, 0, 0) }
		actions := answerAll(q, v, q.Start(epoch, v), refuse)
		for !actions.Done {
			actions = answerAll(q, v, q.Wake(q.NextWake(), v), refuse)
		}
		a := mustAnswer(t, q, v)
		must.Eq(t, wqanswer.Shed, a.Missing[0].Reason)
		sent += a.SubQueriesSent
		needed += a.ShardsTotal
	}
	must.Eq(t, 800, needed)
	must.LessEq(t, 880, sent)
}
