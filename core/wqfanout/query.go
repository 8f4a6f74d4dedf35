// Package wqfanout is the state machine of one query. It decides which
// sub-queries to send to which holder, which results to accept, when to hedge,
// when to retry, when to switch to another snapshot, and when the answer is
// complete.
//
// # Usage
//
// One goroutine drives a Query. It carries out the returned Actions, passes in
// each reply and the end of each call, and calls Wake at the time that NextWake
// returns:
//
//	q := &wqfanout.Query[wqreplica.TwoChoices, *wqhedge.Quantile]{RequestID: "q-17", ...}
//	actions := q.Start(now, view)
//	actions = q.HandleReply(now, view, part)
//	actions = q.HandleCallEnd(now, view, batchID, wqobservation.Broken)
//	actions = q.Wake(now, view)
//	answer, err := q.Answer(view)
//
// Every call takes the latest view, so that a query that is already running
// sends no retry and no hedge to a zone that is out or a searcher that is
// draining.
package wqfanout

import (
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqview"
)

// maxSnapshotChanges limits how often one query switches to another snapshot.
const maxSnapshotChanges = 3

// Query is the state of one query. Set the exported fields before Start.
type Query[R ReplicaPolicy, H HedgePolicy] struct {
	RequestID     string
	Service       string
	Deadline      time.Time
	MinCoverage   float64 // MinCoverage is the minimum share of shards answered, 0 to 1.
	MaxRows       int     // MaxRows is the maximum number of rows in the answer.
	SnapshotHint  uint64  // SnapshotHint is what CompleteSnapshot of an earlier query returned; 0 is none.
	ReplicaPolicy R
	HedgePolicy   H
	RetryBudget   *wqbudget.Budget // RetryBudget limits repeated rounds and retries of sub-queries that reached a target.
	Random        func() uint64

	pass                *pass
	builders            map[uint64]*wqanswer.Builder
	observedRanges      map[string]snapshotRange // observedRanges holds what results reported, by searcher id.
	batches             []batch
	pendingBatches      []pendingBatch
	candidateBuffer     []wqreplica.Candidate
	cancelIDs           []int
	dueHedges           []int // dueHedges holds shard indexes.
	replyCount          int
	snapshotChanges     int
	snapshotUnavailable bool // snapshotUnavailable is true when no replica of some shard holds the snapshot.
	startedAt           time.Time
	timeToHalf          time.Duration
	subQueriesSent      int // subQueriesSent excludes sub-queries proven not to have reached a target.
	hedgesSent          int
	done                bool
	groupSeed           uint64 // groupSeed varies the candidate chosen for a group from query to query.
}

type snapshotRange struct{ oldest, newest uint64 }

type batch struct {
	pass         *pass
	shardIndexes []int
	openCount    int // openCount counts attempts without a result.
	ended        bool
}

// pendingBatch collects the sub-queries for one holder while an event is handled.
type pendingBatch struct {
	batchID    int
	memberID   string
	subQueries []SubQuery
}

// Start returns the first sub-queries to send.
func (q *Query[R, H]) Start(now time.Time, v *wqview.View) Actions {
	q.builders = make(map[uint64]*wqanswer.Builder, 1)
	q.startedAt = now
	q.groupSeed = q.Random()
	first := q.firstSnapshot(v)
	q.observedRanges = make(map[string]snapshotRange, len(q.builder(v, first).Shards()))
	q.startPass(now, v, first)
	return q.finishEvent(now, v)
}

// HandleReply records the results in one message from a holder. It ignores
// messages of a call that ended or of an abandoned snapshot; a message of
// another request ends its call with status Broken.
func (q *Query[R, H]) HandleReply(now time.Time, v *wqview.View, p *ReplyPart) Actions {
	if !q.isActive(p.BatchID) {
		return q.finishEvent(now, v)
	}
	if p.RequestID != q.RequestID {
		return q.HandleCallEnd(now, v, p.BatchID, wqobservation.Broken)
	}
	q.replyCount++
	for i := range p.Results {
		q.handleResult(now, v, p.BatchID, &p.Results[i])
	}
	q.addRows(p.Rows)
	return q.finishEvent(now, v)
}

// HandleCallEnd records that the call of a batch ended. Sub-queries without a
// result get this status: Unreachable when nothing was sent to the holder, Broken
// otherwise.
func (q *Query[R, H]) HandleCallEnd(now time.Time, v *wqview.View, batchID int, status wqobservation.Status) Actions {
	if !q.isActive(batchID) {
		return q.finishEvent(now, v)
	}
	b := &q.batches[batchID]
	for _, idx := range b.shardIndexes {
		r := Result{Status: status, Sent: status != wqobservation.Unreachable}
		s := &q.pass.shards[idx]
		if a := s.openAttempt(batchID); a != nil {
			q.close(now, v, idx, a, &r)
		}
	}
	q.endBatch(batchID)
	return q.finishEvent(now, v)
}

// NextWake returns the time of the next call to Wake, at most the deadline.
func (q *Query[R, H]) NextWake() time.Time {
	next := q.Deadline
	if q.pass != nil && !q.pass.nextWake.IsZero() && q.pass.nextWake.Before(next) {
		next = q.pass.nextWake
	}
	return next
}

// Wake returns the hedges and retries that are due, or ends the query at its
// deadline.
func (q *Query[R, H]) Wake(now time.Time, v *wqview.View) Actions {
	if !now.Before(q.Deadline) {
		q.done = true
		return q.finishEvent(now, v)
	}
	p := q.pass
	p.nextWake = time.Time{}
	q.dueHedges = q.dueHedges[:0]
	for idx := range p.shards {
		q.wakeShard(now, v, idx)
	}
	q.sendDueHedges(now, v)
	return q.finishEvent(now, v)
}

// wakeShard sends the retry of a shard if one is due; a due hedge is added to
// dueHedges.
func (q *Query[R, H]) wakeShard(now time.Time, v *wqview.View, idx int) {
	s := &q.pass.shards[idx]
	switch {
	case s.settled || s.dueAt.IsZero():
	case s.dueAt.After(now):
		q.pass.scheduleWake(s.dueAt)
	case s.hasOpenAttempt():
		s.dueAt = time.Time{}
		q.dueHedges = append(q.dueHedges, idx)
	default:
		s.dueAt = time.Time{}
		q.dispatch(now, v, idx)
	}
}

// TimeToHalf returns the time from Start until half of the shards had answered,
// 0 if they did not.
func (q *Query[R, H]) TimeToHalf() time.Duration { return q.timeToHalf }

// isActive reports whether results of this batch are still accepted.
func (q *Query[R, H]) isActive(batchID int) bool {
	if q.done || batchID < 0 || batchID >= len(q.batches) {
		return false
	}
	b := &q.batches[batchID]
	return !b.ended && b.pass == q.pass
}

// endBatch ends a batch and adds its id to the CancelIDs of the next Actions.
func (q *Query[R, H]) endBatch(batchID int) {
	b := &q.batches[batchID]
	if b.ended {
		return
	}
	b.ended = true
	q.cancelIDs = append(q.cancelIDs, batchID)
}

// finishEvent switches the snapshot or ends the query if needed, and returns the
// actions that the current event led to.
func (q *Query[R, H]) finishEvent(now time.Time, v *wqview.View) Actions {
	if !q.done {
		q.changeSnapshotOrFinish(now, v)
	}
	if q.done {
		q.cancelAll(now)
	}
	actions := Actions{Batches: q.takeBatches(), CancelIDs: q.cancelIDs, Done: q.done}
	q.cancelIDs = nil
	return actions
}

// cancelAll drops unsent batches and cancels all calls that still run.
func (q *Query[R, H]) cancelAll(now time.Time) {
	q.pendingBatches = q.pendingBatches[:0]
	q.cancelPass(now, wqobservation.Expired)
}

// takeBatches returns the pending batches and clears the list.
func (q *Query[R, H]) takeBatches() []Batch {
	if len(q.pendingBatches) == 0 {
		return nil
	}
	batches := make([]Batch, 0, len(q.pendingBatches))
	for i := range q.pendingBatches {
		pb := &q.pendingBatches[i]
		batches = append(batches, Batch{ID: pb.batchID, MemberID: pb.memberID, Snapshot: q.pass.snapshot, SubQueries: pb.subQueries})
	}
	q.pendingBatches = nil
	return batches
}
