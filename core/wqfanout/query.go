// Package wqfanout is the state machine of one query: it decides what to send
// to which holder, what counts, when to hedge, to retry and to move to another
// snapshot, and when the answer is complete.
//
// # Usage
//
// One goroutine drives a Query. It carries out each Step, feeds back what
// arrives, and calls Wake at the time that Next names:
//
//	q := &wqfanout.Query[wqreplica.TwoChoices, *wqhedge.Quantile]{RequestID: "q-17", ...}
//	step := q.Start(now, view)
//	step = q.Take(now, view, part)
//	step = q.End(now, view, batch, wqobservation.Broken)
//	step = q.Wake(now, view)
//	answer, err := q.Seal(view)
//
// Every call takes the newest view, so that a zone taken out or a leaving
// searcher gets no retry and no hedge of a query that started earlier.
package wqfanout

import (
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqview"
)

// maxMoves is how often one query moves to another snapshot.
const maxMoves = 3

// Query is one query's state. Set the exported fields before Start.
type Query[R ReplicaPolicy, H HedgePolicy] struct {
	RequestID     string
	Service       string
	Deadline      time.Time
	MinCoverage   float64 // MinCoverage is the least coverage demanded, 0 to 1.
	MaxRows       int     // MaxRows is the most rows in the answer.
	SnapshotHint  uint64  // SnapshotHint is the newest snapshot that earlier answers found whole; 0 is none.
	ReplicaPolicy R
	HedgePolicy   H
	RetryBudget   *wqbudget.Budget // RetryBudget bounds repeats of sub-queries that targets were sent.
	Random        func() uint64

	pass    *pass
	sheets  map[uint64]*wqanswer.Builder
	held    map[string]span // held is what this query saw searchers hold, by searcher id.
	batches []batch
	groups  []group
	scratch []wqreplica.Candidate
	cancels []int
	due     []int // due holds the places of shards whose hedge is due.
	parts   int
	moves   int
	lost    bool // lost is true when a shard can't serve the snapshot any more.
	began   time.Time
	half    time.Duration
	sent    int // sent counts sub-queries but for those proven not to have reached a target.
	hedges  int
	done    bool
	spread  uint64 // spread differs the draws of groups from query to query.
}

type span struct{ oldest, newest uint64 }

type batch struct {
	pass   *pass
	places []int
	left   int // left counts sub-queries whose result is still wanted.
	ended  bool
}

// group collects the sub-queries of one batch until the event is over.
type group struct {
	id     int
	member string
	subs   []SubQuery
}

// Start sends the first sub-queries.
func (q *Query[R, H]) Start(now time.Time, v *wqview.View) Actions {
	q.sheets = make(map[uint64]*wqanswer.Builder, 1)
	q.began = now
	q.spread = q.Random()
	first := q.firstSnapshot(v)
	q.held = make(map[string]span, len(q.sheet(v, first).Shards()))
	q.begin(now, v, first)
	return q.settle(now, v)
}

// HandleReply counts the results of one message from a holder. Messages of another
// request, of a call that ended or of an abandoned snapshot count for nothing.
func (q *Query[R, H]) HandleReply(now time.Time, v *wqview.View, p *ReplyPart) Actions {
	if !q.live(p.Batch) {
		return q.settle(now, v)
	}
	if p.RequestID != q.RequestID {
		return q.HandleCallEnd(now, v, p.Batch, wqobservation.Broken)
	}
	q.parts++
	for i := range p.Results {
		q.result(now, v, p.Batch, &p.Results[i])
	}
	q.rows(p.Rows)
	return q.settle(now, v)
}

// HandleCallEnd notes that the call of a batch is over; status tells why for the
// sub-queries that had no result: Unreachable when the holder was sent nothing,
// Broken otherwise.
func (q *Query[R, H]) HandleCallEnd(now time.Time, v *wqview.View, id int, status wqobservation.Status) Actions {
	if !q.live(id) {
		return q.settle(now, v)
	}
	b := &q.batches[id]
	for _, place := range b.places {
		r := Result{Status: status, Sent: status != wqobservation.Unreachable}
		s := &q.pass.shards[place]
		if t := s.try(id); t != nil {
			q.close(now, v, place, t, &r)
		}
	}
	q.drop(id)
	return q.settle(now, v)
}

// NextWake returns when to call Wake.
func (q *Query[R, H]) NextWake() time.Time {
	next := q.Deadline
	if q.pass != nil && !q.pass.wakeAt.IsZero() && q.pass.wakeAt.Before(next) {
		next = q.pass.wakeAt
	}
	return next
}

// Wake sends the hedges and retries that are due, or ends the query at its
// deadline.
func (q *Query[R, H]) Wake(now time.Time, v *wqview.View) Actions {
	if !now.Before(q.Deadline) {
		q.done = true
		return q.settle(now, v)
	}
	p := q.pass
	p.wakeAt = time.Time{}
	q.due = q.due[:0]
	for place := range p.shards {
		q.wakeShard(now, v, place)
	}
	q.hedgeAll(now, v)
	return q.settle(now, v)
}

// wakeShard sends the retry of a shard that is due and lists a hedge that is.
func (q *Query[R, H]) wakeShard(now time.Time, v *wqview.View, place int) {
	s := &q.pass.shards[place]
	switch {
	case s.settled || s.wakeAt.IsZero():
	case s.wakeAt.After(now):
		q.pass.wake(s.wakeAt)
	case s.waiting():
		s.wakeAt = time.Time{}
		q.due = append(q.due, place)
	default:
		s.wakeAt = time.Time{}
		q.dispatch(now, v, place)
	}
}

// TimeToHalf returns how long after Start half of the shards had answered; 0 means
// that they never did.
func (q *Query[R, H]) TimeToHalf() time.Duration { return q.half }

// live reports whether results of this batch still count.
func (q *Query[R, H]) live(id int) bool {
	if q.done || id < 0 || id >= len(q.batches) {
		return false
	}
	b := &q.batches[id]
	return !b.ended && b.pass == q.pass
}

// drop ends a batch and asks the driver to cancel its call.
func (q *Query[R, H]) drop(id int) {
	b := &q.batches[id]
	if b.ended {
		return
	}
	b.ended = true
	q.cancels = append(q.cancels, id)
}

// settle moves the query on after an event and returns what is to be done.
func (q *Query[R, H]) settle(now time.Time, v *wqview.View) Actions {
	if !q.done {
		q.advance(now, v)
	}
	if q.done {
		q.finish(now)
	}
	step := Actions{Batches: q.flush(), CancelIDs: q.cancels, Done: q.done}
	q.cancels = nil
	return step
}

// finish cancels all calls that still run.
func (q *Query[R, H]) finish(now time.Time) {
	q.groups = q.groups[:0]
	q.abandon(now, wqobservation.Expired)
}

// flush turns the grouped sub-queries into batches.
func (q *Query[R, H]) flush() []Batch {
	if len(q.groups) == 0 {
		return nil
	}
	sends := make([]Batch, 0, len(q.groups))
	for i := range q.groups {
		g := &q.groups[i]
		sends = append(sends, Batch{ID: g.id, MemberID: g.member, Snapshot: q.pass.snapshot, SubQueries: g.subs})
	}
	q.groups = nil
	return sends
}
