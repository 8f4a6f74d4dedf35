package wqmember

// Isolated reports whether this VM may be cut off from its region: fewer than
// half of the VMs there that it last knew alive are alive without suspicion
// (at just half, the side with the least id goes on), or fewer than a quarter
// of those that it sent messages to lately have answered. A VM that is alone
// is not isolated. After a pause it is, until a peer has sent its whole list.
func (m *Machine) Isolated() bool { return m.isolated }

func (m *Machine) judgeIsolation() {
	isolated := m.minority() || m.unanswered() || m.behind()
	if isolated == m.isolated {
		return
	}
	m.isolated = isolated
	m.isolatedAt = m.now
	m.version++
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

func (m *Machine) minority() bool {
	var c census
	c.count(m.Self.ID, true)
	for _, p := range m.peers {
		if p.Region != m.Self.Region || !m.counts(p) {
			continue
		}
		c.count(p.ID, p.State != Suspect && p.State != Dead)
	}
	for _, l := range m.unknown() {
		if l.Region == m.Self.Region {
			c.count(l.ID, false)
		}
	}
	if 2*c.heard == c.total {
		return !c.holds
	}
	return 2*c.heard < c.total
}

// counts reports whether a VM belongs to those last known alive. The dead ones
// drop out after the handover time, but not while this VM is isolated.
func (m *Machine) counts(p *peer) bool {
	if p.State != Dead {
		return p.State.Live()
	}
	at := m.now
	if m.isolated {
		at = m.isolatedAt
	}
	return at.Sub(p.changedAt) < m.Timing.Handover
}

// unanswered reports whether hardly any recent message to the region got an answer.
func (m *Machine) unanswered() bool {
	since := m.now.Add(-m.Timing.Isolation)
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

// behind reports whether this VM woke from a pause or started, and has not
// had a list since although others live.
func (m *Machine) behind() bool {
	if m.synced {
		return false
	}
	for _, p := range m.peers {
		if p.State.Live() {
			return true
		}
	}
	return false
}
