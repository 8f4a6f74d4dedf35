package wqmember

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// takeIn merges what a peer says of itself and of others.
func (m *Tracker) takeIn(message Message) {
	m.apply(message.From, true)
	if p := m.peers[message.From.ID]; p != nil {
		p.heardAt = m.now
	}
	for _, c := range message.Changes {
		m.apply(c, false)
	}
	m.compareDigest(message)
}

// apply merges one change; direct is true when the VM speaks of itself.
func (m *Tracker) apply(c Member, direct bool) {
	if c.ID == "" || c.State > Left {
		return
	}
	if c.ID == m.Self.ID {
		m.refute(c)
		return
	}
	p := m.peers[c.ID]
	if p == nil {
		m.add(c, direct)
		return
	}
	if c.newer(p.Member) {
		m.update(p, c, direct)
		return
	}
	if c.Revision > p.Revision && c.Incarnation == p.Incarnation {
		p.Revision = c.Revision
		m.version++
		m.spread(p.ID, rumour{idle: true})
		return
	}
	if !direct && c.State == p.State && c.Incarnation == p.Incarnation && c.Revision == p.Revision {
		m.wane(p.ID)
	}
}

// add starts to track a VM. A dead one is remembered, so that older rumours
// can't bring it back, but not spread again, so that it is forgotten in time.
func (m *Tracker) add(c Member, direct bool) {
	if len(m.peers) >= m.Timing.MaxMembers || (c.State.Live() && c.Address == "") {
		return
	}
	p := &peer{Member: c, bornAt: m.now, changedAt: m.now, hearsay: !c.State.Live()}
	m.peers[c.ID] = p
	m.digest ^= fingerprint(c)
	m.version++
	m.roster++
	if !c.State.Live() {
		return
	}
	m.ringsChanged = true
	m.spread(c.ID, rumour{full: true})
	if direct {
		m.supersede(p)
	}
}

func (m *Tracker) update(p *peer, c Member, direct bool) {
	restarted := c.Epoch != p.Epoch
	before := p.Member
	if c.Address == "" {
		c.Address, c.Zone, c.Region, c.Capacity = p.Address, p.Zone, p.Region, p.Capacity
	}
	if c.State.Live() && c.Address == "" {
		return
	}
	c.Revision = max(c.Revision, revisionWithin(before, c))
	m.digest ^= fingerprint(before)
	p.Member = c
	m.digest ^= fingerprint(c)
	p.hearsay = false
	m.version++
	if standing(c) != standing(before) {
		m.roster++
	}
	if c.State != before.State {
		p.changedAt = m.now
	}
	if c.State.Live() != before.State.Live() {
		p.bornAt = m.now
		m.ringsChanged = true
	}
	if restarted {
		p.introduced = false
	}
	m.spread(c.ID, rumour{full: restarted || !before.State.Live(), urgent: c.State != before.State})
	if direct && restarted {
		m.supersede(p)
	}
}

// standing returns a member without what it reports of itself all the time.
func standing(c Member) Member {
	c.Incarnation, c.Revision, c.Isolated = 0, 0, false
	return c
}

// revisionWithin returns the known revision while the process is the same.
func revisionWithin(before, after Member) uint64 {
	if before.Epoch != after.Epoch {
		return 0
	}
	return before.Revision
}

// supersede marks VMs with an older epoch at the address of p as left: their
// process is gone, since another one answers there.
func (m *Tracker) supersede(p *peer) {
	for _, o := range m.peers {
		if o.ID != p.ID && o.Address == p.Address && o.State != Left && o.Epoch < p.Epoch {
			c := o.Member
			c.State = Left
			m.update(o, c, false)
		}
	}
}

// refute answers a rumour about this VM with a higher incarnation.
func (m *Tracker) refute(c Member) {
	stale := c.Incarnation < m.Self.Incarnation
	agreed := c.Epoch == m.Self.Epoch && c.State <= m.Self.State && c.State != Suspect
	if stale || (agreed && c.Incarnation == m.Self.Incarnation) {
		return
	}
	m.raise(c.Incarnation)
	m.urgent = true
}

// raise takes an incarnation over the given one and spreads it.
func (m *Tracker) raise(over uint64) {
	m.Self.Incarnation = max(over, m.Self.Incarnation) + 1
	m.raisedAt = m.now
	m.version++
}

// fingerprint returns the part of a digest that one VM makes up. Suspicion
// and refutation don't count, so that digests agree soon after a change.
func fingerprint(c Member) uint64 {
	if !c.State.Live() {
		return 0
	}
	state := "+"
	if c.State == Leaving {
		state = "-"
	}
	return xxhash.Sum64String(c.ID + state + strconv.FormatUint(c.Epoch, 36))
}
