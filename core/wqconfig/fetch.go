package wqconfig

import (
	"slices"
	"strings"
)

// fetch asks peers for what they have beyond this VM: one peer at a time, or as
// many as must witness the first configuration.
func (m *Syncer[P]) fetch() {
	if !m.behind() {
		return
	}
	most := 1
	if m.history == nil {
		most = m.Timing.BootstrapQuorum
	}
	for range most - m.fetching() {
		p := m.choose()
		if p == nil {
			return
		}
		p.fetching = true
		m.outbox = append(m.outbox, Fetch{Peer: p.Member, AfterRevision: m.known(p)})
	}
}

// known returns the revision to fetch from: 0 asks for the whole history.
func (m *Syncer[P]) known(p *peer) uint64 {
	if p.whole {
		return 0
	}
	if m.history == nil {
		return m.offered.Revision()
	}
	return m.history.Revision()
}

func (m *Syncer[P]) fetching() int {
	count := 0
	for _, p := range m.peers {
		if p.fetching {
			count++
		}
	}
	return count
}

// useful reports whether a fetch from a peer could bring news, or the answer of
// a witness that is still missing.
func (m *Syncer[P]) useful(p *peer) bool {
	if p.fetching {
		return false
	}
	if m.history != nil {
		return p.Revision > m.history.Revision()
	}
	return p.Revision > m.offered.Revision() || !p.answered && m.answers < m.Timing.BootstrapQuorum
}

// choose returns the peer to fetch from: the one with the highest revision, by
// chance among equals; nil when none is due.
func (m *Syncer[P]) choose() *peer {
	var best *peer
	equals := 0
	for _, p := range m.candidates() {
		switch {
		case best == nil || m.better(p, best):
			best, equals = p, 1
		case !m.better(best, p):
			equals++
			if m.Random.IntN(equals) == 0 {
				best = p
			}
		}
	}
	return best
}

// better reports whether a is to be asked before b. A VM without configuration
// asks those first that have not answered yet.
func (m *Syncer[P]) better(a, b *peer) bool {
	if a.answered != b.answered && m.history == nil {
		return b.answered
	}
	return a.Revision > b.Revision
}

// candidates returns the peers that a fetch is due from, sorted by id.
func (m *Syncer[P]) candidates() []*peer {
	var list []*peer
	for _, p := range m.peers {
		if m.useful(p) && !p.retryAt.After(m.now) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int { return strings.Compare(a.ID, b.ID) })
	return list
}
