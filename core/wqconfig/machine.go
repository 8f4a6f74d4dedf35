// Package wqconfig decides how one VM learns the configuration and keeps it: it
// adopts higher revisions only, fetches them from peers, and a few VMs of each
// availability zone watch the store for the rest.
//
// A VM that hears of a higher revision fetches it from the VM that has it, or
// from another one, or at last from the store. It announces each revision that
// it adopts once, so that an accepted revision floods the fleet also when the
// store dies right after accepting. The watchers are chosen by rendezvous
// hashing, so that the calls to the store do not grow with the fleet.
//
// A VM that starts has no configuration and serves nothing. It adopts one only
// with evidence that it is not from the past: from peers, when two of them (or
// the only one) answered and no live peer reports more; from the store, when it
// proved by a swap that the value is its newest.
//
// # Usage
//
// The control goroutine owns one Machine and does what it returns; every Fetch
// ends in one event Fetched or FetchFailed, every ReadStore and WatchStore in
// one event StoreAnswered or StoreFailed:
//
//	m := &wqconfig.Syncer[wqconfig.WatchersPerZone]{Self: self, Policy: wqconfig.WatchersPerZone{Count: 2}, Timing: wqconfig.DefaultTiming(), Random: random}
//	m.Start(now)
//	m.Handle(now, wqconfig.RevisionReported{Peer: "vm2", Revision: 7})
//	for _, a := range m.Tick(now) { ... }
//
// Call Tick after each event and at Next at the latest.
package wqconfig

import (
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqmember"
)

// Syncer is one VM's part in spreading the configuration. Only one goroutine
// may use it.
type Syncer[P WatchPolicy] struct {
	Self   wqmember.Member
	Policy P
	Timing Timing
	Random *rand.Rand

	history  *wqhistory.History
	offered  *wqhistory.History // offered is the highest configuration found before there was evidence enough to adopt one.
	proved   bool               // proved is true once the store proved offered to be its newest.
	peers    map[string]*peer
	highest  uint64 // highest is the highest revision that a live peer is known to have.
	answers  int    // answers is how many peers answered while this VM had no configuration.
	watching bool
	store    storeState
	outbox   []Action
	now      time.Time
}

// peer is what is known of another live VM.
type peer struct {
	wqmember.Member
	retryAt  time.Time // retryAt is the earliest time of the next fetch from it.
	fetching bool
	answered bool // answered is true once it answered while this VM had no configuration.
	whole    bool // whole is true when its notes did not apply.
}

// Start prepares the machine; call it once before anything else.
func (m *Syncer[P]) Start(now time.Time) {
	m.peers = make(map[string]*peer)
	m.now = now
	m.store.nextAt = now.Add(m.jitter(m.Timing.StartupStoreDelay))
	m.store.reachable = true
	m.SetMembers(now, nil)
}

// History returns the configuration in force, nil while there is none.
func (m *Syncer[P]) History() *wqhistory.History { return m.history }

// StoreReachable reports whether the latest call to the store was answered.
func (m *Syncer[P]) StoreReachable() bool { return m.store.reachable }

// SetMembers replaces the members, of which only live ones count. Their
// revisions are what membership knows of them.
func (m *Syncer[P]) SetMembers(now time.Time, members []wqmember.Member) {
	m.now = now
	live := make(map[string]*peer, len(members))
	all := []wqmember.Member{m.Self}
	for _, e := range members {
		if !e.State.Live() || e.ID == m.Self.ID {
			continue
		}
		p := m.peers[e.ID]
		if p == nil || p.Epoch != e.Epoch {
			p = &peer{}
		}
		e.Revision = max(e.Revision, p.Revision)
		p.Member = e
		live[e.ID] = p
		all = append(all, e)
	}
	m.peers = live
	m.rank()
	m.watching = m.Policy.Watches(m.Self, all)
}

// Handle takes in an event.
func (m *Syncer[P]) Handle(now time.Time, e Event) {
	m.now = now
	switch e := e.(type) {
	case RevisionReported:
		m.heard(e)
	case FetchSucceeded:
		m.fetched(e)
	case FetchFailed:
		m.fetchFailed(e)
	case StoreCallSucceeded:
		m.storeAnswered(e)
	case StoreCallFailed:
		m.storeFailed()
	case NoteAccepted:
		m.store.revision = max(m.store.revision, e.StoreRevision)
		m.adopt(e.History)
	}
}

func (m *Syncer[P]) heard(e RevisionReported) {
	if p := m.peers[e.Peer]; p != nil {
		p.Revision = max(p.Revision, e.Revision)
		m.highest = max(m.highest, p.Revision)
	}
}

func (m *Syncer[P]) fetched(e FetchSucceeded) {
	p := m.peers[e.Peer]
	if p != nil {
		p.fetching, p.answered = false, true
		p.Revision = e.Update.Revision
		m.rank()
		p.retryAt = m.now.Add(m.jitter(m.Timing.RetryDelay))
	}
	base := m.history
	if base == nil {
		base = m.offered
	}
	next, err := base.ApplyUpdate(e.Update)
	if p != nil {
		p.whole = err != nil
	}
	m.offer(next)
}

func (m *Syncer[P]) fetchFailed(e FetchFailed) {
	if p := m.peers[e.Peer]; p != nil {
		p.fetching = false
		p.retryAt = m.now.Add(m.jitter(m.Timing.RetryDelay))
	}
}

// Tick returns what is to be done now.
func (m *Syncer[P]) Tick(now time.Time) []Action {
	m.now = now
	m.settle()
	m.fetch()
	m.callStore()
	actions := m.outbox
	m.outbox = nil
	return actions
}

// NextTick returns when Tick is due at the latest.
func (m *Syncer[P]) NextTick() time.Time {
	next := m.now.Add(m.Timing.MaxTickInterval)
	if !m.store.busy && m.store.nextAt.After(m.now) && m.store.nextAt.Before(next) {
		next = m.store.nextAt
	}
	if !m.behind() {
		return next
	}
	for _, p := range m.peers {
		if m.useful(p) && p.retryAt.After(m.now) && p.retryAt.Before(next) {
			next = p.retryAt
		}
	}
	return next
}

// offer adopts a higher configuration, or keeps it until there is evidence
// enough when this VM has none.
func (m *Syncer[P]) offer(h *wqhistory.History) {
	if m.history != nil {
		m.adopt(h)
		return
	}
	if h.Revision() > m.offered.Revision() {
		m.offered = h
	}
}

func (m *Syncer[P]) adopt(h *wqhistory.History) {
	if h.Revision() <= m.history.Revision() {
		return
	}
	m.history = h
	m.offered = nil
	m.outbox = append(m.outbox, Announce{Revision: h.Revision()})
}

// settle adopts the configuration on offer when there is evidence that it is
// not from the past.
func (m *Syncer[P]) settle() {
	if m.history != nil || m.offered == nil || m.offered.Revision() < m.highest {
		return
	}
	if m.proved || m.confirmed() {
		m.adopt(m.offered)
	}
}

// confirmed reports whether enough peers told their revision, one of them at
// least with a configuration.
func (m *Syncer[P]) confirmed() bool {
	configured := false
	for _, p := range m.peers {
		configured = configured || p.answered && p.Revision > 0
	}
	return configured && m.answers >= min(m.Timing.BootstrapQuorum, len(m.peers))
}

// rank counts the answers and finds the highest revision among the peers.
func (m *Syncer[P]) rank() {
	m.highest, m.answers = 0, 0
	for _, p := range m.peers {
		m.highest = max(m.highest, p.Revision)
		if p.answered {
			m.answers++
		}
	}
}

// behind reports whether a peer may have something that this VM lacks.
func (m *Syncer[P]) behind() bool {
	return m.history == nil || m.highest > m.history.Revision()
}

// jitter returns a time from d to half as much more.
func (m *Syncer[P]) jitter(d time.Duration) time.Duration {
	return d + time.Duration(m.Random.Int64N(int64(d/2)+1))
}
