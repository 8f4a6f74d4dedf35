package wqmember

import (
	"slices"
	"strings"
	"time"
)

// compareDigest asks a peer for its whole list when its digest stays different.
func (m *Tracker) compareDigest(message Message) {
	p := m.peers[message.From.ID]
	if p == nil {
		return
	}
	if message.Digest == m.digest {
		p.differsAt = time.Time{}
		return
	}
	if p.differsAt.IsZero() {
		p.differsAt = m.now
	}
	if m.now.Sub(p.differsAt) >= m.Timing.SyncDelay {
		m.requestList(p)
	}
}

// requestList asks a peer for its whole list, at a rate that falls with the
// list's length.
func (m *Tracker) requestList(p *peer) {
	if m.now.Before(m.nextRequest) {
		return
	}
	m.nextRequest = m.now.Add(max(m.Timing.HeartbeatInterval, m.listCost()))
	p.differsAt = time.Time{}
	message := m.compose(p.ID, m.Timing.MaxChanges)
	message.RequestsList = true
	m.send(p, message)
}

// listCost returns the least time between two whole lists.
func (m *Tracker) listCost() time.Duration {
	return time.Duration(len(m.peers)) * m.Timing.SyncIntervalPerMember
}

// mayAnswer reports whether a whole list may be sent now: a burst is allowed,
// then one in Period.
func (m *Tracker) mayAnswer() bool {
	earliest := m.now.Add(-listBurst * m.Timing.HeartbeatInterval)
	if m.nextAnswer.Before(earliest) {
		m.nextAnswer = earliest
	}
	if m.nextAnswer.After(m.now) {
		return false
	}
	m.nextAnswer = m.nextAnswer.Add(m.Timing.HeartbeatInterval)
	return true
}

// wholeList returns a message with all other VMs. Dead ones that are known by
// hearsay only are left out, so that lists don't keep them in memory for ever.
func (m *Tracker) wholeList() Message {
	list := make([]Member, 0, len(m.peers))
	for _, p := range m.peers {
		if !p.hearsay {
			list = append(list, p.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return Message{From: m.Self, Digest: m.digest, Changes: list, Full: true}
}

// compare spreads what the sender of a whole list did not know.
func (m *Tracker) compare(list Message) {
	theirs := make(map[string]Member, len(list.Changes))
	for _, c := range list.Changes {
		theirs[c.ID] = c
	}
	for id, p := range m.peers {
		known, found := theirs[id]
		if id == list.From.ID || (!found && !p.State.Live()) {
			continue
		}
		if !found || p.newer(known) {
			m.spread(id, rumour{full: true})
		}
	}
}

// introduce sends a peer this VM's whole entry and list.
func (m *Tracker) introduce(id string) {
	p := m.peers[id]
	if p == nil {
		return
	}
	p.introduced = false
	if m.mayAnswer() {
		m.send(p, m.wholeList())
	}
}
