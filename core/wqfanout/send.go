package wqfanout

import (
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// maxHedges is how many hedges one shard gets.
const maxHedges = 2

// dispatch sends a shard's sub-query to a candidate that was not tried yet.
func (q *Query[R, H]) dispatch(now time.Time, v *wqview.View, place int) {
	candidates, why := q.candidates(v, place, false)
	i := q.Replica.Pick(now, candidates, q.Random())
	if i < 0 {
		q.exhausted(now, v, place, why)
		return
	}
	q.send(now, place, candidates[i], false)
	if wait, ok := q.Hedge.Delay(); ok {
		q.wakeLater(place, now.Add(wait))
	}
}

// hedge sends a second sub-query for a shard, if there is a warm candidate and
// the budget allows it, and sets the time of the next one.
func (q *Query[R, H]) hedge(now time.Time, v *wqview.View, place int) {
	s := &q.pass.shards[place]
	if s.hedges >= maxHedges {
		return
	}
	candidates, _ := q.candidates(v, place, true)
	i := q.Replica.Pick(now, candidates, q.Random())
	if i < 0 {
		return
	}
	if q.Hedge.Allow(now) {
		s.hedges++
		q.hedges++
		q.send(now, place, candidates[i], true)
	}
	if wait, ok := q.Hedge.Delay(); ok {
		q.wakeLater(place, now.Add(wait))
	}
}

func (q *Query[R, H]) wakeLater(place int, at time.Time) {
	q.pass.shards[place].wakeAt = at
	q.pass.wake(at)
}

// send adds a sub-query to the batch of its holder.
func (q *Query[R, H]) send(now time.Time, place int, c wqreplica.Candidate, hedge bool) {
	g := q.group(c.MemberID)
	g.subs = append(g.subs, Sub{Shard: q.pass.sheet.Shards()[place], SearcherID: c.SearcherID, Hedge: hedge})
	b := &q.batches[g.id]
	b.places = append(b.places, place)
	b.left++
	s := &q.pass.shards[place]
	s.tries = append(s.tries, try{batch: g.id, candidate: c, sentAt: now, open: true})
	q.Replica.Sent(&c)
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
// tried in this round. A hedge goes to warm searchers that no open try asks.
// When the list is empty, the reason tells why.
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
		if hedge && (target.Cold || s.asks(r.ID)) {
			continue
		}
		why = wqanswer.NotHeld
		q.reach(v, s, r, target)
	}
	return q.scratch, why
}

// barred returns why a searcher gets no new work, or "".
func (q *Query[R, H]) barred(v *wqview.View, r *wqtopology.Searcher, t wqview.Target) wqanswer.Reason {
	switch {
	case v.Index.ZoneOut(r.Zone):
		return wqanswer.ZoneOut
	case t.Down, t.Leaving:
		return wqanswer.Unreachable
	case q.pass.snapshot != 0 && !q.holds(v, r.ID, q.pass.snapshot):
		return wqanswer.SnapshotGone
	}
	return ""
}

// reach adds the untried holders of a searcher to the scratch list, but for
// those without a slot.
func (q *Query[R, H]) reach(v *wqview.View, s *shard, r *wqtopology.Searcher, t wqview.Target) {
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
			Near:       r.Zone == v.Self.Zone,
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
