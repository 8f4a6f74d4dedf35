package wqmember

// Isolated reports whether this VM may be cut off from the VMs of its region
// that are at work; it starts like that. It says so in its heartbeats, and a VM
// that does is no witness for others.
//
// A VM becomes isolated when fewer than half of the witnesses that it last knew
// alive are alive without suspicion, itself included, or when fewer than a
// quarter of the VMs that it sent messages to lately have answered. It is back
// when more than half of the witnesses are heard for Timing.Settle, or, where no one is at work,
// when all VMs that it knows or that the VM list shows are heard; after
// Timing.Patience most of them are enough. At exactly half, the side with the
// least id goes on.
func (m *Tracker) Isolated() bool { return m.Self.Isolated }

func (m *Tracker) judgeIsolation() {
	isolated := m.unanswered() || m.outvoted()
	if isolated == m.Self.Isolated {
		return
	}
	m.Self.Isolated = isolated
	if isolated {
		m.isolatedAt = m.now
	}
	m.raise(m.Self.Incarnation)
}

func (m *Tracker) outvoted() bool {
	if !m.Self.Isolated {
		return (m.paused && !m.synced) || !m.witnesses().majority()
	}
	if m.rejoins() {
		return false
	}
	return !m.begins()
}

// census counts the VMs of this VM's region.
type census struct {
	heard int    // heard is how many are alive without suspicion.
	total int    // total is how many were last known alive.
	least string // least is the smallest id of the total.
	holds bool   // holds is true when the VM with the smallest id was heard.
}

func (c *census) count(id string, heard bool) {
	c.total++
	if heard {
		c.heard++
	}
	if c.least == "" || id < c.least {
		c.least, c.holds = id, heard
	}
}

func (c *census) majority() bool {
	if 2*c.heard == c.total {
		return c.total > 0 && c.holds
	}
	return 2*c.heard > c.total
}

// witnesses counts the VMs that may be at work. Those that are heard and take
// themselves for cut off don't count; those not heard may have taken up work.
func (m *Tracker) witnesses() *census {
	c := &census{}
	if !m.Self.Isolated {
		c.count(m.Self.ID, true)
	}
	for _, p := range m.peers {
		aside := p.Isolated && p.heard()
		if m.counts(p) && !aside {
			c.count(p.ID, p.heard())
		}
	}
	return c
}

// rejoins reports whether most witnesses have been heard by this isolated VM
// for long enough that they know of it.
func (m *Tracker) rejoins() bool {
	c := m.witnesses()
	m.countUnknown(c)
	if !m.synced || c.heard == 0 || !c.majority() {
		m.rejoinAt = m.now.Add(m.Timing.RejoinDelay)
		return false
	}
	return !m.now.Before(m.rejoinAt)
}

// begins reports whether the VMs that are heard may take up work though no
// witness is known: all VMs are there, or most of them for long enough.
func (m *Tracker) begins() bool {
	shown := m.listedSelf || m.now.Sub(m.resetAt) > m.Timing.MaxListLag
	if !shown {
		return false
	}
	c := &census{}
	c.count(m.Self.ID, true)
	for _, p := range m.peers {
		if m.counts(p) {
			c.count(p.ID, p.heard() && m.confirmed(p))
		}
	}
	m.countUnknown(c)
	if m.now.Sub(m.isolatedAt) > m.Timing.MajorityDelay {
		return c.majority()
	}
	return c.heard == c.total
}

// heard reports whether a VM is alive without suspicion.
func (p *peer) heard() bool { return p.State == Alive || p.State == Leaving }

// confirmed reports whether a VM has shown itself since the start or the last
// pause of this one. After a pause only an answer counts, since messages that
// waited meanwhile may be old.
func (m *Tracker) confirmed(p *peer) bool {
	return !m.paused || !p.ackedAt.Before(m.resetAt)
}

// countUnknown counts the listed VMs that never answered as not heard.
func (m *Tracker) countUnknown(c *census) {
	for _, l := range m.unknown() {
		if l.Region == m.Self.Region {
			c.count(l.ID, false)
		}
	}
}

// counts reports whether a VM of this region belongs to those last known
// alive. The dead ones drop out after the handover time, but not while this VM
// is isolated; then they drop out when the VM list has dropped them too.
func (m *Tracker) counts(p *peer) bool {
	if p.Region != m.Self.Region || p.State == Left || m.delisted(p) {
		return false
	}
	if p.State != Dead {
		return true
	}
	at := m.now
	if m.Self.Isolated {
		at = m.isolatedAt
	}
	return at.Sub(p.changedAt) < m.Timing.HandoverDelay
}

// delisted reports whether a VM has not been heard for longer than the VM list
// lags, and the list does not show it.
func (m *Tracker) delisted(p *peer) bool {
	if p.heard() || m.now.Sub(p.changedAt) < m.Timing.MaxListLag || m.seededAt.Before(p.changedAt.Add(m.Timing.MaxListLag)) {
		return false
	}
	for _, l := range m.listed {
		if l.ID == p.ID || l.Address == p.Address {
			return false
		}
	}
	return true
}

// unanswered reports whether hardly any recent message to the region got an answer.
func (m *Tracker) unanswered() bool {
	since := m.now.Add(-m.Timing.ContactWindow)
	tried, answered := 0, 0
	for _, p := range m.peers {
		if p.Region != m.Self.Region || !p.State.Live() {
			continue
		}
		switch {
		case p.heardAt.After(since):
			tried++
			answered++
		case p.failedAt.After(since):
			tried++
		}
	}
	return tried > 0 && 4*answered < tried
}
