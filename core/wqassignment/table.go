package wqassignment

import (
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// Table holds who may use which share of every searcher, as this VM sees it.
// Only one goroutine may use it.
type Table struct {
	Limits        Limits
	HandoverDelay time.Duration // HandoverDelay is how long a share rests between two users; the same as wqmember's.

	started    bool
	readyAt    time.Time // readyAt is when this VM may use its shares.
	users      map[string]*user
	fleet      *fleet
	index      *wqtopology.Index
	waits      map[string]wait // waits are the searchers whose limits changed lately, by id.
	holders    map[string][]wqview.Holder
	wakeAt     time.Time // wakeAt is when the holders change by time alone.
	isolated   bool
	used       bool            // used is true once this VM might use its shares.
	stale      bool            // stale is true when all holders must be computed anew.
	staleZones map[string]bool // staleZones are the zones whose searchers must be computed anew.
}

// Input is what the holders follow from.
type Input struct {
	Self     wqmember.Member
	Members  []wqmember.Member // Members are all VMs that are remembered, dead and left ones included.
	Index    *wqtopology.Index
	Isolated bool // Isolated is true while this VM may be cut off.
	NewFleet bool // NewFleet is true when no VM was here before; see wqmember.
}

// wait keeps this VM's share at the least of before and now after a change of
// the searcher's limits or zone.
type wait struct {
	until time.Time
	most  wqview.Holder
}

// Update returns the holders of each searcher by its id, best first. The map
// and its lists are never changed afterwards.
func (t *Table) Update(now time.Time, in Input) map[string][]wqview.Holder {
	t.begin(now)
	t.wakeAt = time.Time{}
	t.updateReady(now, in)
	t.updateUsers(now, in)
	t.updateIndex(now, in)
	t.expireWaits(now)
	t.compute(now, in.Self)
	return t.holders
}

// NextUpdate returns when Update is due though its input stays the same; zero means never.
func (t *Table) NextUpdate() time.Time { return t.wakeAt }

func (t *Table) begin(now time.Time) {
	if t.started {
		return
	}
	t.started, t.stale = true, true
	t.readyAt = now.Add(t.HandoverDelay)
	t.users = make(map[string]*user)
	t.waits = make(map[string]wait)
	t.staleZones = make(map[string]bool)
	t.index = wqtopology.NewIndex(&wqtopology.Topology{})
}

// updateReady makes a VM that starts or was cut off wait for the handover time,
// since others may still use what it is about to use. In a new fleet nobody
// does, but a VM that was cut off after it was at work may have missed a change.
func (t *Table) updateReady(now time.Time, in Input) {
	ended := t.isolated && !in.Isolated
	t.isolated = in.Isolated
	if in.Isolated || ended {
		t.readyAt = now.Add(t.HandoverDelay)
	}
	if in.NewFleet && !in.Isolated && !t.used && now.Before(t.readyAt) {
		t.readyAt = now
		t.stale = true
	}
	t.stale = t.stale || ended
	ready := !in.Isolated && !now.Before(t.readyAt)
	t.used = t.used || ready && in.Index.Topology.Revision > 0
}

// updateIndex takes over a new topology and makes changed searchers wait.
func (t *Table) updateIndex(now time.Time, in Input) {
	if in.Index == t.index {
		return
	}
	former := t.index
	t.index = in.Index
	t.stale = true
	if former.Topology.Revision == 0 {
		return
	}
	for i := range former.Topology.Searchers {
		s := &former.Topology.Searchers[i]
		if sameShares(s, in.Index.Searcher(s.ID)) && region(former, s) == region(in.Index, s) {
			continue
		}
		t.waits[s.ID] = wait{until: now.Add(t.HandoverDelay), most: t.own(in.Self.ID, s.ID)}
	}
}

func sameShares(a, b *wqtopology.Searcher) bool {
	if b == nil {
		return false
	}
	return key(a) == key(b) && a.Zone == b.Zone && a.Slots == b.Slots && a.Connections == b.Connections && a.ColdSlots == b.ColdSlots
}

func region(x *wqtopology.Index, s *wqtopology.Searcher) string {
	if z := x.Zone(s.Zone); z != nil {
		return z.Region
	}
	return ""
}

// own returns this VM's share of a searcher, empty when it has none.
func (t *Table) own(self, searcherID string) wqview.Holder {
	for _, h := range t.holders[searcherID] {
		if h.MemberID == self {
			return h
		}
	}
	return wqview.Holder{}
}

func (t *Table) expireWaits(now time.Time) {
	for id, w := range t.waits {
		if now.Before(w.until) {
			t.wakeBy(w.until)
			continue
		}
		delete(t.waits, id)
		t.stale = true
	}
}

func (t *Table) wakeBy(at time.Time) {
	if t.wakeAt.IsZero() || at.Before(t.wakeAt) {
		t.wakeAt = at
	}
}

// compute renews the holders of the searchers whose candidates changed.
func (t *Table) compute(now time.Time, self wqmember.Member) {
	if !t.stale && len(t.staleZones) == 0 {
		return
	}
	holders := make(map[string][]wqview.Holder, len(t.index.Topology.Searchers))
	for i := range t.index.Topology.Searchers {
		s := &t.index.Topology.Searchers[i]
		if t.stale || t.staleZones[s.Zone] || len(t.fleet.zones[s.Zone]) == 0 {
			holders[s.ID] = t.assign(now, self.ID, s)
			continue
		}
		holders[s.ID] = t.holders[s.ID]
	}
	t.holders = holders
	t.stale = false
	clear(t.staleZones)
}

// assign returns the holders of one searcher: first those ready to serve, then
// those that wait, then those that leave. Dead ones keep their share unused.
func (t *Table) assign(now time.Time, self string, s *wqtopology.Searcher) []wqview.Holder {
	candidates := t.fleet.holders(s, region(t.index, s), t.Limits)
	ordered := make([]wqview.Holder, 0, len(candidates))
	for class := serving; class <= leaving; class++ {
		for i, c := range candidates {
			u := t.users[c.id]
			if u.class(now) != class {
				continue
			}
			h := share(s, c.id, i, len(candidates))
			h.UsableFrom = u.readyAt
			if c.id == self {
				h = t.bounded(h, s.ID)
			}
			if h.Slots > 0 && h.Connections > 0 {
				ordered = append(ordered, h)
			}
		}
	}
	return ordered
}

// bounded returns this VM's own share as far as it may be used.
func (t *Table) bounded(h wqview.Holder, searcherID string) wqview.Holder {
	if w, waiting := t.waits[searcherID]; waiting {
		h.Slots = min(h.Slots, w.most.Slots)
		h.Connections = min(h.Connections, w.most.Connections)
		h.ColdSlots = min(h.ColdSlots, w.most.ColdSlots)
	}
	return h
}
