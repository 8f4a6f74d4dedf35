package wqfanout

import (
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqview"
)

// pass is one attempt to answer from one snapshot. Snapshot 0 asks each
// searcher for its newest; its answers settle which snapshot the next pass uses.
type pass struct {
	snapshot uint64
	sheet    *wqanswer.Builder // sheet is the one of the snapshot; for 0 it only lists the shards.
	shards   []shard           // shards are in the order of the sheet.
	open     int               // open counts shards that are not settled.
	wakeAt   time.Time
}

// shard is what a pass knows of one shard.
type shard struct {
	tries   []try
	wakeAt  time.Time // wakeAt is when a hedge or a retry is due; zero is never.
	sheet   *wqanswer.Builder
	part    int // part is the message that answered it.
	hedges  int
	rounds  int // rounds counts the times that every candidate was tried in vain.
	reason  wqanswer.Reason
	settled bool
}

type try struct {
	batch     int
	candidate wqreplica.Candidate
	sentAt    time.Time
	open      bool
}

// try returns the open try of this batch, or nil.
func (s *shard) try(batch int) *try {
	for i := range s.tries {
		if s.tries[i].open && s.tries[i].batch == batch {
			return &s.tries[i]
		}
	}
	return nil
}

// waiting reports whether a result is still to come.
func (s *shard) waiting() bool {
	for i := range s.tries {
		if s.tries[i].open {
			return true
		}
	}
	return false
}

// wake moves the wake-up time forward to at, unless that is zero.
func (p *pass) wake(at time.Time) {
	if at.IsZero() {
		return
	}
	if p.wakeAt.IsZero() || at.Before(p.wakeAt) {
		p.wakeAt = at
	}
}

// begin starts a pass at a snapshot and sends a sub-query to every shard that
// its sheet lacks.
func (q *Query[R, H]) begin(now time.Time, v *wqview.View, snapshot uint64) {
	q.abandon(now, wqobservation.SnapshotGone)
	q.groups = nil
	q.lost = false
	p := &pass{snapshot: snapshot, sheet: q.sheet(v, snapshot)}
	p.shards = make([]shard, len(p.sheet.Shards()))
	tries := make([]try, len(p.shards))
	q.pass = p
	for place := range p.shards {
		p.shards[place].tries = tries[place : place : place+1]
		if snapshot != 0 && p.sheet.Answered(place) {
			p.shards[place].settled = true
			continue
		}
		p.open++
	}
	q.HedgePolicy.Earn(p.open)
	q.RetryBudget.Earn(p.open)
	for place := range p.shards {
		if !p.shards[place].settled {
			q.dispatch(now, v, place)
		}
	}
}

// abandon closes all open tries and cancels their calls.
func (q *Query[R, H]) abandon(now time.Time, status wqobservation.Status) {
	if q.pass == nil {
		return
	}
	for i := range q.pass.shards {
		s := &q.pass.shards[i]
		for j := range s.tries {
			q.release(now, &s.tries[j], status)
		}
	}
	for id := range q.batches {
		q.drop(id)
	}
}

// release closes a try and tells the policy how it ended.
func (q *Query[R, H]) release(now time.Time, t *try, status wqobservation.Status) {
	if !t.open {
		return
	}
	t.open = false
	q.ReplicaPolicy.RecordResult(now, &t.candidate, status, now.Sub(t.sentAt))
	b := &q.batches[t.batch]
	b.left--
	if b.left == 0 {
		q.drop(t.batch)
	}
}

// sheet returns the sheet of a snapshot. That of snapshot 0 has the shards of
// the newest layout and is never sealed while another one has answers.
func (q *Query[R, H]) sheet(v *wqview.View, snapshot uint64) *wqanswer.Builder {
	if s := q.sheets[snapshot]; s != nil {
		return s
	}
	layout := snapshot
	if snapshot == 0 {
		layout = ^uint64(0)
	}
	s := wqanswer.NewBuilder(snapshot, v.Index.Shards(q.Service, layout), q.MaxRows)
	q.sheets[snapshot] = s
	return s
}

// settleShard ends the work on a shard; the tries that still run are losers.
func (q *Query[R, H]) settleShard(now time.Time, place int, reason wqanswer.Reason) {
	s := &q.pass.shards[place]
	if s.settled {
		return
	}
	s.settled = true
	s.reason = reason
	s.wakeAt = time.Time{}
	q.pass.open--
	for i := range s.tries {
		t := &s.tries[i]
		if t.open && reason == "" {
			q.HedgePolicy.ObserveAbandoned(now, now.Sub(t.sentAt))
		}
		q.release(now, t, wqobservation.Expired)
	}
}
