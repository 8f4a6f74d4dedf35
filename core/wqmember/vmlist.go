package wqmember

import (
	"slices"
	"strings"
	"time"
)

// SetVMList replaces the platform's VM list. The list provides addresses to
// contact, and the VMs on it count for the quorum; it changes no member's state.
func (t *Tracker) SetVMList(now time.Time, list []ListedVM) {
	t.advanceClock(now)
	t.vmListAt = now
	t.vmList = t.vmList[:0]
	for _, l := range list {
		if l.ID == t.Self.ID || l.Address == t.Self.Address {
			t.selfListed = true
			continue
		}
		t.stoppingListed = t.stoppingListed || l.Stopping
		if len(t.vmList) < t.Timing.MaxMembers {
			t.vmList = append(t.vmList, l)
		}
	}
	slices.SortFunc(t.vmList, func(a, b ListedVM) int { return strings.Compare(a.ID, b.ID) })
}

// reconnect contacts other VMs while this one joins, and afterwards one dead or
// unknown listed VM per Timing.ReconnectInterval, so that partitions heal.
func (t *Tracker) reconnect() {
	if t.now.Before(t.nextReconnect) {
		return
	}
	count, interval := 1, t.Timing.ReconnectInterval
	if !t.synced {
		count, interval = joinContacts, t.Timing.HeartbeatInterval
	}
	t.nextReconnect = t.now.Add(interval)
	candidates := t.reconnectCandidates()
	t.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, c := range candidates[:min(count, len(candidates))] {
		t.contactMember(c)
	}
}

// contactMember sends a heartbeat with this VM's whole entry. It requests the
// full list while this VM has none, and from VMs that are no member.
func (t *Tracker) contactMember(to Member) {
	message := Message{From: t.Self, Digest: t.digest, RequestsList: !t.synced || t.peers[to.ID] == nil}
	if p := t.peers[to.ID]; p != nil && p.State != Alive {
		message.Changes = []Member{p.withoutStaticFields()}
	}
	t.outbox = append(t.outbox, Envelope{To: to, QueuedAt: t.now, Message: message})
}

// reconnectCandidates returns the dead VMs and the listed ones that are no
// member, and while this VM joins also the live ones.
func (t *Tracker) reconnectCandidates() []Member {
	var candidates []Member
	for _, p := range t.peers {
		if p.Address != "" && (p.State == Dead || (!t.synced && p.State.Live())) {
			candidates = append(candidates, p.Member)
		}
	}
	for _, l := range t.listedNonMembers() {
		candidates = append(candidates, Member{ID: l.ID, Address: l.Address, Zone: l.Zone, Region: l.Region})
	}
	slices.SortFunc(candidates, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return candidates
}

// listedNonMembers returns the VMs of the VM list that are not stopping and that no
// member matches by id, nor a live one by address.
func (t *Tracker) listedNonMembers() []ListedVM {
	if len(t.vmList) == 0 {
		return nil
	}
	addresses := make(map[string]bool, len(t.peers))
	for _, p := range t.peers {
		if p.State.Live() {
			addresses[p.Address] = true
		}
	}
	var unknown []ListedVM
	for _, l := range t.vmList {
		if t.peers[l.ID] == nil && !addresses[l.Address] && !l.Stopping {
			unknown = append(unknown, l)
		}
	}
	return unknown
}

// IsNewFleet reports whether all VMs have just started, so that no earlier VM can
// still use shares: the VM list contains this VM, all VMs on it are members and
// none is stopping, and all members are alive, have sent a message and started
// within Timing.HandoverDelay.
func (t *Tracker) IsNewFleet() bool {
	if !t.selfListed || t.stoppingListed || len(t.listedNonMembers()) > 0 {
		return false
	}
	minEpoch := uint64(max(t.now.Add(-t.Timing.HandoverDelay).UnixMilli(), 0))
	if t.Self.Epoch < minEpoch {
		return false
	}
	for _, p := range t.peers {
		if p.State != Alive || p.Epoch < minEpoch || p.receivedAt.IsZero() {
			return false
		}
	}
	return true
}
