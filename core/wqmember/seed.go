package wqmember

import (
	"slices"
	"strings"
	"time"
)

// SetVMList takes over the platform's VM list. It names addresses to try and
// raises what counts as the fleet; it ends no member.
func (m *Tracker) SetVMList(now time.Time, list []ListedVM) {
	m.observe(now)
	m.seededAt = now
	m.listed = m.listed[:0]
	for _, l := range list {
		if l.ID == m.Self.ID || l.Address == m.Self.Address {
			m.listedSelf = true
			continue
		}
		m.leavingOld = m.leavingOld || l.Stopping
		if len(m.listed) < m.Timing.MaxMembers {
			m.listed = append(m.listed, l)
		}
	}
	slices.SortFunc(m.listed, func(a, b ListedVM) int { return strings.Compare(a.ID, b.ID) })
}

// contact tries to reach listed VMs while this one joins, and now and then a
// dead one or a listed one that is unknown, so that partitions heal.
func (m *Tracker) contact() {
	if m.now.Before(m.nextContact) {
		return
	}
	count, wait := 1, m.Timing.ReconnectInterval
	if !m.synced {
		count, wait = joinContacts, m.Timing.HeartbeatInterval
	}
	m.nextContact = m.now.Add(wait)
	targets := m.unreached()
	m.Random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, t := range targets[:min(count, len(targets))] {
		m.approach(t)
	}
}

// approach sends a heartbeat with this VM's whole entry, and asks for the list
// where this VM needs one.
func (m *Tracker) approach(to Member) {
	message := Message{From: m.Self, Digest: m.digest, RequestsList: !m.synced || m.peers[to.ID] == nil}
	if p := m.peers[to.ID]; p != nil && p.State != Alive {
		message.Changes = []Member{p.brief()}
	}
	m.outbox = append(m.outbox, Envelope{To: to, QueuedAt: m.now, Message: message})
}

// unreached returns the VMs that are dead or listed and unknown, and while
// this VM joins also the live ones.
func (m *Tracker) unreached() []Member {
	var targets []Member
	for _, p := range m.peers {
		if p.Address != "" && (p.State == Dead || (!m.synced && p.State.Live())) {
			targets = append(targets, p.Member)
		}
	}
	for _, l := range m.unknown() {
		targets = append(targets, Member{ID: l.ID, Address: l.Address, Zone: l.Zone, Region: l.Region})
	}
	slices.SortFunc(targets, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return targets
}

// unknown returns the listed VMs that stay and that no member stands for.
func (m *Tracker) unknown() []ListedVM {
	if len(m.listed) == 0 {
		return nil
	}
	addresses := make(map[string]bool, len(m.peers))
	for _, p := range m.peers {
		if p.State.Live() {
			addresses[p.Address] = true
		}
	}
	var unknown []ListedVM
	for _, l := range m.listed {
		if m.peers[l.ID] == nil && !addresses[l.Address] && !l.Stopping {
			unknown = append(unknown, l)
		}
	}
	return unknown
}

// IsNewFleet reports whether no VM was here before this fleet: the VM list shows
// this VM, every VM that it shows has answered, and none is older than the
// handover time or has ended.
func (m *Tracker) IsNewFleet() bool {
	if !m.listedSelf || m.leavingOld || len(m.unknown()) > 0 {
		return false
	}
	oldest := uint64(max(m.now.Add(-m.Timing.HandoverDelay).UnixMilli(), 0))
	if m.Self.Epoch < oldest {
		return false
	}
	for _, p := range m.peers {
		if p.State != Alive || p.Epoch < oldest || p.heardAt.IsZero() {
			return false
		}
	}
	return true
}
