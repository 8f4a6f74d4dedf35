package wqfanout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

const (
	maxHedgesPerShard = 2                // maxHedgesPerShard applies to one pass.
	hedgeRetryDivisor = 4                // hedgeRetryDivisor: a hedge without budget is retried after the hedge delay divided by this.
	nextHedgePercent  = 75               // nextHedgePercent of the hedge delay is the time between two hedges of a shard.
	minHedgeInterval  = time.Millisecond // minHedgeInterval is the minimum time between two attempts to hedge a shard.
)

// dispatch sends the sub-query of a shard to a candidate that was not tried in
// this round.
func (q *Query[R, H]) dispatch(now time.Time, v *wqview.View, idx int) {
	candidates, reason := q.candidates(v, idx, false)
	i := q.ReplicaPolicy.Pick(now, candidates, q.firstDraw(v, idx))
	if i < 0 {
		q.handleNoCandidate(now, v, idx, reason)
		return
	}
	q.addSubQuery(now, idx, candidates[i], false)
	if delay, ok := q.HedgePolicy.HedgeDelay(); ok {
		q.scheduleShard(idx, now.Add(delay))
	}
}

// sendDueHedges sends the hedges that are due, if the budget allows all of them.
func (q *Query[R, H]) sendDueHedges(now time.Time, v *wqview.View) {
	picks := make([]wqreplica.Candidate, 0, len(q.dueHedges))
	hedgeable := q.dueHedges[:0]
	for _, idx := range q.dueHedges {
		if c, ok := q.pickHedge(now, v, idx); ok {
			hedgeable = append(hedgeable, idx)
			picks = append(picks, c)
		}
	}
	delay, ok := q.HedgePolicy.HedgeDelay()
	if len(hedgeable) == 0 || !ok {
		return
	}
	if !q.HedgePolicy.TrySpend(now, len(hedgeable)) {
		for _, idx := range hedgeable {
			q.scheduleShard(idx, now.Add(max(delay/hedgeRetryDivisor, minHedgeInterval)))
		}
		return
	}
	for i, idx := range hedgeable {
		q.pass.shards[idx].hedgesSent++
		q.hedgesSent++
		q.addSubQuery(now, idx, picks[i], true)
		q.scheduleShard(idx, now.Add(max(delay*nextHedgePercent/100, minHedgeInterval)))
	}
}

// pickHedge returns the candidate for the next hedge of a shard, false when there
// is no warm candidate or the shard has maxHedgesPerShard.
func (q *Query[R, H]) pickHedge(now time.Time, v *wqview.View, idx int) (wqreplica.Candidate, bool) {
	if q.pass.shards[idx].hedgesSent >= maxHedgesPerShard {
		return wqreplica.Candidate{}, false
	}
	candidates, _ := q.candidates(v, idx, true)
	i := q.ReplicaPolicy.Pick(now, candidates, q.Random())
	if i < 0 {
		return wqreplica.Candidate{}, false
	}
	return candidates[i], true
}

func (q *Query[R, H]) scheduleShard(idx int, at time.Time) {
	q.pass.shards[idx].dueAt = at
	q.pass.scheduleWake(at)
}

// addSubQuery adds a sub-query to the pending batch of its holder.
func (q *Query[R, H]) addSubQuery(now time.Time, idx int, c wqreplica.Candidate, hedge bool) {
	pb := q.pendingBatch(c.MemberID)
	pb.subQueries = append(pb.subQueries, SubQuery{Shard: q.pass.builder.Shards()[idx], SearcherID: c.SearcherID, Hedge: hedge})
	b := &q.batches[pb.batchID]
	b.shardIndexes = append(b.shardIndexes, idx)
	b.openCount++
	s := &q.pass.shards[idx]
	s.attempts = append(s.attempts, attempt{batchID: pb.batchID, candidate: c, sentAt: now, open: true})
	q.ReplicaPolicy.RecordSent(&c)
	q.subQueriesSent++
}

// pendingBatch returns the pending batch of a holder and creates it if needed.
func (q *Query[R, H]) pendingBatch(member string) *pendingBatch {
	for i := range q.pendingBatches {
		if q.pendingBatches[i].memberID == member {
			return &q.pendingBatches[i]
		}
	}
	q.pendingBatches = append(q.pendingBatches, pendingBatch{batchID: len(q.batches), memberID: member})
	q.batches = append(q.batches, batch{pass: q.pass})
	return &q.pendingBatches[len(q.pendingBatches)-1]
}

// candidates returns the candidates of a shard that are available and were not
// tried in this round. Hedges go to warm searchers only, the first one to a
// searcher without an open attempt. The reason explains an empty list.
func (q *Query[R, H]) candidates(v *wqview.View, idx int, hedge bool) ([]wqreplica.Candidate, wqanswer.Reason) {
	q.candidateBuffer = q.candidateBuffer[:0]
	s := &q.pass.shards[idx]
	replicas := v.Index.Replicas(q.Service, q.pass.builder.Shards()[idx])
	reason := wqanswer.Withdrawn
	for _, r := range replicas {
		target := v.Targets[r.ID]
		exclusion := q.exclusionReason(v, r, target)
		if exclusion != "" {
			reason = exclusion
			continue
		}
		if hedge && (target.Cold || (s.hedgesSent == 0 && s.hasOpenAttemptTo(r.ID))) {
			continue
		}
		reason = wqanswer.NotHeld
		q.appendHolders(v, s, r, target)
	}
	return q.candidateBuffer, reason
}

// exclusionReason returns why a searcher gets no new sub-queries, "" if it does.
func (q *Query[R, H]) exclusionReason(v *wqview.View, r *wqtopology.Searcher, t wqview.TargetState) wqanswer.Reason {
	switch {
	case v.Index.ZoneOut(r.Zone):
		return wqanswer.ZoneOut
	case t.Down, t.Draining:
		return wqanswer.Unreachable
	case q.pass.snapshot != 0 && !q.mayHold(v, r.ID, q.pass.snapshot):
		return wqanswer.SnapshotGone
	}
	return ""
}

// appendHolders adds a candidate to candidateBuffer for each holder of a searcher
// that was not tried in this round and has a slot.
func (q *Query[R, H]) appendHolders(v *wqview.View, s *shard, r *wqtopology.Searcher, t wqview.TargetState) {
	for _, h := range v.Holders[r.ID] {
		if _, isMember := v.Members[h.MemberID]; !isMember || s.hasAttempt(r.ID, h.MemberID) {
			continue
		}
		slots := h.Slots
		if t.Cold {
			slots = h.ColdSlots
		}
		if slots == 0 {
			continue
		}
		q.candidateBuffer = append(q.candidateBuffer, wqreplica.Candidate{
			SearcherID: r.ID,
			MemberID:   h.MemberID,
			Slots:      slots,
			SameZone:   r.Zone == v.Self.Zone,
			Cold:       t.Cold,
			Latency:    t.Latency,
		})
	}
}

// hasOpenAttemptTo reports whether an attempt to this searcher is open.
func (s *shard) hasOpenAttemptTo(searcher string) bool {
	for i := range s.attempts {
		if s.attempts[i].open && s.attempts[i].candidate.SearcherID == searcher {
			return true
		}
	}
	return false
}

func (s *shard) hasAttempt(searcher, member string) bool {
	for i := range s.attempts {
		c := &s.attempts[i].candidate
		if c.SearcherID == searcher && c.MemberID == member {
			return true
		}
	}
	return false
}

// firstDraw returns the random number that picks the first candidate of a shard.
// It is the same for all searchers of a group, so that their sub-queries mostly
// go to the same holder in one call.
func (q *Query[R, H]) firstDraw(v *wqview.View, idx int) uint64 {
	replicas := v.Index.Replicas(q.Service, q.pass.builder.Shards()[idx])
	if len(replicas) == 0 || replicas[0].Group == "" {
		return q.Random()
	}
	return xxhash.Sum64String(replicas[0].Group) ^ q.groupSeed
}
