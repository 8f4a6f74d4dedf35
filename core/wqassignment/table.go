package wqassignment

import (
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// Table computes the holders and shares of every searcher from this VM's view.
// It is not safe for concurrent use.
type Table struct {
	Limits        Limits
	HandoverDelay time.Duration // HandoverDelay is how long a share stays unused when it passes from one VM to another; the same as in wqmember.

	initialized    bool
	selfReadyAt    time.Time // when this VM may start to use its shares
	shareUsers     map[string]*shareUser
	candidates     *candidateIndex
	index          *wqtopology.Index
	pendingChanges map[string]pendingChange // searchers with recently changed limits, by ID
	holders        map[string][]wqview.Holder
	nextUpdateAt   time.Time // when holders change without new input; zero for never
	wasIsolated    bool
	hasBeenReady   bool            // whether this VM may ever have used its shares
	allStale       bool            // recompute all holders
	staleZones     map[string]bool // zones whose holders must be recomputed
}

// Input is what the holders are computed from.
type Input struct {
	Self       wqmember.Member
	Members    []wqmember.Member // Members are all remembered VMs, including dead ones and ones that left.
	Index      *wqtopology.Index
	Isolated   bool // Isolated is true while this VM may be isolated from its peers.
	IsNewFleet bool // IsNewFleet is true when no VM existed before this fleet; see wqmember.
}

// pendingChange caps this VM's share at its former size until the handover
// delay after a change of the searcher's limits or zone has passed.
type pendingChange struct {
	until    time.Time
	maxShare wqview.Holder
}

// Update returns the holders of each searcher by its ID: first those that may
// use their shares. The returned map and its lists are never modified
// afterwards.
func (t *Table) Update(now time.Time, in Input) map[string][]wqview.Holder {
	t.initialize(now)
	t.nextUpdateAt = time.Time{}
	t.updateSelfReady(now, in)
	t.updateShareUsers(now, in)
	t.updateIndex(now, in)
	t.expirePendingChanges(now)
	t.computeHolders(now, in.Self)
	return t.holders
}

// NextUpdate returns when Update must be called again even without new input;
// zero means never.
func (t *Table) NextUpdate() time.Time { return t.nextUpdateAt }

func (t *Table) initialize(now time.Time) {
	if t.initialized {
		return
	}
	t.initialized, t.allStale = true, true
	t.selfReadyAt = now.Add(t.HandoverDelay)
	t.shareUsers = make(map[string]*shareUser)
	t.pendingChanges = make(map[string]pendingChange)
	t.staleZones = make(map[string]bool)
	t.index = wqtopology.NewIndex(&wqtopology.Topology{})
}

// updateSelfReady delays the use of shares by the handover delay after this VM
// starts or was isolated, since other VMs may still use these shares. In a new
// fleet no VM does, but a VM that was isolated after it had been ready may have
// missed a change.
func (t *Table) updateSelfReady(now time.Time, in Input) {
	reconnected := t.wasIsolated && !in.Isolated
	t.wasIsolated = in.Isolated
	if in.Isolated || reconnected {
		t.selfReadyAt = now.Add(t.HandoverDelay)
	}
	if in.IsNewFleet && !in.Isolated && !t.hasBeenReady && now.Before(t.selfReadyAt) {
		t.selfReadyAt = now
		t.allStale = true
	}
	t.allStale = t.allStale || reconnected
	ready := !in.Isolated && !now.Before(t.selfReadyAt)
	t.hasBeenReady = t.hasBeenReady || ready && in.Index.Topology.Revision > 0
}

// updateIndex applies a new topology and records a pending change for each
// searcher with changed limits, zone or region.
func (t *Table) updateIndex(now time.Time, in Input) {
	if in.Index == t.index {
		return
	}
	previous := t.index
	t.index = in.Index
	t.allStale = true
	if previous.Topology.Revision == 0 {
		return
	}
	for i := range previous.Topology.Searchers {
		s := &previous.Topology.Searchers[i]
		if sameLimits(s, in.Index.Searcher(s.ID)) && regionOf(previous, s) == regionOf(in.Index, s) {
			continue
		}
		t.pendingChanges[s.ID] = pendingChange{until: now.Add(t.HandoverDelay), maxShare: t.ownShare(in.Self.ID, s.ID)}
	}
}

func sameLimits(a, b *wqtopology.Searcher) bool {
	if b == nil {
		return false
	}
	return rendezvousKey(a) == rendezvousKey(b) && a.Zone == b.Zone && a.Slots == b.Slots && a.Connections == b.Connections && a.ColdSlots == b.ColdSlots
}

func regionOf(x *wqtopology.Index, s *wqtopology.Searcher) string {
	if z := x.Zone(s.Zone); z != nil {
		return z.Region
	}
	return ""
}

// ownShare returns this VM's current share of a searcher, the zero Holder when
// it has none.
func (t *Table) ownShare(self, searcherID string) wqview.Holder {
	for _, h := range t.holders[searcherID] {
		if h.MemberID == self {
			return h
		}
	}
	return wqview.Holder{}
}

func (t *Table) expirePendingChanges(now time.Time) {
	for id, p := range t.pendingChanges {
		if now.Before(p.until) {
			t.scheduleUpdate(p.until)
			continue
		}
		delete(t.pendingChanges, id)
		t.allStale = true
	}
}

// scheduleUpdate makes the next update due at the given time at the latest.
func (t *Table) scheduleUpdate(at time.Time) {
	if t.nextUpdateAt.IsZero() || at.Before(t.nextUpdateAt) {
		t.nextUpdateAt = at
	}
}

// computeHolders recomputes the holders of all stale searchers.
func (t *Table) computeHolders(now time.Time, self wqmember.Member) {
	if !t.allStale && len(t.staleZones) == 0 {
		return
	}
	holders := make(map[string][]wqview.Holder, len(t.index.Topology.Searchers))
	for i := range t.index.Topology.Searchers {
		s := &t.index.Topology.Searchers[i]
		if t.allStale || t.staleZones[s.Zone] || len(t.candidates.byZone[s.Zone]) == 0 {
			holders[s.ID] = t.assign(now, self.ID, s)
			continue
		}
		holders[s.ID] = t.holders[s.ID]
	}
	t.holders = holders
	t.allStale = false
	clear(t.staleZones)
}

// assign returns the holders of one searcher: first those that are ready, then
// those that wait for their handover delay, then those that are leaving. The
// shares of dead VMs stay unused.
func (t *Table) assign(now time.Time, self string, s *wqtopology.Searcher) []wqview.Holder {
	candidates := t.candidates.rank(s, regionOf(t.index, s), t.Limits)
	ordered := make([]wqview.Holder, 0, len(candidates))
	for phase := serving; phase <= leaving; phase++ {
		for i, c := range candidates {
			u := t.shareUsers[c.id]
			if u.phase(now) != phase {
				continue
			}
			h := holderAtRank(s, c.id, i, len(candidates))
			h.UsableFrom = u.readyAt
			if c.id == self {
				h = t.limitOwnShare(h, s.ID)
			}
			if h.Slots > 0 && h.Connections > 0 {
				ordered = append(ordered, h)
			}
		}
	}
	return ordered
}

// limitOwnShare caps this VM's share while a change is pending.
func (t *Table) limitOwnShare(h wqview.Holder, searcherID string) wqview.Holder {
	if p, pending := t.pendingChanges[searcherID]; pending {
		h.Slots = min(h.Slots, p.maxShare.Slots)
		h.Connections = min(h.Connections, p.maxShare.Connections)
		h.ColdSlots = min(h.ColdSlots, p.maxShare.ColdSlots)
	}
	return h
}
