package wqmember

import (
	"slices"
	"time"
)

// check is a VM that missed a heartbeat.
type check struct {
	failedAt    time.Time
	deadline    time.Time
	incarnation uint64
}

// relay is a VM that waits for another one to be reached.
type relay struct {
	id       string
	deadline time.Time
}

const (
	maxRelays    = 16 // maxRelays bounds the VMs that are checked for others at one time.
	joinContacts = 3  // joinContacts is how many listed VMs a joining VM tries in a period.
	listBurst    = 4  // listBurst is how many whole lists may be sent at once.
	extrasBurst  = 64 // extrasBurst is how many messages beside the periodic ones may be sent at once.
	extrasRate   = 16 // extrasRate is how many of them may be sent in a second, in the long run.
)

// ping sends one heartbeat when the period is over, to the neighbour whose last
// exchange is the longest ago. Messages that came in count, so that VMs share
// the watch over a neighbour evenly.
func (m *Tracker) ping() {
	if m.now.Before(m.nextPing) {
		return
	}
	m.nextPing = m.now.Add(m.Timing.HeartbeatInterval)
	m.forget()
	var oldest *peer
	for _, id := range m.ring() {
		if p := m.peers[id]; oldest == nil || p.exchangedAt().Before(oldest.exchangedAt()) {
			oldest = p
		}
	}
	if oldest != nil {
		oldest.pingedAt = m.now
		m.send(oldest, m.compose(oldest.ID, m.Timing.MaxChanges))
	}
}

// exchangedAt returns when a message last came from the peer or a heartbeat went to it.
func (p *peer) exchangedAt() time.Time {
	if p.pingedAt.After(p.heardAt) {
		return p.pingedAt
	}
	return p.heardAt
}

// send queues a message.
func (m *Tracker) send(p *peer, message Message) {
	m.outbox = append(m.outbox, Envelope{To: p.Member, QueuedAt: m.now, Message: message})
}

// mayExtra reports whether one more message may be sent beside the periodic
// ones, which bounds what a VM sends when many others fail at once.
func (m *Tracker) mayExtra() bool {
	m.extras = min(extrasBurst, m.extras+extrasRate*m.now.Sub(m.extrasAt).Seconds())
	m.extrasAt = m.now
	if m.extras < 1 {
		return false
	}
	m.extras--
	return true
}

// check asks helpers to reach a VM that missed a heartbeat.
func (m *Tracker) check(p *peer) {
	if _, running := m.checks[p.ID]; running || p.State == Suspect {
		return
	}
	var helpers []*peer
	if !m.Self.Isolated {
		helpers = m.helpers(p.ID)
	}
	wait := m.Timing.IndirectProbeTimeout
	if len(m.peers) == 1 {
		wait = 0
	}
	m.checks[p.ID] = check{m.now, m.now.Add(wait), p.Incarnation}
	for _, h := range helpers {
		if !m.mayExtra() {
			return
		}
		message := m.compose(h.ID, m.Timing.MaxChanges)
		message.ProbeID = p.ID
		m.send(h, message)
	}
}

// helpers returns a few other live VMs, chosen at random.
func (m *Tracker) helpers(except string) []*peer {
	var live []*peer
	for _, p := range m.peers {
		if p.State == Alive && p.ID != except {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, compareIDs)
	m.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), m.Timing.IndirectProbes)]
}

// help checks a VM for another one, or refutes when it is this one.
func (m *Tracker) help(asker, id string) {
	if id == m.Self.ID {
		if m.now.Sub(m.raisedAt) > m.Timing.IndirectProbeTimeout {
			m.raise(m.Self.Incarnation)
		}
		return
	}
	p := m.peers[id]
	if p == nil || !p.State.Live() || len(m.relays) >= maxRelays || !m.mayExtra() {
		return
	}
	m.relays[id] = append(m.relays[id], relay{asker, m.now.Add(m.Timing.IndirectProbeTimeout)})
	message := m.compose(id, m.Timing.MaxChanges)
	message.ProbeID = id
	m.send(p, message)
}

// answerRelays tells those who wait for a VM that it answered.
func (m *Tracker) answerRelays(id string) {
	waiting := m.relays[id]
	delete(m.relays, id)
	answered := m.peers[id]
	for _, r := range waiting {
		p := m.peers[r.id]
		if p == nil || answered == nil || m.now.After(r.deadline) || !m.mayExtra() {
			continue
		}
		message := m.compose(r.id, m.Timing.MaxChanges)
		message.Changes = append([]Member{answered.brief()}, message.Changes...)
		m.send(p, message)
	}
}

// expireChecks suspects the VMs that no helper reached in time.
func (m *Tracker) expireChecks() {
	for id, waiting := range m.relays {
		if m.now.After(waiting[0].deadline) {
			delete(m.relays, id)
		}
	}
	for id, c := range m.checks {
		if m.now.Before(c.deadline) {
			continue
		}
		delete(m.checks, id)
		p := m.peers[id]
		if p == nil || p.Incarnation > c.incarnation || p.heardAt.After(c.failedAt) {
			continue
		}
		m.doubt(p)
	}
}

// doubt suspects a VM that no one reached. One that leaves has nothing to
// refute with, so that it ends at once.
func (m *Tracker) doubt(p *peer) {
	if p.State == Leaving {
		m.worsen(p, Dead)
		return
	}
	m.worsen(p, Suspect)
}

// expireSuspicions ends the VMs that did not refute in time. An isolated VM
// ends no one: more likely it is the one that can't be reached.
func (m *Tracker) expireSuspicions() {
	if m.Self.Isolated {
		return
	}
	for _, p := range m.peers {
		if p.State == Suspect && !m.now.Before(p.changedAt.Add(m.Timing.SuspicionTimeout)) {
			m.worsen(p, Dead)
		}
	}
}

func (m *Tracker) firstSuspicion() time.Time {
	var first time.Time
	if m.Self.Isolated {
		return first
	}
	for _, p := range m.peers {
		if p.State != Suspect {
			continue
		}
		end := p.changedAt.Add(m.Timing.SuspicionTimeout)
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

func (m *Tracker) worsen(p *peer, s State) {
	if p.State >= s {
		return
	}
	c := p.Member
	c.State = s
	m.update(p, c, false)
}

// forget drops the dead and left VMs that were remembered long enough.
func (m *Tracker) forget() {
	for id, p := range m.peers {
		if !p.State.Live() && m.now.Sub(p.changedAt) > m.Timing.TombstoneTTL {
			delete(m.peers, id)
			delete(m.rumours, id)
			m.version++
			m.roster++
		}
	}
}
