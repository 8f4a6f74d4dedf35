package wqfanout

import (
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqview"
)

// pass is one attempt to answer the query from one snapshot. Snapshot 0 queries
// the newest snapshot of each searcher; the replies decide which snapshot the
// next pass uses.
type pass struct {
	snapshot   uint64
	builder    *wqanswer.Builder // builder only lists the shards when snapshot is 0.
	shards     []shard           // shards are in the order of builder.Shards().
	openShards int               // openShards counts shards that still need a result.
	nextWake   time.Time
}

// shard is the state of one shard in a pass.
type shard struct {
	attempts      []attempt
	dueAt         time.Time // dueAt is when a hedge or a retry is due; zero means never.
	builder       *wqanswer.Builder
	replyNumber   int // replyNumber is the value of Query.replyCount at its answer.
	hedgesSent    int
	rounds        int // rounds counts how often all candidates failed.
	missingReason wqanswer.Reason
	settled       bool
}

type attempt struct {
	batchID   int
	candidate wqreplica.Candidate
	sentAt    time.Time
	open      bool
}

// openAttempt returns the open attempt in this batch, or nil.
func (s *shard) openAttempt(batchID int) *attempt {
	for i := range s.attempts {
		if s.attempts[i].open && s.attempts[i].batchID == batchID {
			return &s.attempts[i]
		}
	}
	return nil
}

// hasOpenAttempt reports whether an attempt has no result yet.
func (s *shard) hasOpenAttempt() bool {
	for i := range s.attempts {
		if s.attempts[i].open {
			return true
		}
	}
	return false
}

// scheduleWake sets the next wake-up to at, unless at is zero or an earlier
// wake-up is set.
func (p *pass) scheduleWake(at time.Time) {
	if at.IsZero() {
		return
	}
	if p.nextWake.IsZero() || at.Before(p.nextWake) {
		p.nextWake = at
	}
}

// startPass cancels the current pass, starts one at a snapshot and sends a
// sub-query to every shard that has not answered for this snapshot yet.
func (q *Query[R, H]) startPass(now time.Time, v *wqview.View, snapshot uint64) {
	q.cancelPass(now, wqobservation.SnapshotGone)
	q.pendingBatches = nil
	q.snapshotUnavailable = false
	p := &pass{snapshot: snapshot, builder: q.builder(v, snapshot)}
	p.shards = make([]shard, len(p.builder.Shards()))
	attempts := make([]attempt, len(p.shards))
	q.pass = p
	for idx := range p.shards {
		p.shards[idx].attempts = attempts[idx : idx : idx+1]
		if snapshot != 0 && p.builder.Answered(idx) {
			p.shards[idx].settled = true
			continue
		}
		p.openShards++
	}
	q.HedgePolicy.Earn(p.openShards)
	q.RetryBudget.Earn(p.openShards)
	for idx := range p.shards {
		if !p.shards[idx].settled {
			q.dispatch(now, v, idx)
		}
	}
}

// cancelPass closes all open attempts with this status and cancels their calls.
func (q *Query[R, H]) cancelPass(now time.Time, status wqobservation.Status) {
	if q.pass == nil {
		return
	}
	for i := range q.pass.shards {
		s := &q.pass.shards[i]
		for j := range s.attempts {
			q.closeAttempt(now, &s.attempts[j], status)
		}
	}
	for id := range q.batches {
		q.endBatch(id)
	}
}

// closeAttempt closes an attempt and reports its status to the replica policy.
func (q *Query[R, H]) closeAttempt(now time.Time, a *attempt, status wqobservation.Status) {
	if !a.open {
		return
	}
	a.open = false
	q.ReplicaPolicy.RecordResult(now, &a.candidate, status, now.Sub(a.sentAt))
	b := &q.batches[a.batchID]
	b.openCount--
	if b.openCount == 0 {
		q.endBatch(a.batchID)
	}
}

// builder returns the builder of a snapshot. The one of snapshot 0 has the
// shards of the newest layout; the answer is never built from it when another
// builder has answers.
func (q *Query[R, H]) builder(v *wqview.View, snapshot uint64) *wqanswer.Builder {
	if b := q.builders[snapshot]; b != nil {
		return b
	}
	layout := snapshot
	if snapshot == 0 {
		layout = ^uint64(0)
	}
	b := wqanswer.NewBuilder(snapshot, v.Index.Shards(q.Service, layout), q.MaxRows)
	q.builders[snapshot] = b
	return b
}

// settleShard ends the work on a shard and closes its remaining attempts. An
// empty reason means that the shard was answered.
func (q *Query[R, H]) settleShard(now time.Time, idx int, reason wqanswer.Reason) {
	s := &q.pass.shards[idx]
	if s.settled {
		return
	}
	s.settled = true
	s.missingReason = reason
	s.dueAt = time.Time{}
	q.pass.openShards--
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.open && reason == "" {
			q.HedgePolicy.ObserveAbandoned(now, now.Sub(a.sentAt))
		}
		q.closeAttempt(now, a, wqobservation.Expired)
	}
}
