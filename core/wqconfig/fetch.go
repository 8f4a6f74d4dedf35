package wqconfig

import (
	"slices"
	"strings"
)

// startFetches starts fetches from peers with a higher revision: one at a time,
// or BootstrapQuorum at a time while there is no configuration.
func (s *Syncer[P]) startFetches() {
	if !s.mayBeBehind() {
		return
	}
	limit := 1
	if s.history == nil {
		limit = s.Timing.BootstrapQuorum
	}
	for range limit - s.fetchesInFlight() {
		p := s.choosePeer()
		if p == nil {
			return
		}
		p.fetching = true
		s.pendingActions = append(s.pendingActions, Fetch{Peer: p.Member, AfterRevision: s.revisionToFetchAfter(p)})
	}
}

// revisionToFetchAfter returns the revision after which to fetch notes from p; 0
// requests the full history.
func (s *Syncer[P]) revisionToFetchAfter(p *peer) uint64 {
	if p.needsFull {
		return 0
	}
	if s.history == nil {
		return s.candidate.Revision()
	}
	return s.history.Revision()
}

func (s *Syncer[P]) fetchesInFlight() int {
	count := 0
	for _, p := range s.peers {
		if p.fetching {
			count++
		}
	}
	return count
}

// worthFetching reports whether a fetch from p could return a higher revision or
// an answer that the bootstrap quorum still needs.
func (s *Syncer[P]) worthFetching(p *peer) bool {
	if p.fetching {
		return false
	}
	if s.history != nil {
		return p.Revision > s.history.Revision()
	}
	return p.Revision > s.candidate.Revision() || !p.answered && s.answeredPeers < s.Timing.BootstrapQuorum
}

// choosePeer returns the preferred peer to fetch from, a random one of those with
// equal preference; nil when no fetch is due.
func (s *Syncer[P]) choosePeer() *peer {
	var best *peer
	ties := 0
	for _, p := range s.duePeers() {
		switch {
		case best == nil || s.preferred(p, best):
			best, ties = p, 1
		case !s.preferred(best, p):
			ties++
			if s.Random.IntN(ties) == 0 {
				best = p
			}
		}
	}
	return best
}

// preferred reports whether to fetch from a before b: the peer with the higher
// revision goes first. While there is no configuration, peers that have not
// answered go before those that have.
func (s *Syncer[P]) preferred(a, b *peer) bool {
	if a.answered != b.answered && s.history == nil {
		return b.answered
	}
	return a.Revision > b.Revision
}

// duePeers returns the peers that may be fetched from now, sorted by id.
func (s *Syncer[P]) duePeers() []*peer {
	var due []*peer
	for _, p := range s.peers {
		if s.worthFetching(p) && !p.nextFetchAt.After(s.now) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int { return strings.Compare(a.ID, b.ID) })
	return due
}
