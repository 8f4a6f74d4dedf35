// Package wqcatchup schedules the fetches by which a VM catches up with the
// revisions of its peers: it decides when to fetch and from which peer.
//
// Peers report their revisions in heartbeats. A peer of the same availability
// zone is fetched from immediately, one of another zone only when no peer of the
// same zone has reported the revision shortly after, since traffic between
// zones costs money. One fetch is in flight at a time: a second one would
// transfer the same items again.
//
// # Usage
//
// One goroutine owns a Scheduler. It passes on the revisions that peers report
// and starts a fetch when one is due:
//
//	s := &wqcatchup.Scheduler{Zone: "a"}
//	s.ObservePeer(now, peer, ownRevision)
//	if peer, ok := s.StartFetch(now, ownRevision, readsStore); ok { ... fetch from the peer ... }
//	next := s.NextFetchAt(now, ownRevision, readsStore)
package wqcatchup

import (
	"maps"
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtime"
)

const (
	// storeGrace is how long a VM that reads the store waits for it before it
	// fetches from a peer: one watch and the pause after it.
	storeGrace = 500 * time.Millisecond
	// startupStoreGrace replaces storeGrace while the VM has no data and serves no
	// requests: the store answers in 4 ms, the first time in 50 ms on a busy VM.
	startupStoreGrace = 100 * time.Millisecond
	// crossZoneDelay is how long a peer of the same zone has to report a revision
	// before one of another zone is used: gossip reaches a VM in a few messages, and
	// its rounds are at least 250 ms apart.
	crossZoneDelay = 300 * time.Millisecond
	// startupCrossZoneDelay replaces crossZoneDelay while the VM has no data: a call
	// within the zone takes milliseconds.
	startupCrossZoneDelay = 30 * time.Millisecond
	// fetchTimeout is how long a fetch may stay unanswered before the next one.
	fetchTimeout = 400 * time.Millisecond
	// minFetchInterval is the shortest time from the start of one fetch to the start
	// of the next, so that changes in quick succession are fetched together. Changes
	// have to arrive within seconds.
	minFetchInterval = 150 * time.Millisecond
)

// Scheduler tracks the peers with a higher revision and decides when to fetch
// from one of them. Set Zone before the first call.
type Scheduler struct {
	Zone string // Zone is the availability zone of this VM.

	sameZone      peerSet
	otherZones    peerSet
	ownRevision   uint64    // ownRevision is this VM's revision at the last call.
	advancedAt    time.Time // advancedAt is when ownRevision last changed.
	fetchedAt     time.Time // fetchedAt is when the last fetch started; zero means never.
	fetchRevision uint64    // fetchRevision is this VM's revision when the last fetch started.
}

// peerSet holds the peers that are ahead of this VM, either those of its zone or
// those of all other zones.
type peerSet struct {
	peers      map[string]*aheadPeer // peers by id.
	aheadSince time.Time             // aheadSince is when the first of them reported a higher revision.
}

// aheadPeer is a peer with a higher revision than this VM.
type aheadPeer struct {
	member    wqmember.Member
	fetchedAt time.Time // fetchedAt is when the last fetch from it started; zero means never.
}

// ObservePeer records the revision that a peer reports. OwnRevision is the
// revision of this VM.
func (s *Scheduler) ObservePeer(now time.Time, peer wqmember.Member, ownRevision uint64) {
	s.advance(now, ownRevision)
	if peer.Revision <= ownRevision {
		return
	}
	set := &s.otherZones
	if peer.Zone == s.Zone {
		set = &s.sameZone
	}
	if len(set.peers) == 0 {
		set.peers, set.aheadSince = make(map[string]*aheadPeer), now
	}
	if existing := set.peers[peer.ID]; existing == nil {
		set.peers[peer.ID] = &aheadPeer{member: peer}
	} else if peer.Revision >= existing.member.Revision {
		existing.member = peer
	}
}

// advance records the revision of this VM and drops the peers that are no longer
// ahead of it.
func (s *Scheduler) advance(now time.Time, ownRevision uint64) {
	if ownRevision == s.ownRevision {
		return
	}
	s.ownRevision, s.advancedAt = ownRevision, now
	for _, set := range []*peerSet{&s.sameZone, &s.otherZones} {
		maps.DeleteFunc(set.peers, func(_ string, p *aheadPeer) bool { return p.member.Revision <= ownRevision })
	}
}

// StartFetch returns the peer to fetch from and records that the fetch has
// started. It returns false when no fetch is due. ReadsStore is true when this VM
// reads the store itself.
func (s *Scheduler) StartFetch(now time.Time, ownRevision uint64, readsStore bool) (wqmember.Member, bool) {
	dueAt := s.NextFetchAt(now, ownRevision, readsStore)
	if dueAt.IsZero() || now.Before(dueAt) {
		return wqmember.Member{}, false
	}
	chosen := s.choosePeer(now, readsStore)
	chosen.fetchedAt = now
	s.fetchedAt, s.fetchRevision = now, ownRevision
	return chosen.member, true
}

// choosePeer returns the peer to fetch from. A peer of another zone is chosen
// only when no peer of the same zone is eligible, or when all of those have been
// fetched from more recently without bringing this VM up to date.
func (s *Scheduler) choosePeer(now time.Time, readsStore bool) *aheadPeer {
	sameZonePeer, otherZonePeer := s.sameZone.nextPeer(), s.otherZones.nextPeer()
	switch {
	case sameZonePeer == nil || now.Before(s.eligibleAt(&s.sameZone, readsStore)):
		return otherZonePeer
	case otherZonePeer == nil || !otherZonePeer.fetchedBefore(sameZonePeer):
		return sameZonePeer
	}
	return otherZonePeer
}

// nextPeer returns the peer with the oldest fetch, of these the one with the highest
// revision; nil when the set is empty.
func (s *peerSet) nextPeer() *aheadPeer {
	var best *aheadPeer
	for _, p := range s.peers {
		if best == nil || p.fetchedBefore(best) || !best.fetchedBefore(p) && p.member.Revision > best.member.Revision {
			best = p
		}
	}
	return best
}

// fetchedBefore reports whether the last fetch from p started before that from o.
func (p *aheadPeer) fetchedBefore(o *aheadPeer) bool { return p.fetchedAt.Before(o.fetchedAt) }

// NextFetchAt returns when the next fetch is due, zero when no peer is ahead.
func (s *Scheduler) NextFetchAt(now time.Time, ownRevision uint64, readsStore bool) time.Time {
	s.advance(now, ownRevision)
	dueAt := s.eligibleAt(&s.sameZone, readsStore)
	if otherZonesDueAt := s.eligibleAt(&s.otherZones, readsStore); dueAt.IsZero() || !otherZonesDueAt.IsZero() && otherZonesDueAt.Before(dueAt) {
		dueAt = otherZonesDueAt
	}
	if dueAt.IsZero() || s.fetchedAt.IsZero() {
		return dueAt
	}
	if s.inFlight() {
		return wqtime.Later(dueAt, s.fetchedAt.Add(fetchTimeout))
	}
	return wqtime.Later(dueAt, s.fetchedAt.Add(minFetchInterval))
}

// inFlight reports whether the revision is unchanged since the last fetch
// started.
func (s *Scheduler) inFlight() bool { return !s.fetchedAt.IsZero() && s.fetchRevision == s.ownRevision }

// eligibleAt returns the earliest time of a fetch from a peer of the set, zero
// when the set is empty.
func (s *Scheduler) eligibleAt(set *peerSet, readsStore bool) time.Time {
	if len(set.peers) == 0 {
		return time.Time{}
	}
	delay := time.Duration(0)
	switch {
	case readsStore && s.ownRevision == 0:
		delay = startupStoreGrace
	case readsStore:
		delay = storeGrace
	case set == &s.otherZones && s.ownRevision == 0:
		delay = startupCrossZoneDelay
	case set == &s.otherZones:
		delay = crossZoneDelay
	}
	return wqtime.Later(set.aheadSince, s.advancedAt).Add(delay)
}
