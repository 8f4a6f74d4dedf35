package wqassignment

import (
	"time"

	"wisteriaquay/core/wqmember"
)

// user is a VM that may use shares.
type user struct {
	member  wqmember.Member
	readyAt time.Time // readyAt is when it may use its shares: exact for this VM, a guess for others.
	endsAt  time.Time // endsAt is when a dead one stops to count; zero while it lives.
	ended   bool      // ended is true for a dead one that counts no more and is still remembered.
	shown   class     // shown is the class that the holders were ordered by.
}

// class orders the holders of a searcher.
type class uint8

const (
	serving class = iota // serving VMs may use their shares.
	waiting              // waiting VMs may use them soon.
	leaving              // leaving VMs finish what they have.
	gone                 // gone VMs are dead; their shares rest.
)

func (u *user) class(now time.Time) class {
	switch {
	case !u.member.State.Live():
		return gone
	case u.member.State == wqmember.Leaving:
		return leaving
	case now.Before(u.readyAt):
		return waiting
	}
	return serving
}

// updateUsers takes over who lives, and lets the dead go when their time is up.
func (t *Table) updateUsers(now time.Time, in Input) {
	seen := make(map[string]bool, len(in.Members)+1)
	for _, m := range in.Members {
		seen[m.ID] = true
		t.see(now, m, in)
	}
	seen[in.Self.ID] = true
	t.see(now, in.Self, in)
	for id, u := range t.users {
		if !seen[id] {
			t.release(id, u)
		}
	}
	if t.stale || len(t.staleZones) > 0 {
		t.fleet = newFleet(t.counted())
	}
}

// see takes over one member.
func (t *Table) see(now time.Time, m wqmember.Member, in Input) {
	u := t.users[m.ID]
	if m.State == wqmember.Left {
		if u != nil {
			t.release(m.ID, u)
		}
		return
	}
	if u == nil {
		u = &user{shown: gone + 1}
		t.users[m.ID] = u
	}
	if u.member.Zone != m.Zone || u.member.Region != m.Region {
		t.touch(u.member.Zone)
		t.touch(m.Zone)
	}
	restarted := u.member.Epoch != m.Epoch
	u.member = m
	if m.State.Live() {
		t.live(now, u, in, restarted)
	} else {
		t.die(now, u, in)
	}
	if c := u.class(now); c != u.shown {
		u.shown = c
		t.touch(m.Zone)
	}
}

// live counts a VM and says when it may use its shares.
func (t *Table) live(now time.Time, u *user, in Input, restarted bool) {
	if u.ended {
		t.touch(u.member.Zone)
	}
	u.endsAt, u.ended = time.Time{}, false
	switch {
	case u.member.ID == in.Self.ID:
		u.readyAt = t.readyAt
	case in.NewFleet:
		u.readyAt = now
	case restarted:
		u.readyAt = earliest(now, time.UnixMilli(int64(u.member.Epoch))).Add(t.HandoverDelay)
	}
	if now.Before(u.readyAt) {
		t.wakeBy(u.readyAt)
	}
}

// die starts the handover time of a VM. One of another region counts as long
// as it is remembered: regions lose each other for longer than that.
func (t *Table) die(now time.Time, u *user, in Input) {
	if u.endsAt.IsZero() {
		u.endsAt = now.Add(t.HandoverDelay)
	}
	far := u.member.Region != in.Self.Region
	if far || u.ended {
		return
	}
	if now.Before(u.endsAt) {
		t.wakeBy(u.endsAt)
		return
	}
	u.ended = true
	t.touch(u.member.Zone)
}

// release stops to count a VM that said it is done, or that is forgotten.
func (t *Table) release(id string, u *user) {
	delete(t.users, id)
	t.touch(u.member.Zone)
}

// counted returns the VMs that may use shares.
func (t *Table) counted() []wqmember.Member {
	members := make([]wqmember.Member, 0, len(t.users))
	for _, u := range t.users {
		if !u.ended {
			members = append(members, u.member)
		}
	}
	return members
}

// touch marks the searchers of a zone for renewal.
func (t *Table) touch(zone string) { t.staleZones[zone] = true }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
