package wqmember

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wisteriaquay/core/wqring"
)

// Tracker is one VM's view of the membership. It is not safe for concurrent use.
// Set the exported fields before Start.
type Tracker struct {
	Self   Member // Self is this VM; the Tracker changes Incarnation, State, Isolated and Revision.
	Random *rand.Rand
	Timing Timing

	peers          map[string]*peer // other VMs by id, dead and left ones included
	vmList         []ListedVM       // without this VM; sorted by id
	vmListAt       time.Time        // when vmList was last received; zero means never
	selfListed     bool             // set once the VM list has contained this VM
	stoppingListed bool             // set once the VM list has contained a stopping VM
	pendingChanges map[string]*pendingChange
	indirectProbes map[string]indirectProbe  // by id of the VM that missed a heartbeat
	probeRequests  map[string][]probeRequest // by id of the VM to probe
	outbox         []Envelope
	neighbours     []string // cache of ringNeighbours
	digest         uint64
	version        uint64
	rosterVersion  uint64

	now                 time.Time // time of the latest call
	confirmedAt         time.Time // see ConfirmedAt
	nextHeartbeat       time.Time
	nextFlood           time.Time
	nextReconnect       time.Time
	nextListRequest     time.Time // earliest time of the next request
	nextStartList       time.Time // earliest time of the next request by requestListAfterStart
	listTokens          float64   // token bucket for the entries of full lists; below 0 after a list longer than the rest
	listTokensAt        time.Time // when listTokens was last refilled
	incarnationRaisedAt time.Time
	extraTokens         float64   // token bucket for messages besides the periodic ones
	extraTokensAt       time.Time // when extraTokens was last refilled
	resumedAt           time.Time // end of the last pause, or the start
	startLists          int       // elements of Timing.StartListDelays for which a list was received since resumedAt
	synced              bool      // a full list was requested and received since resumedAt
	wasPaused           bool      // the process was paused at least once
	floodPending        bool      // urgent changes are queued for a flood
	rejoinAt            time.Time // when the isolation ends if the quorum stays reachable
	isolatedSince       time.Time // when this VM last became isolated
	neighboursOutdated  bool
}

// peer is another VM.
type peer struct {
	Member
	receivedAt         time.Time // when its last message was received
	ackedSendAt        time.Time // when the last message that it answered was sent
	heartbeatSentAt    time.Time // last heartbeat to it
	noReplyAt          time.Time // when the last message to it timed out
	liveChangedAt      time.Time // when it was added, or State.Live last changed
	stateChangedAt     time.Time // last change of State by this VM's clock, without pauses
	digestDiffersSince time.Time // zero while its digest equals this VM's
	knowsAddress       bool      // it has answered, so that it has this VM's whole entry
	addedDead          bool      // it was dead or had left when it was added
}

// Start initializes the Tracker. Call it once, before all other methods.
func (t *Tracker) Start(now time.Time) {
	t.peers = make(map[string]*peer)
	t.pendingChanges = make(map[string]*pendingChange)
	t.indirectProbes = make(map[string]indirectProbe)
	t.probeRequests = make(map[string][]probeRequest)
	t.now, t.nextHeartbeat, t.nextFlood, t.nextReconnect = now, now, now, now
	t.nextListRequest, t.resumedAt, t.isolatedSince = now, now, now
	t.listTokens, t.listTokensAt = listEntryBurst, now
	t.extraTokens, t.extraTokensAt = extraBurst, now
	t.Self.Isolated = true
	t.Self.Incarnation = max(t.Self.Incarnation, t.Self.Epoch)
	t.digest = memberDigest(t.Self)
}

// Tick runs what is due at now and returns the messages to send.
func (t *Tracker) Tick(now time.Time) []Envelope {
	t.advanceClock(now)
	t.expireProbes()
	t.updateIsolation()
	t.expireSuspicions()
	t.reconnect()
	t.requestListAfterStart()
	t.sendHeartbeat()
	t.flood()
	envelopes := t.outbox
	t.outbox = nil
	return envelopes
}

// NextTick returns when to call Tick at the latest.
func (t *Tracker) NextTick() time.Time {
	next := t.nextHeartbeat
	for _, probe := range t.indirectProbes {
		next = earlier(next, probe.deadline)
	}
	if t.floodPending {
		next = earlier(next, t.nextFlood)
	}
	return earlier(earlier(next, t.startListAt()), t.firstSuspicionDeadline())
}

// HandleMessage merges a message from a peer and returns the reply.
func (t *Tracker) HandleMessage(now time.Time, message Message) Message {
	t.advanceClock(now)
	from := message.From
	if from.ID == "" || from.ID == t.Self.ID {
		t.applyChange(from, true)
		return Message{From: t.Self, Digest: t.digest}
	}
	t.mergeMessage(message)
	if message.ProbeID != "" {
		t.handleProbeRequest(from.ID, message.ProbeID)
	}
	reply := t.composeHeartbeat(from.ID, t.Timing.MaxChanges)
	if message.RequestsList {
		reply = t.replyToListRequest(reply, message)
	}
	return reply
}

// HandleReply merges the reply to a sent message. When another VM than the
// intended one answers at the address, the intended one is marked as left.
func (t *Tracker) HandleReply(now time.Time, sent Envelope, reply Message) {
	t.advanceClock(now)
	from := reply.From.ID
	if from == "" || from == t.Self.ID {
		return
	}
	if p := t.peers[sent.To.ID]; p != nil && p.ID != from {
		t.worsenState(p, Left)
	}
	t.confirmedAt = later(t.confirmedAt, sent.QueuedAt)
	t.mergeMessage(reply)
	if p := t.peers[from]; p != nil {
		p.ackedSendAt = later(p.ackedSendAt, sent.QueuedAt)
		p.knowsAddress = true
	}
	if reply.Full {
		if reply.Digest != t.digest {
			t.queueMissing(reply)
		}
		t.countStartList()
		t.synced = t.synced || !sent.QueuedAt.Before(t.resumedAt)
	}
	if reply.RequestsList {
		t.introduce(from)
	}
	t.answerProbeRequests(from)
}

// HandleNoReply records that a sent message was not answered in time. Only
// neighbours are then probed indirectly: if each VM that probes for another one
// requested further probes, the messages about one dead VM would multiply.
func (t *Tracker) HandleNoReply(now time.Time, sent Envelope) {
	t.advanceClock(now)
	p := t.peers[sent.To.ID]
	if p == nil || !p.State.Live() {
		return
	}
	p.noReplyAt = now
	if slices.Contains(t.ringNeighbours(), p.ID) {
		t.probeIndirectly(p)
	}
}

// SetRevision records the configuration revision in force on this VM. A higher
// one is sent to all neighbours at once.
func (t *Tracker) SetRevision(now time.Time, revision uint64) {
	t.advanceClock(now)
	if revision > t.Self.Revision {
		t.Self.Revision = revision
		t.version++
		t.floodPending = true
	}
}

// Leave announces that this VM accepts no new work from now on.
func (t *Tracker) Leave(now time.Time) {
	t.advanceClock(now)
	t.setOwnState(Leaving)
}

// FinishLeave announces that this VM has finished all work and uses no share any
// more. It returns the last messages; send them before the process ends.
func (t *Tracker) FinishLeave(now time.Time) []Envelope {
	t.advanceClock(now)
	t.setOwnState(Left)
	for _, id := range t.ringNeighbours() {
		t.send(t.peers[id], t.composeHeartbeat(id, t.Timing.MaxChanges))
	}
	envelopes := t.outbox
	t.outbox = nil
	return envelopes
}

// setOwnState sets the state of this VM unless it is that bad already.
func (t *Tracker) setOwnState(s State) {
	if s <= t.Self.State {
		return
	}
	t.digest ^= memberDigest(t.Self)
	t.Self.State = s
	t.digest ^= memberDigest(t.Self)
	t.version++
	t.rosterVersion++
	t.floodPending = true
}

// Members returns a copy of all entries, this VM's included, sorted by id. Dead
// and left VMs are included until Timing.TombstoneTTL has passed.
func (t *Tracker) Members() []Member {
	members := make([]Member, 0, len(t.peers)+1)
	members = append(members, t.Self)
	for _, p := range t.peers {
		members = append(members, p.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Version returns a counter that grows with every change of what Members returns.
func (t *Tracker) Version() uint64 { return t.version }

// RosterVersion returns a counter that grows when a VM is added, removed or
// restarted, or changes its state or address, but not for changes of Incarnation,
// Revision and Isolated alone.
func (t *Tracker) RosterVersion() uint64 { return t.rosterVersion }

// ConfirmedAt returns when the last message that a peer answered was sent, or the
// time of the latest call while there is no other live VM. The time at which a
// message is received proves nothing, since the message may have been buffered
// while this process was paused.
func (t *Tracker) ConfirmedAt() time.Time {
	for _, p := range t.peers {
		if p.State.Live() {
			return t.confirmedAt
		}
	}
	return t.now
}

// advanceClock sets the current time and detects that the process was paused:
// probes in flight are dropped, and the pause does not count towards the age of
// the peers' states.
func (t *Tracker) advanceClock(now time.Time) {
	gap := Elapsed(t.now, now)
	if gap <= 0 {
		return
	}
	t.now = now
	if gap < t.Timing.PauseThreshold {
		return
	}
	clear(t.indirectProbes)
	clear(t.probeRequests)
	t.synced, t.wasPaused, t.startLists = false, true, 0
	t.resumedAt = now
	for _, p := range t.peers {
		p.noReplyAt = time.Time{}
		p.stateChangedAt = p.stateChangedAt.Add(gap)
	}
}

// ringNeighbours returns the ids of the live VMs that this one sends heartbeats
// to.
func (t *Tracker) ringNeighbours() []string {
	if !t.neighboursOutdated {
		return t.neighbours
	}
	t.neighboursOutdated = false
	nodes := make([]wqring.Node, 0, len(t.peers))
	for _, p := range t.peers {
		if p.State.Live() {
			nodes = append(nodes, wqring.Node{ID: p.ID, Region: p.Region})
		}
	}
	t.neighbours = t.Timing.Rings.Successors(wqring.Node{ID: t.Self.ID, Region: t.Self.Region}, nodes)
	return t.neighbours
}

// Elapsed returns the longer of the durations that the monotonic clock and the
// wall clock show between two times, because the monotonic clock may stop while
// the host pauses the VM.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// earlier returns the earlier of two times; a zero b means never.
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

// Member returns the entry of one VM, false when there is none.
func (t *Tracker) Member(id string) (Member, bool) {
	if id == t.Self.ID {
		return t.Self, true
	}
	p := t.peers[id]
	if p == nil {
		return Member{}, false
	}
	return p.Member, true
}
