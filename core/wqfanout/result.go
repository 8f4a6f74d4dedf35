package wqfanout

import (
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqview"
)

const (
	leastBackoff = 5 * time.Millisecond // leastBackoff is the shortest pause after every candidate was tried in vain.
	backoffParts = 8                    // backoffParts divides the time left into such pauses.
	maxRounds    = 4                    // maxRounds is how often all candidates of a shard are tried.
)

// result counts one result of a live batch.
func (q *Query[R, H]) result(now time.Time, v *wqview.View, id int, r *Result) {
	place, known := q.pass.sheet.ShardIndex(r.Shard)
	if !known {
		return
	}
	t := q.pass.shards[place].try(id)
	if t == nil || t.candidate.SearcherID != r.SearcherID {
		return
	}
	q.learn(r)
	q.close(now, v, place, t, r)
}

// close ends a try with its result and decides what follows for the shard.
func (q *Query[R, H]) close(now time.Time, v *wqview.View, place int, t *try, r *Result) {
	if !r.Sent {
		q.sent--
	}
	status := r.Status
	if status == wqobservation.Answered && !q.fits(r) {
		status = wqobservation.SnapshotGone
		q.held[r.SearcherID] = span{oldest: r.Snapshot, newest: r.Snapshot}
	}
	latency := now.Sub(t.sentAt)
	q.release(now, t, status)
	if status == wqobservation.Answered {
		q.HedgePolicy.Observe(now, latency)
		q.answered(now, v, place, r)
		return
	}
	if status == wqobservation.Shed {
		q.HedgePolicy.RecordOverload(now)
	}
	q.failed(now, v, place, status, r.Sent)
}

// fits reports whether an answer is of the snapshot that was asked for.
func (q *Query[R, H]) fits(r *Result) bool {
	return r.Snapshot != 0 && (q.pass.snapshot == 0 || r.Snapshot == q.pass.snapshot)
}

func (q *Query[R, H]) answered(now time.Time, v *wqview.View, place int, r *Result) {
	s := &q.pass.shards[place]
	sheet := q.sheet(v, r.Snapshot)
	if sheet.MarkAnswered(r.Shard, r.MatchedRows) {
		s.sheet = sheet
		s.part = q.parts
	}
	if answered, total := sheet.Progress(); q.half == 0 && 2*answered >= total {
		q.half = now.Sub(q.began)
	}
	q.settleShard(now, place, "")
}

// rows merges the rows of the shards that the same message answered.
func (q *Query[R, H]) rows(rows []wqanswer.Row) {
	for i := range rows {
		place, known := q.pass.sheet.ShardIndex(rows[i].Shard)
		if !known {
			continue
		}
		s := &q.pass.shards[place]
		if s.sheet != nil && s.part == q.parts {
			s.sheet.AddRow(rows[i])
		}
	}
}

// failed retries a shard whose sub-query brought no answer, unless another of
// its sub-queries still runs.
func (q *Query[R, H]) failed(now time.Time, v *wqview.View, place int, status wqobservation.Status, sent bool) {
	s := &q.pass.shards[place]
	if s.settled {
		return
	}
	s.reason = reasonOf(status)
	if s.waiting() {
		return
	}
	if sent && status != wqobservation.SnapshotGone && !q.RetryBudget.TrySpend(now, 1) {
		q.settleShard(now, place, s.reason)
		return
	}
	q.dispatch(now, v, place)
}

// exhausted decides what follows when no candidate is left for a shard.
func (q *Query[R, H]) exhausted(now time.Time, v *wqview.View, place int, why wqanswer.Reason) {
	s := &q.pass.shards[place]
	if s.reason == "" || len(s.tries) == 0 {
		s.reason = why
	}
	pinned := q.pass.snapshot != 0
	if pinned && !q.serves(v, q.pass.sheet.Shards()[place], q.pass.snapshot) {
		q.lost = true
		return
	}
	s.rounds++
	pause := max(leastBackoff, q.Deadline.Sub(now)/backoffParts)
	if s.rounds >= maxRounds || now.Add(pause).After(q.Deadline) || !q.RetryBudget.TrySpend(now, 1) {
		q.settleShard(now, place, s.reason)
		return
	}
	s.tries = nil
	s.wakeAt = now.Add(pause)
	q.pass.wake(s.wakeAt)
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
		return wqanswer.Late
	}
	return wqanswer.Failed
}
