// Package wqconfig synchronizes the configuration of one VM with the store and
// with its peers. A VM adopts higher revisions only. It fetches them from peers,
// and a few VMs of each availability zone watch the store for new ones.
//
// When a peer reports a higher revision, the VM fetches it from that peer, or
// from another one that has it, or from the store if no such peer answers. It
// announces each revision that it adopts once, so that an accepted revision
// reaches the whole fleet even if the store fails right after accepting it. The
// watchers are chosen by rendezvous hashing, so that the number of store calls
// does not grow with the fleet.
//
// A VM starts without a configuration and serves no requests until it has one.
// To avoid a stale configuration it adopts the first one only in two cases: from
// peers, when two of them (or the only one) answered and no live peer reports a
// higher revision; from the store, when a linearizable read returned it.
//
// # Usage
//
// The control goroutine owns one Syncer and carries out the actions that it
// returns. Every Fetch ends in one event FetchSucceeded or FetchFailed, every
// ReadStore and WatchStore in one event StoreCallSucceeded or StoreCallFailed:
//
//	s := &wqconfig.Syncer[wqconfig.WatchersPerZone]{Self: self, Policy: wqconfig.WatchersPerZone{Count: 2}, Timing: wqconfig.DefaultTiming(), Random: random}
//	s.Start(now)
//	s.Handle(now, wqconfig.RevisionReported{Peer: "vm2", Revision: 7})
//	for _, a := range s.Tick(now) { ... }
//
// Call Tick after each event, and no later than NextTick returns.
package wqconfig

import (
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqmember"
)

// Syncer keeps the configuration of one VM up to date. It is not safe for
// concurrent use. Set the exported fields before Start.
type Syncer[P WatchPolicy] struct {
	Self   wqmember.Member
	Policy P
	Timing Timing
	Random *rand.Rand

	history           *wqhistory.History
	candidate         *wqhistory.History // candidate is the highest configuration received before the first one is adopted.
	candidateIsLatest bool               // candidateIsLatest is true once a linearizable read returned the revision of candidate.
	peers             map[string]*peer
	maxPeerRevision   uint64 // maxPeerRevision is the highest revision that a live peer reported.
	answeredPeers     int    // answeredPeers counts the peers that answered a fetch.
	watchesStore      bool
	store             storeState
	pendingActions    []Action
	now               time.Time
}

// peer is the state of another live VM.
type peer struct {
	wqmember.Member
	nextFetchAt time.Time // nextFetchAt is the earliest start of the next fetch from this peer.
	fetching    bool
	answered    bool // answered is true once a fetch from this peer succeeded.
	needsFull   bool // needsFull requests the full history, because the last notes did not apply.
}

// Start initializes the Syncer; call it once before any other method.
func (s *Syncer[P]) Start(now time.Time) {
	s.peers = make(map[string]*peer)
	s.now = now
	s.store.nextCallAt = now.Add(s.withJitter(s.Timing.StartupStoreDelay))
	s.store.reachable = true
	s.SetMembers(now, nil)
}

// History returns the configuration in force, nil while there is none.
func (s *Syncer[P]) History() *wqhistory.History { return s.history }

// StoreReachable reports whether the latest call to the store was answered.
func (s *Syncer[P]) StoreReachable() bool { return s.store.reachable }

// SetMembers replaces the member list; members that are not live are ignored. The
// revision of a peer does not decrease within one epoch.
func (s *Syncer[P]) SetMembers(now time.Time, members []wqmember.Member) {
	s.now = now
	live := make(map[string]*peer, len(members))
	all := []wqmember.Member{s.Self}
	for _, e := range members {
		if !e.State.Live() || e.ID == s.Self.ID {
			continue
		}
		p := s.peers[e.ID]
		if p == nil || p.Epoch != e.Epoch {
			p = &peer{}
		}
		e.Revision = max(e.Revision, p.Revision)
		p.Member = e
		live[e.ID] = p
		all = append(all, e)
	}
	s.peers = live
	s.summarizePeers()
	s.watchesStore = s.Policy.Watches(s.Self, all)
}

// Handle applies an event; the resulting actions are returned by the next Tick.
func (s *Syncer[P]) Handle(now time.Time, e Event) {
	s.now = now
	switch e := e.(type) {
	case RevisionReported:
		s.onRevisionReported(e)
	case FetchSucceeded:
		s.onFetchSucceeded(e)
	case FetchFailed:
		s.onFetchFailed(e)
	case StoreCallSucceeded:
		s.onStoreCallSucceeded(e)
	case StoreCallFailed:
		s.onStoreCallFailed()
	case NoteAccepted:
		s.store.keyRevision = max(s.store.keyRevision, e.StoreRevision)
		s.adopt(e.History)
	}
}

func (s *Syncer[P]) onRevisionReported(e RevisionReported) {
	if p := s.peers[e.Peer]; p != nil {
		p.Revision = max(p.Revision, e.Revision)
		s.maxPeerRevision = max(s.maxPeerRevision, p.Revision)
	}
}

func (s *Syncer[P]) onFetchSucceeded(e FetchSucceeded) {
	p := s.peers[e.Peer]
	if p != nil {
		p.fetching, p.answered = false, true
		p.Revision = e.Update.Revision
		s.summarizePeers()
		p.nextFetchAt = s.now.Add(s.withJitter(s.Timing.RetryDelay))
	}
	base := s.history
	if base == nil {
		base = s.candidate
	}
	next, err := base.ApplyUpdate(e.Update)
	if p != nil {
		p.needsFull = err != nil
	}
	s.considerHistory(next)
}

func (s *Syncer[P]) onFetchFailed(e FetchFailed) {
	if p := s.peers[e.Peer]; p != nil {
		p.fetching = false
		p.nextFetchAt = s.now.Add(s.withJitter(s.Timing.RetryDelay))
	}
}

// Tick returns the actions to start now, each of them once.
func (s *Syncer[P]) Tick(now time.Time) []Action {
	s.now = now
	s.adoptCandidate()
	s.startFetches()
	s.callStore()
	actions := s.pendingActions
	s.pendingActions = nil
	return actions
}

// NextTick returns when Tick is due at the latest.
func (s *Syncer[P]) NextTick() time.Time {
	next := s.now.Add(s.Timing.MaxTickInterval)
	if !s.store.inFlight && s.store.nextCallAt.After(s.now) && s.store.nextCallAt.Before(next) {
		next = s.store.nextCallAt
	}
	if !s.mayBeBehind() {
		return next
	}
	for _, p := range s.peers {
		if s.worthFetching(p) && p.nextFetchAt.After(s.now) && p.nextFetchAt.Before(next) {
			next = p.nextFetchAt
		}
	}
	return next
}

// considerHistory adopts a higher revision. A VM without a configuration stores it
// as the candidate instead.
func (s *Syncer[P]) considerHistory(h *wqhistory.History) {
	if s.history != nil {
		s.adopt(h)
		return
	}
	if h.Revision() > s.candidate.Revision() {
		s.candidate = h
	}
}

func (s *Syncer[P]) adopt(h *wqhistory.History) {
	if h.Revision() <= s.history.Revision() {
		return
	}
	s.history = h
	s.candidate = nil
	s.pendingActions = append(s.pendingActions, Announce{Revision: h.Revision()})
}

// adoptCandidate adopts the candidate as the first configuration, unless it may be
// stale.
func (s *Syncer[P]) adoptCandidate() {
	if s.history != nil || s.candidate == nil || s.candidate.Revision() < s.maxPeerRevision {
		return
	}
	if s.candidateIsLatest || s.hasQuorum() {
		s.adopt(s.candidate)
	}
}

// hasQuorum reports whether enough peers answered a fetch, at least one of them
// with a configuration.
func (s *Syncer[P]) hasQuorum() bool {
	configured := false
	for _, p := range s.peers {
		configured = configured || p.answered && p.Revision > 0
	}
	return configured && s.answeredPeers >= min(s.Timing.BootstrapQuorum, len(s.peers))
}

// summarizePeers recomputes maxPeerRevision and answeredPeers.
func (s *Syncer[P]) summarizePeers() {
	s.maxPeerRevision, s.answeredPeers = 0, 0
	for _, p := range s.peers {
		s.maxPeerRevision = max(s.maxPeerRevision, p.Revision)
		if p.answered {
			s.answeredPeers++
		}
	}
}

// mayBeBehind reports whether a peer may have a higher revision than this VM.
func (s *Syncer[P]) mayBeBehind() bool {
	return s.history == nil || s.maxPeerRevision > s.history.Revision()
}

// withJitter returns a random duration from d to 1.5 times d.
func (s *Syncer[P]) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(s.Random.Int64N(int64(d/2)+1))
}
