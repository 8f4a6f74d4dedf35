package wqmember

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wisteriaquay/core/wqring"
)

// Tracker holds one VM's membership. Only one goroutine may use it.
type Tracker struct {
	Self   Member // Self is this VM; Incarnation, State and Revision change in use.
	Random *rand.Rand
	Timing Timing

	peers      map[string]*peer // peers are the other VMs, by id, dead and left ones included.
	listed     []ListedVM       // listed is the VM list without this VM.
	seededAt   time.Time        // seededAt is when the VM list last came; zero is never.
	listedSelf bool             // listedSelf is true once the VM list has shown this VM.
	leavingOld bool             // leavingOld is true once the VM list has shown a leaving VM.
	rumours    map[string]*rumour
	checks     map[string]check   // checks are the VMs that missed a heartbeat and are not suspected yet.
	relays     map[string][]relay // relays are who waits for a VM that this one was asked to check.
	outbox     []Envelope
	neighbours []string // neighbours are the live VMs that this one sends heartbeats to; see ring.
	digest     uint64
	version    uint64
	roster     uint64

	now          time.Time // now is the time of the latest call.
	evidenceAt   time.Time // evidenceAt is when the last message that a peer answered was sent.
	nextPing     time.Time
	nextFlood    time.Time
	nextContact  time.Time
	nextRequest  time.Time // nextRequest is when the next whole list may be asked for.
	nextAnswer   time.Time // nextAnswer is the earliest time of the next whole list sent, less a burst.
	raisedAt     time.Time
	extras       float64   // extras are the messages beside the periodic ones that may be sent now.
	extrasAt     time.Time // extrasAt is when extras was last counted.
	resetAt      time.Time // resetAt is the start or the end of the last pause.
	synced       bool      // synced is true once a whole list came since the start or the last pause.
	paused       bool      // paused is true once the process was paused.
	urgent       bool      // urgent is true while news waits for a flood.
	rejoinAt     time.Time // rejoinAt is when this isolated VM may be back, if it goes on hearing the others.
	isolatedAt   time.Time // isolatedAt is when this VM last began to take itself for cut off.
	ringsChanged bool
}

// peer is another VM.
type peer struct {
	Member
	heardAt    time.Time // heardAt is when its last message came.
	ackedAt    time.Time // ackedAt is when the last message that it answered was sent.
	pingedAt   time.Time // pingedAt is the last heartbeat to it.
	failedAt   time.Time // failedAt is the last message that it did not answer.
	bornAt     time.Time // bornAt is when this VM learned of it, or that it is back.
	changedAt  time.Time // changedAt is the last change of its state, by this VM's clock.
	differsAt  time.Time // differsAt is when its digest began to differ; zero while it agrees.
	introduced bool      // introduced is true once it is sure to know this VM's address.
	hearsay    bool      // hearsay is true for a dead VM that was known from a list only.
}

// Start prepares the machine; call it once before anything else.
func (m *Tracker) Start(now time.Time) {
	m.peers = make(map[string]*peer)
	m.rumours = make(map[string]*rumour)
	m.checks = make(map[string]check)
	m.relays = make(map[string][]relay)
	m.now, m.nextPing, m.nextFlood, m.nextContact = now, now, now, now
	m.nextRequest, m.nextAnswer, m.resetAt, m.isolatedAt = now, now, now, now
	m.extras, m.extrasAt = extrasBurst, now
	m.Self.Isolated = true
	m.Self.Incarnation = max(m.Self.Incarnation, m.Self.Epoch)
	m.digest = fingerprint(m.Self)
}

// Tick does what is due and returns the messages to send.
func (m *Tracker) Tick(now time.Time) []Envelope {
	m.observe(now)
	m.expireChecks()
	m.judgeIsolation()
	m.expireSuspicions()
	m.contact()
	m.ping()
	m.flood()
	sends := m.outbox
	m.outbox = nil
	return sends
}

// NextTick returns when Tick is due at the latest.
func (m *Tracker) NextTick() time.Time {
	next := m.nextPing
	for _, c := range m.checks {
		next = earlier(next, c.deadline)
	}
	if m.urgent {
		next = earlier(next, m.nextFlood)
	}
	return earlier(next, m.firstSuspicion())
}

// HandleMessage handles a message from a peer and returns the reply.
func (m *Tracker) HandleMessage(now time.Time, message Message) Message {
	m.observe(now)
	from := message.From
	if from.ID == "" || from.ID == m.Self.ID {
		m.apply(from, true)
		return Message{From: m.Self, Digest: m.digest}
	}
	m.takeIn(message)
	if message.ProbeID != "" {
		m.help(from.ID, message.ProbeID)
	}
	reply := m.compose(from.ID, m.Timing.MaxChanges)
	if message.RequestsList && m.mayAnswer() {
		reply = m.wholeList()
	}
	return reply
}

// HandleReply handles the reply to a message. When another VM answers at an address,
// the process that was there is gone.
func (m *Tracker) HandleReply(now time.Time, sent Envelope, reply Message) {
	m.observe(now)
	from := reply.From.ID
	if from == "" || from == m.Self.ID {
		return
	}
	if p := m.peers[sent.To.ID]; p != nil && p.ID != from {
		m.worsen(p, Left)
	}
	m.evidenceAt = later(m.evidenceAt, sent.QueuedAt)
	m.takeIn(reply)
	if p := m.peers[from]; p != nil {
		p.ackedAt = later(p.ackedAt, sent.QueuedAt)
		p.introduced = true
	}
	if reply.Full {
		m.compare(reply)
		m.synced = m.synced || !sent.QueuedAt.Before(m.resetAt)
	}
	if reply.RequestsList {
		m.introduce(from)
	}
	m.answerRelays(from)
}

// HandleNoReply handles a message that was not answered in time. Only neighbours are
// checked further: if each VM that was asked to help asked others in turn, the
// messages about one dead VM would multiply.
func (m *Tracker) HandleNoReply(now time.Time, sent Envelope) {
	m.observe(now)
	p := m.peers[sent.To.ID]
	if p == nil || !p.State.Live() {
		return
	}
	p.failedAt = now
	if slices.Contains(m.ring(), p.ID) {
		m.check(p)
	}
}

// SetRevision records the configuration that is in force on this VM and tells
// the neighbours at once.
func (m *Tracker) SetRevision(now time.Time, revision uint64) {
	m.observe(now)
	if revision > m.Self.Revision {
		m.Self.Revision = revision
		m.version++
		m.urgent = true
	}
}

// Leave says that this VM takes no new work from now on.
func (m *Tracker) Leave(now time.Time) {
	m.observe(now)
	m.setSelf(Leaving)
}

// FinishLeave says that this VM has finished all work and uses no share any more.
// The messages are the last ones; send them before the process ends.
func (m *Tracker) FinishLeave(now time.Time) []Envelope {
	m.observe(now)
	m.setSelf(Left)
	for _, id := range m.ring() {
		m.send(m.peers[id], m.compose(id, m.Timing.MaxChanges))
	}
	sends := m.outbox
	m.outbox = nil
	return sends
}

func (m *Tracker) setSelf(s State) {
	if s <= m.Self.State {
		return
	}
	m.digest ^= fingerprint(m.Self)
	m.Self.State = s
	m.digest ^= fingerprint(m.Self)
	m.version++
	m.roster++
	m.urgent = true
}

// Members returns a copy of all VMs that are remembered, this one included,
// sorted by id. Dead and left VMs stay until they are forgotten.
func (m *Tracker) Members() []Member {
	members := make([]Member, 0, len(m.peers)+1)
	members = append(members, m.Self)
	for _, p := range m.peers {
		members = append(members, p.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Version grows with every change that Members shows.
func (m *Tracker) Version() uint64 { return m.version }

// RosterVersion grows with every change of which VMs there are, where, and in what state;
// not when a VM only reports a revision or refutes a suspicion in time.
func (m *Tracker) RosterVersion() uint64 { return m.roster }

// ConfirmedAt returns when the last message that a peer answered was sent, or the
// time of the latest call while there is no other live VM. When messages came in
// does not count: they may have waited while this process was paused.
func (m *Tracker) ConfirmedAt() time.Time {
	for _, p := range m.peers {
		if p.State.Live() {
			return m.evidenceAt
		}
	}
	return m.now
}

// observe moves the clock on and notices that the process was paused.
func (m *Tracker) observe(now time.Time) {
	gap := Elapsed(m.now, now)
	if gap <= 0 {
		return
	}
	m.now = now
	if gap < m.Timing.PauseThreshold {
		return
	}
	clear(m.checks)
	clear(m.relays)
	m.synced, m.paused = false, true
	m.resetAt = now
	for _, p := range m.peers {
		p.failedAt = time.Time{}
		p.changedAt = p.changedAt.Add(gap)
	}
}

// ring returns the ids of the live VMs that this one sends heartbeats to.
func (m *Tracker) ring() []string {
	if !m.ringsChanged {
		return m.neighbours
	}
	m.ringsChanged = false
	places := make([]wqring.Node, 0, len(m.peers))
	for _, p := range m.peers {
		if p.State.Live() {
			places = append(places, wqring.Node{ID: p.ID, Region: p.Region})
		}
	}
	m.neighbours = m.Timing.Rings.Successors(wqring.Node{ID: m.Self.ID, Region: m.Self.Region}, places)
	return m.neighbours
}

// Elapsed returns the time from one moment to another by the clock that shows
// more: a VM that its host pauses may find that its monotonic clock stood still.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Member returns what is known of one VM, false when it is unknown.
func (m *Tracker) Member(id string) (Member, bool) {
	if id == m.Self.ID {
		return m.Self, true
	}
	p := m.peers[id]
	if p == nil {
		return Member{}, false
	}
	return p.Member, true
}
