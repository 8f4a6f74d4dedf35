package wqfanout

import (
	"slices"
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqsnapshot"
	"wisteriaquay/core/wqview"
)

// firstSnapshot returns the snapshot to ask for first; 0 when none is known.
func (q *Query[R, H]) firstSnapshot(v *wqview.View) uint64 {
	known := max(v.Snapshots[q.Service], q.SnapshotHint)
	if len(v.Index.Shards(q.Service, known)) == 0 {
		return 0
	}
	return known
}

// advance moves to another snapshot or ends the query, when it is time.
func (q *Query[R, H]) advance(now time.Time, v *wqview.View) {
	for q.lost || (q.pass.open == 0 && q.pass.snapshot == 0) {
		if !q.move(now, v) {
			break
		}
	}
	if q.lost {
		q.giveUp(now, v)
	}
	q.done = q.pass.open == 0
}

// move starts a pass at a better snapshot and reports whether there is one.
func (q *Query[R, H]) move(now time.Time, v *wqview.View) bool {
	if q.moves >= maxMoves {
		return false
	}
	choice := q.choose(v, q.versions(v))
	if choice.Snapshot == 0 || choice.Snapshot == q.pass.snapshot {
		return false
	}
	if q.pass.snapshot != 0 && choice.UnservedShards >= q.choose(v, []uint64{q.pass.snapshot}).UnservedShards {
		return false
	}
	q.moves++
	q.begin(now, v, choice.Snapshot)
	return true
}

func (q *Query[R, H]) choose(v *wqview.View, versions []uint64) wqsnapshot.Choice {
	layout := func(x uint64) []string { return v.Index.Shards(q.Service, x) }
	serves := func(shard string, x uint64) bool { return q.serves(v, shard, x) }
	return wqsnapshot.Choose(versions, layout, serves)
}

// giveUp settles the shards that can't serve the snapshot of the pass.
func (q *Query[R, H]) giveUp(now time.Time, v *wqview.View) {
	q.lost = false
	for place := range q.pass.shards {
		s := &q.pass.shards[place]
		if s.settled || s.waiting() || !s.wakeAt.IsZero() {
			continue
		}
		if !q.serves(v, q.pass.sheet.Shards()[place], q.pass.snapshot) {
			q.settleShard(now, place, s.reason)
		}
	}
}

// versions lists the newest snapshots that searchers of the service are known
// to hold.
func (q *Query[R, H]) versions(v *wqview.View) []uint64 {
	versions := make([]uint64, 0, len(q.held)+1)
	for _, h := range q.held {
		versions = append(versions, h.newest)
	}
	for s := range q.sheets {
		versions = append(versions, s)
	}
	return append(versions, v.Snapshots[q.Service])
}

// learn keeps what a result says of the snapshots that its searcher holds. One
// that refuses a snapshot without naming any is not asked again.
func (q *Query[R, H]) learn(r *Result) {
	switch {
	case r.NewestSnapshot != 0:
		q.held[r.SearcherID] = span{oldest: r.OldestSnapshot, newest: r.NewestSnapshot}
	case r.Status == wqobservation.SnapshotGone:
		q.held[r.SearcherID] = span{oldest: 1}
	}
}

// holds reports whether a searcher may hold a snapshot. What this query saw
// goes before the view, and a view's newest may be behind.
func (q *Query[R, H]) holds(v *wqview.View, searcher string, x uint64) bool {
	if h, seen := q.held[searcher]; seen {
		return h.oldest <= x && x <= h.newest
	}
	return v.Targets[searcher].OldestSnapshot <= x
}

// serves reports whether some replica of a shard is known to hold a snapshot.
// Replicas of which nothing is known count only when nothing is known of any.
func (q *Query[R, H]) serves(v *wqview.View, shard string, x uint64) bool {
	known, unknown := false, false
	for _, r := range v.Index.Replicas(q.Service, shard) {
		t := v.Targets[r.ID]
		if v.Index.ZoneOut(r.Zone) || t.Down || t.Draining {
			continue
		}
		h, seen := q.held[r.ID]
		if !seen {
			h = span{oldest: t.OldestSnapshot, newest: t.NewestSnapshot}
		}
		if h == (span{}) {
			unknown = true
			continue
		}
		if h.oldest <= x && x <= h.newest {
			return true
		}
		known = true
	}
	return unknown && !known
}

// Answer returns the answer of the snapshot with the best coverage, the newest of
// equals. The error is an Incomplete fault below the coverage demanded.
func (q *Query[R, H]) Answer(v *wqview.View) (wqanswer.Answer, error) {
	best := q.best()
	if best == q.pass.sheet {
		for place, shard := range best.Shards() {
			best.SetMissingReason(shard, q.pass.shards[place].reason)
		}
	}
	answer, err := best.Build(q.MinCoverage)
	answer.RequestID = q.RequestID
	answer.SubQueriesSent = q.sent
	answer.HedgesSent = q.hedges
	answer.Revision = v.Index.Topology.Revision
	return answer, err
}

func (q *Query[R, H]) best() *wqanswer.Builder {
	best, share := q.pass.sheet, 0.0
	for _, s := range q.sheets {
		answered, total := s.Progress()
		if answered == 0 {
			continue
		}
		covered := float64(answered) / float64(total)
		if covered > share || (covered == share && s.Snapshot > best.Snapshot) {
			best, share = s, covered
		}
	}
	return best
}

// CompleteSnapshot returns the newest snapshot that is known to be whole after this
// query, as a Hint for later ones; 0 when its own answer is not whole.
func (q *Query[R, H]) CompleteSnapshot(v *wqview.View) uint64 {
	own := q.pass.snapshot
	if own == 0 || !q.pass.sheet.Complete() {
		return 0
	}
	newest := ^uint64(0)
	for _, h := range q.held {
		newest = min(newest, h.newest)
	}
	if newest == ^uint64(0) || newest <= own {
		return own
	}
	if !slices.Equal(v.Index.Shards(q.Service, newest), q.pass.sheet.Shards()) {
		return own
	}
	return newest
}
