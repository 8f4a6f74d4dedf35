package wqassignment

import (
	"time"

	"wisteriaquay/core/wqmember"
)

// shareUser is a VM that may use shares.
type shareUser struct {
	member    wqmember.Member
	readyAt   time.Time // from when it may use its shares: exact for this VM, estimated for others
	expiresAt time.Time // when a dead VM stops counting; zero while it is live
	expired   bool      // whether a dead VM no longer counts but is still remembered
	lastPhase phase     // phase that the holders were last ordered by
}

// phase orders the holders of a searcher.
type phase uint8

const (
	serving phase = iota // may use its shares
	waiting              // waits for the handover delay to pass
	leaving              // finishes its work and starts nothing
	dead                 // its shares stay unused
)

func (u *shareUser) phase(now time.Time) phase {
	switch {
	case !u.member.State.Live():
		return dead
	case u.member.State == wqmember.Leaving:
		return leaving
	case now.Before(u.readyAt):
		return waiting
	}
	return serving
}

// updateShareUsers applies the member list: live VMs count, and dead ones until
// their handover delay has passed.
func (t *Table) updateShareUsers(now time.Time, in Input) {
	present := make(map[string]bool, len(in.Members)+1)
	for _, m := range in.Members {
		present[m.ID] = true
		t.updateMember(now, m, in)
	}
	present[in.Self.ID] = true
	t.updateMember(now, in.Self, in)
	for id, u := range t.shareUsers {
		if !present[id] {
			t.removeShareUser(id, u)
		}
	}
	if t.allStale || len(t.staleZones) > 0 {
		t.candidates = newCandidateIndex(t.countedMembers())
	}
}

func (t *Table) updateMember(now time.Time, m wqmember.Member, in Input) {
	u := t.shareUsers[m.ID]
	if m.State == wqmember.Left {
		if u != nil {
			t.removeShareUser(m.ID, u)
		}
		return
	}
	if u == nil {
		u = &shareUser{lastPhase: dead + 1}
		t.shareUsers[m.ID] = u
	}
	if u.member.Zone != m.Zone || u.member.Region != m.Region {
		t.markZoneStale(u.member.Zone)
		t.markZoneStale(m.Zone)
	}
	restarted := u.member.Epoch != m.Epoch
	u.member = m
	if m.State.Live() {
		t.markLive(now, u, in, restarted)
	} else {
		t.markDead(now, u, in)
	}
	if p := u.phase(now); p != u.lastPhase {
		u.lastPhase = p
		t.markZoneStale(m.Zone)
	}
}

// markLive counts a live VM and computes from when it may use its shares.
func (t *Table) markLive(now time.Time, u *shareUser, in Input, restarted bool) {
	if u.expired {
		t.markZoneStale(u.member.Zone)
	}
	u.expiresAt, u.expired = time.Time{}, false
	switch {
	case u.member.ID == in.Self.ID:
		u.readyAt = t.selfReadyAt
	case in.IsNewFleet:
		u.readyAt = now
	case restarted:
		u.readyAt = earliest(now, time.UnixMilli(int64(u.member.Epoch))).Add(t.HandoverDelay)
	}
	if now.Before(u.readyAt) {
		t.scheduleUpdate(u.readyAt)
	}
}

// markDead starts the handover delay of a dead VM. A VM of another region
// counts as long as it is remembered, because a network partition between
// regions can last longer than the delay.
func (t *Table) markDead(now time.Time, u *shareUser, in Input) {
	if u.expiresAt.IsZero() {
		u.expiresAt = now.Add(t.HandoverDelay)
	}
	otherRegion := u.member.Region != in.Self.Region
	if otherRegion || u.expired {
		return
	}
	if now.Before(u.expiresAt) {
		t.scheduleUpdate(u.expiresAt)
		return
	}
	u.expired = true
	t.markZoneStale(u.member.Zone)
}

// removeShareUser stops counting a VM that left after finishing its work or
// that is no longer remembered.
func (t *Table) removeShareUser(id string, u *shareUser) {
	delete(t.shareUsers, id)
	t.markZoneStale(u.member.Zone)
}

// countedMembers returns the VMs that shares are computed over.
func (t *Table) countedMembers() []wqmember.Member {
	members := make([]wqmember.Member, 0, len(t.shareUsers))
	for _, u := range t.shareUsers {
		if !u.expired {
			members = append(members, u.member)
		}
	}
	return members
}

func (t *Table) markZoneStale(zone string) { t.staleZones[zone] = true }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
