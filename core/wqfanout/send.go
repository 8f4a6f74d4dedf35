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
	maxHedges  = 2                // maxHedges is how many hedges one shard gets.
	askAgain   = 4                // askAgain is the part of the delay after which a hedge that the budget refused is asked for again.
	nextHedge  = 75               // nextHedge is the part of the delay between two hedges of a shard, in percent.
	leastPause = time.Millisecond // leastPause is the shortest time between two attempts to hedge a shard.
)

// dispatch sends a shard's sub-query to a candidate that was not tried yet.
func (q *Query[R, H]) dispatch(now time.Time, v *wqview.View, place int) {
	candidates, why := q.candidates(v, place, false)
	i := q.ReplicaPolicy.Pick(now, candidates, q.draw(v, place))
	if i < 0 {
		q.exhausted(now, v, place, why)
		return
	}
	q.send(now, place, candidates[i], false)
	if wait, ok := q.HedgePolicy.HedgeDelay(); ok {
		q.wakeLater(place, now.Add(wait))
	}
}

// hedgeAll sends the hedges that are due, if the budget allows all of them.
func (q *Query[R, H]) hedgeAll(now time.Time, v *wqview.View) {
	picks := make([]wqreplica.Candidate, 0, len(q.due))
	able := q.due[:0]
	for _, place := range q.due {
		if c, ok := q.pickHedge(now, v, place); ok {
			able = append(able, place)
			picks = append(picks, c)
		}
	}
	wait, hedged := q.HedgePolicy.HedgeDelay()
	if len(able) == 0 || !hedged {
		return
	}
	if !q.HedgePolicy.TrySpend(now, len(able)) {
		for _, place := range able {
			q.wakeLater(place, now.Add(max(wait/askAgain, leastPause)))
		}
		return
	}
	for i, place := range able {
		q.pass.shards[place].hedges++
		q.hedges++
		q.send(now, place, picks[i], true)
		q.wakeLater(place, now.Add(max(wait*nextHedge/100, leastPause)))
	}
}

// pickHedge returns the candidate for a shard's next hedge, if there is a warm
// one and the shard may have more.
func (q *Query[R, H]) pickHedge(now time.Time, v *wqview.View, place int) (wqreplica.Candidate, bool) {
	if q.pass.shards[place].hedges >= maxHedges {
		return wqreplica.Candidate{}, false
	}
	candidates, _ := q.candidates(v, place, true)
	i := q.ReplicaPolicy.Pick(now, candidates, q.Random())
	if i < 0 {
		return wqreplica.Candidate{}, false
	}
	return candidates[i], true
}

func (q *Query[R, H]) wakeLater(place int, at time.Time) {
	q.pass.shards[place].wakeAt = at
	q.pass.wake(at)
}

// send adds a sub-query to the batch of its holder.
func (q *Query[R, H]) send(now time.Time, place int, c wqreplica.Candidate, hedge bool) {
	g := q.group(c.MemberID)
	g.subs = append(g.subs, SubQuery{Shard: q.pass.sheet.Shards()[place], SearcherID: c.SearcherID, Hedge: hedge})
	b := &q.batches[g.id]
	b.places = append(b.places, place)
	b.left++
	s := &q.pass.shards[place]
	s.tries = append(s.tries, try{batch: g.id, candidate: c, sentAt: now, open: true})
	q.ReplicaPolicy.RecordSent(&c)
	q.sent++
}

// group returns the batch that is being filled for a holder.
func (q *Query[R, H]) group(member string) *group {
	for i := range q.groups {
		if q.groups[i].member == member {
			return &q.groups[i]
		}
	}
	q.groups = append(q.groups, group{id: len(q.batches), member: member})
	q.batches = append(q.batches, batch{pass: q.pass})
	return &q.groups[len(q.groups)-1]
}

// candidates lists the ways to reach a shard that are allowed now and were not
// tried in this round. A hedge goes to warm searchers, the first one to one that
// no open try asks. When the list is empty, the reason tells why.
func (q *Query[R, H]) candidates(v *wqview.View, place int, hedge bool) ([]wqreplica.Candidate, wqanswer.Reason) {
	q.scratch = q.scratch[:0]
	s := &q.pass.shards[place]
	replicas := v.Index.Replicas(q.Service, q.pass.sheet.Shards()[place])
	why := wqanswer.Withdrawn
	for _, r := range replicas {
		target := v.Targets[r.ID]
		barred := q.barred(v, r, target)
		if barred != "" {
			why = barred
			continue
		}
		if hedge && (target.Cold || (s.hedges == 0 && s.asks(r.ID))) {
			continue
		}
		why = wqanswer.NotHeld
		q.reach(v, s, r, target)
	}
	return q.scratch, why
}

// barred returns why a searcher gets no new work, or "".
func (q *Query[R, H]) barred(v *wqview.View, r *wqtopology.Searcher, t wqview.TargetState) wqanswer.Reason {
	switch {
	case v.Index.ZoneOut(r.Zone):
		return wqanswer.ZoneOut
	case t.Down, t.Draining:
		return wqanswer.Unreachable
	case q.pass.snapshot != 0 && !q.holds(v, r.ID, q.pass.snapshot):
		return wqanswer.SnapshotGone
	}
	return ""
}

// reach adds the untried holders of a searcher to the scratch list, but for
// those without a slot.
func (q *Query[R, H]) reach(v *wqview.View, s *shard, r *wqtopology.Searcher, t wqview.TargetState) {
	for _, h := range v.Holders[r.ID] {
		if _, member := v.Members[h.MemberID]; !member || s.tried(r.ID, h.MemberID) {
			continue
		}
		slots := h.Slots
		if t.Cold {
			slots = h.ColdSlots
		}
		if slots == 0 {
			continue
		}
		q.scratch = append(q.scratch, wqreplica.Candidate{
			SearcherID: r.ID,
			MemberID:   h.MemberID,
			Slots:      slots,
			SameZone:   r.Zone == v.Self.Zone,
			Cold:       t.Cold,
			Latency:    t.Latency,
		})
	}
}

// asks reports whether an open try asks this searcher.
func (s *shard) asks(searcher string) bool {
	for i := range s.tries {
		if s.tries[i].open && s.tries[i].candidate.SearcherID == searcher {
			return true
		}
	}
	return false
}

func (s *shard) tried(searcher, member string) bool {
	for i := range s.tries {
		c := &s.tries[i].candidate
		if c.SearcherID == searcher && c.MemberID == member {
			return true
		}
	}
	return false
}

// draw returns the random number of a first send. The searchers of one group
// share it, so that their sub-queries tend to travel in one call.
func (q *Query[R, H]) draw(v *wqview.View, place int) uint64 {
	replicas := v.Index.Replicas(q.Service, q.pass.sheet.Shards()[place])
	if len(replicas) == 0 || replicas[0].Group == "" {
		return q.Random()
	}
	return xxhash.Sum64String(replicas[0].Group) ^ q.spread
}
