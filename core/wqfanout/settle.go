package wqfanout

import (
	"slices"
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqsnapshot"
	"wisteriaquay/core/wqview"
)

// firstSnapshot returns the snapshot of the first pass; 0 when none is known.
func (q *Query[R, H]) firstSnapshot(v *wqview.View) uint64 {
	snapshot := max(v.Snapshots[q.Service], q.SnapshotHint)
	if len(v.Index.Shards(q.Service, snapshot)) == 0 {
		return 0
	}
	return snapshot
}

// changeSnapshotOrFinish switches to another snapshot when the current one is
// unavailable or 0, and sets done when no shard is open.
func (q *Query[R, H]) changeSnapshotOrFinish(now time.Time, v *wqview.View) {
	for q.snapshotUnavailable || (q.pass.openShards == 0 && q.pass.snapshot == 0) {
		if !q.changeSnapshot(now, v) {
			break
		}
	}
	if q.snapshotUnavailable {
		q.settleUnservable(now, v)
	}
	q.done = q.pass.openShards == 0
}

// changeSnapshot starts a pass at the best known snapshot and reports whether it
// did. A pass with a snapshot is replaced only for one with fewer unserved shards.
func (q *Query[R, H]) changeSnapshot(now time.Time, v *wqview.View) bool {
	if q.snapshotChanges >= maxSnapshotChanges {
		return false
	}
	choice := q.chooseSnapshot(v, q.knownSnapshots(v))
	if choice.Snapshot == 0 || choice.Snapshot == q.pass.snapshot {
		return false
	}
	if q.pass.snapshot != 0 && choice.UnservedShards >= q.chooseSnapshot(v, []uint64{q.pass.snapshot}).UnservedShards {
		return false
	}
	q.snapshotChanges++
	q.startPass(now, v, choice.Snapshot)
	return true
}

func (q *Query[R, H]) chooseSnapshot(v *wqview.View, snapshots []uint64) wqsnapshot.Choice {
	layout := func(snapshot uint64) []string { return v.Index.Shards(q.Service, snapshot) }
	serves := func(shard string, snapshot uint64) bool { return q.canServe(v, shard, snapshot) }
	return wqsnapshot.Choose(snapshots, layout, serves)
}

// settleUnservable settles the shards without a replica that holds the snapshot of
// the pass.
func (q *Query[R, H]) settleUnservable(now time.Time, v *wqview.View) {
	q.snapshotUnavailable = false
	for idx := range q.pass.shards {
		s := &q.pass.shards[idx]
		if s.settled || s.hasOpenAttempt() || !s.dueAt.IsZero() {
			continue
		}
		if !q.canServe(v, q.pass.builder.Shards()[idx], q.pass.snapshot) {
			q.settleShard(now, idx, s.missingReason)
		}
	}
}

// knownSnapshots returns the newest snapshots that results reported, those of all
// passes and the one in the view. The list may contain duplicates.
func (q *Query[R, H]) knownSnapshots(v *wqview.View) []uint64 {
	snapshots := make([]uint64, 0, len(q.observedRanges)+1)
	for _, heldRange := range q.observedRanges {
		snapshots = append(snapshots, heldRange.newest)
	}
	for s := range q.builders {
		snapshots = append(snapshots, s)
	}
	return append(snapshots, v.Snapshots[q.Service])
}

// recordSnapshotRange records the snapshots that a searcher reports to hold. A
// searcher that refuses a snapshot without reporting any gets an empty range, so
// that it is not used again.
func (q *Query[R, H]) recordSnapshotRange(r *Result) {
	switch {
	case r.NewestSnapshot != 0:
		q.observedRanges[r.SearcherID] = snapshotRange{oldest: r.OldestSnapshot, newest: r.NewestSnapshot}
	case r.Status == wqobservation.SnapshotGone:
		q.observedRanges[r.SearcherID] = snapshotRange{oldest: 1}
	}
}

// mayHold reports whether a searcher may hold a snapshot. A range that this query
// observed takes precedence over the view. The view's newest snapshot is not an
// upper bound, because it may be stale.
func (q *Query[R, H]) mayHold(v *wqview.View, searcher string, snapshot uint64) bool {
	if heldRange, observed := q.observedRanges[searcher]; observed {
		return heldRange.oldest <= snapshot && snapshot <= heldRange.newest
	}
	return v.Targets[searcher].OldestSnapshot <= snapshot
}

// canServe reports whether an available replica of a shard holds a snapshot.
// Replicas with an unknown range count only when the ranges of all are unknown.
func (q *Query[R, H]) canServe(v *wqview.View, shard string, snapshot uint64) bool {
	someKnown, someUnknown := false, false
	for _, r := range v.Index.Replicas(q.Service, shard) {
		t := v.Targets[r.ID]
		if v.Index.ZoneOut(r.Zone) || t.Down || t.Draining {
			continue
		}
		heldRange, observed := q.observedRanges[r.ID]
		if !observed {
			heldRange = snapshotRange{oldest: t.OldestSnapshot, newest: t.NewestSnapshot}
		}
		if heldRange == (snapshotRange{}) {
			someUnknown = true
			continue
		}
		if heldRange.oldest <= snapshot && snapshot <= heldRange.newest {
			return true
		}
		someKnown = true
	}
	return someUnknown && !someKnown
}

// Answer returns the answer of the snapshot with the highest coverage, the newest
// of equals. The error is an Incomplete fault when the coverage is below
// MinCoverage.
func (q *Query[R, H]) Answer(v *wqview.View) (wqanswer.Answer, error) {
	best := q.bestBuilder()
	if best == q.pass.builder {
		for idx, shard := range best.Shards() {
			best.SetMissingReason(shard, q.pass.shards[idx].missingReason)
		}
	}
	answer, err := best.Build(q.MinCoverage)
	answer.RequestID = q.RequestID
	answer.SubQueriesSent = q.subQueriesSent
	answer.HedgesSent = q.hedgesSent
	answer.Revision = v.Index.Topology.Revision
	return answer, err
}

func (q *Query[R, H]) bestBuilder() *wqanswer.Builder {
	best, bestCoverage := q.pass.builder, 0.0
	for _, s := range q.builders {
		answered, total := s.Progress()
		if answered == 0 {
			continue
		}
		coverage := float64(answered) / float64(total)
		if coverage > bestCoverage || (coverage == bestCoverage && s.Snapshot > best.Snapshot) {
			best, bestCoverage = s, coverage
		}
	}
	return best
}

// CompleteSnapshot returns the SnapshotHint for later queries: the lowest of the
// newest snapshots that searchers reported, or the snapshot of this query if that
// is newer or the layouts differ. It returns 0 when the last pass is not complete.
func (q *Query[R, H]) CompleteSnapshot(v *wqview.View) uint64 {
	current := q.pass.snapshot
	if current == 0 || !q.pass.builder.Complete() {
		return 0
	}
	newest := ^uint64(0)
	for _, heldRange := range q.observedRanges {
		newest = min(newest, heldRange.newest)
	}
	if newest == ^uint64(0) || newest <= current {
		return current
	}
	if !slices.Equal(v.Index.Shards(q.Service, newest), q.pass.builder.Shards()) {
		return current
	}
	return newest
}
