package wqfanout

import (
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqview"
)

const (
	minBackoff     = 5 * time.Millisecond // minBackoff is the minimum delay after all candidates of a shard failed.
	backoffDivisor = 8                    // backoffDivisor: the delay is the time left divided by this, if that is longer.
	maxRounds      = 4                    // maxRounds limits how often all candidates of a shard are tried.
)

// handleResult records one result of an active batch.
func (q *Query[R, H]) handleResult(now time.Time, v *wqview.View, batchID int, r *Result) {
	idx, ok := q.pass.builder.ShardIndex(r.Shard)
	if !ok {
		return
	}
	a := q.pass.shards[idx].openAttempt(batchID)
	if a == nil || a.candidate.SearcherID != r.SearcherID {
		return
	}
	q.recordSnapshotRange(r)
	q.close(now, v, idx, a, r)
}

// close closes an attempt with its result and settles or retries the
// shard.
func (q *Query[R, H]) close(now time.Time, v *wqview.View, idx int, a *attempt, r *Result) {
	if !r.Sent {
		q.subQueriesSent--
	}
	status := r.Status
	if status == wqobservation.Answered && !q.matchesSnapshot(r) {
		status = wqobservation.SnapshotGone
		q.observedRanges[r.SearcherID] = snapshotRange{oldest: r.Snapshot, newest: r.Snapshot}
	}
	latency := now.Sub(a.sentAt)
	q.closeAttempt(now, a, status)
	if status == wqobservation.Answered {
		q.HedgePolicy.Observe(now, latency)
		q.handleAnswer(now, v, idx, r)
		return
	}
	if status == wqobservation.Shed {
		q.HedgePolicy.RecordOverload(now)
	}
	q.handleFailure(now, v, idx, status, r.Sent)
}

// matchesSnapshot reports whether an answer is of the requested snapshot.
func (q *Query[R, H]) matchesSnapshot(r *Result) bool {
	return r.Snapshot != 0 && (q.pass.snapshot == 0 || r.Snapshot == q.pass.snapshot)
}

func (q *Query[R, H]) handleAnswer(now time.Time, v *wqview.View, idx int, r *Result) {
	s := &q.pass.shards[idx]
	builder := q.builder(v, r.Snapshot)
	if builder.MarkAnswered(r.Shard, r.MatchedRows) {
		s.builder = builder
		s.replyNumber = q.replyCount
	}
	if answered, total := builder.Progress(); q.timeToHalf == 0 && 2*answered >= total {
		q.timeToHalf = now.Sub(q.startedAt)
	}
	q.settleShard(now, idx, "")
}

// addRows adds the rows of the shards that the current message answered.
func (q *Query[R, H]) addRows(rows []wqanswer.Row) {
	for i := range rows {
		idx, ok := q.pass.builder.ShardIndex(rows[i].Shard)
		if !ok {
			continue
		}
		s := &q.pass.shards[idx]
		if s.builder != nil && s.replyNumber == q.replyCount {
			s.builder.AddRow(rows[i])
		}
	}
}

// handleFailure retries a shard after a failed attempt, unless another attempt is
// still open.
func (q *Query[R, H]) handleFailure(now time.Time, v *wqview.View, idx int, status wqobservation.Status, sent bool) {
	s := &q.pass.shards[idx]
	if s.settled {
		return
	}
	s.missingReason = reasonOf(status)
	if s.hasOpenAttempt() {
		return
	}
	if sent && status != wqobservation.SnapshotGone && !q.RetryBudget.TrySpend(now, 1) {
		q.settleShard(now, idx, s.missingReason)
		return
	}
	q.dispatch(now, v, idx)
}

// handleNoCandidate handles a shard without candidates: it marks the snapshot as
// unavailable, schedules another round, or settles the shard as missing.
func (q *Query[R, H]) handleNoCandidate(now time.Time, v *wqview.View, idx int, reason wqanswer.Reason) {
	s := &q.pass.shards[idx]
	if s.missingReason == "" || len(s.attempts) == 0 {
		s.missingReason = reason
	}
	pinned := q.pass.snapshot != 0
	if pinned && !q.canServe(v, q.pass.builder.Shards()[idx], q.pass.snapshot) {
		q.snapshotUnavailable = true
		return
	}
	s.rounds++
	backoff := max(minBackoff, q.Deadline.Sub(now)/backoffDivisor)
	if s.rounds >= maxRounds || now.Add(backoff).After(q.Deadline) || !q.RetryBudget.TrySpend(now, 1) {
		q.settleShard(now, idx, s.missingReason)
		return
	}
	s.attempts = nil
	s.dueAt = now.Add(backoff)
	q.pass.scheduleWake(s.dueAt)
}

func reasonOf(s wqobservation.Status) wqanswer.Reason {
	switch s {
	case wqobservation.SnapshotGone:
		return wqanswer.SnapshotGone
	case wqobservation.Shed, wqobservation.NotRun:
		return wqanswer.Shed
	case wqobservation.Draining, wqobservation.Unreachable:
		return wqanswer.Unreachable
	case wqobservation.NotHolder:
		return wqanswer.NotHeld
	case wqobservation.ZoneOut:
		return wqanswer.ZoneOut
	case wqobservation.Expired:
		return wqanswer.DeadlineExceeded
	}
	return wqanswer.Failed
}
