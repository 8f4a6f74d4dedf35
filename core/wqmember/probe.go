package wqmember

import (
	"slices"
	"time"
)

// indirectProbe is the probe, through other VMs, of a VM that missed a heartbeat.
type indirectProbe struct {
	failedAt    time.Time
	deadline    time.Time
	incarnation uint64 // of the VM at failedAt
}

// probeRequest is the request of another VM to probe a peer for it.
type probeRequest struct {
	requesterID string
	deadline    time.Time
}

const (
	maxProbeRequests = 16 // maxProbeRequests is the maximum number of VMs that are probed for others at one time.
	joinContacts     = 3  // joinContacts is how many VMs a joining VM contacts per HeartbeatInterval.

	listEntryBurst = 20_000 // listEntryBurst is how many entries of full lists may be sent at once.
	listEntryRate  = 20_000 // listEntryRate is the refill rate of the bucket in entries per second.

	extraBurst = 64 // extraBurst is the token bucket's size: how many messages besides the periodic ones may be sent at once.
	extraRate  = 16 // extraRate is the token bucket's refill rate in messages per second.
)

// sendHeartbeat sends one heartbeat per Timing.HeartbeatInterval, to the
// neighbour whose last exchange is the longest ago. Received messages count as
// an exchange, so that the VMs that monitor a neighbour share the work evenly.
func (t *Tracker) sendHeartbeat() {
	if t.now.Before(t.nextHeartbeat) {
		return
	}
	t.nextHeartbeat = t.now.Add(t.Timing.HeartbeatInterval)
	t.removeTombstones()
	var longestIdle *peer
	for _, id := range t.ringNeighbours() {
		if p := t.peers[id]; longestIdle == nil || p.exchangedAt().Before(longestIdle.exchangedAt()) {
			longestIdle = p
		}
	}
	if longestIdle != nil {
		longestIdle.heartbeatSentAt = t.now
		t.send(longestIdle, t.composeHeartbeat(longestIdle.ID, t.Timing.MaxChanges))
	}
}

// exchangedAt returns when a message was last received from the peer or a
// heartbeat last sent to it.
func (p *peer) exchangedAt() time.Time {
	if p.heartbeatSentAt.After(p.receivedAt) {
		return p.heartbeatSentAt
	}
	return p.receivedAt
}

// send queues a message to a peer.
func (t *Tracker) send(p *peer, message Message) {
	t.outbox = append(t.outbox, Envelope{To: p.Member, QueuedAt: t.now, Message: message})
}

// allowExtraMessage takes a token for a message besides the periodic ones, and
// reports whether there was one. This bounds the messages that a VM sends when
// many others fail at once.
func (t *Tracker) allowExtraMessage() bool {
	t.extraTokens = min(extraBurst, t.extraTokens+extraRate*t.now.Sub(t.extraTokensAt).Seconds())
	t.extraTokensAt = t.now
	if t.extraTokens < 1 {
		return false
	}
	t.extraTokens--
	return true
}

// probeIndirectly requests other VMs to probe a peer that missed a heartbeat.
func (t *Tracker) probeIndirectly(p *peer) {
	if _, exists := t.indirectProbes[p.ID]; exists || p.State == Suspect {
		return
	}
	var helpers []*peer
	if !t.Self.Isolated {
		helpers = t.randomHelpers(p.ID)
	}
	timeout := t.Timing.IndirectProbeTimeout
	if len(t.peers) == 1 {
		timeout = 0
	}
	t.indirectProbes[p.ID] = indirectProbe{t.now, t.now.Add(timeout), p.Incarnation}
	for _, h := range helpers {
		if !t.allowExtraMessage() {
			return
		}
		message := t.composeHeartbeat(h.ID, t.Timing.MaxChanges)
		message.ProbeID = p.ID
		t.send(h, message)
	}
}

// randomHelpers returns up to Timing.IndirectProbeCount alive peers, chosen at
// random.
func (t *Tracker) randomHelpers(exceptID string) []*peer {
	var live []*peer
	for _, p := range t.peers {
		if p.State == Alive && p.ID != exceptID {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, compareIDs)
	t.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), t.Timing.IndirectProbeCount)]
}

// handleProbeRequest probes a VM for another one. When the VM to probe is this
// one, it raises its incarnation to refute the suspicion.
func (t *Tracker) handleProbeRequest(requesterID, probeID string) {
	if probeID == t.Self.ID {
		if t.now.Sub(t.incarnationRaisedAt) > t.Timing.IndirectProbeTimeout {
			t.raiseIncarnation(t.Self.Incarnation)
		}
		return
	}
	p := t.peers[probeID]
	if p == nil || !p.State.Live() || len(t.probeRequests) >= maxProbeRequests || !t.allowExtraMessage() {
		return
	}
	t.probeRequests[probeID] = append(t.probeRequests[probeID], probeRequest{requesterID, t.now.Add(t.Timing.IndirectProbeTimeout)})
	message := t.composeHeartbeat(probeID, t.Timing.MaxChanges)
	message.ProbeID = probeID
	t.send(p, message)
}

// answerProbeRequests reports to the requesters that the probed VM answered.
func (t *Tracker) answerProbeRequests(probedID string) {
	requests := t.probeRequests[probedID]
	delete(t.probeRequests, probedID)
	probed := t.peers[probedID]
	for _, r := range requests {
		p := t.peers[r.requesterID]
		if p == nil || probed == nil || t.now.After(r.deadline) || !t.allowExtraMessage() {
			continue
		}
		message := t.composeHeartbeat(r.requesterID, t.Timing.MaxChanges)
		message.Changes = append([]Member{probed.withoutStaticFields()}, message.Changes...)
		t.send(p, message)
	}
}

// expireProbes marks the VMs that no helper reached in time as unreachable, and
// drops the probe requests of other VMs that expired.
func (t *Tracker) expireProbes() {
	for id, requests := range t.probeRequests {
		if t.now.After(requests[0].deadline) {
			delete(t.probeRequests, id)
		}
	}
	for id, probe := range t.indirectProbes {
		if t.now.Before(probe.deadline) {
			continue
		}
		delete(t.indirectProbes, id)
		p := t.peers[id]
		if p == nil || p.Incarnation > probe.incarnation || p.receivedAt.After(probe.failedAt) {
			continue
		}
		t.markUnreachable(p)
	}
}

// markUnreachable marks a VM that no helper reached as suspect. A leaving one is
// marked dead immediately, since it would not refute the suspicion.
func (t *Tracker) markUnreachable(p *peer) {
	if p.State == Leaving {
		t.worsenState(p, Dead)
		return
	}
	t.worsenState(p, Suspect)
}

// expireSuspicions marks the VMs that did not refute within
// Timing.SuspicionTimeout as dead. An isolated VM marks none: more likely it is
// itself unreachable.
func (t *Tracker) expireSuspicions() {
	if t.Self.Isolated {
		return
	}
	for _, p := range t.peers {
		if p.State == Suspect && !t.now.Before(p.stateChangedAt.Add(t.Timing.SuspicionTimeout)) {
			t.worsenState(p, Dead)
		}
	}
}

// firstSuspicionDeadline returns when the next suspicion expires, the zero time
// when none does.
func (t *Tracker) firstSuspicionDeadline() time.Time {
	var first time.Time
	if t.Self.Isolated {
		return first
	}
	for _, p := range t.peers {
		if p.State != Suspect {
			continue
		}
		deadline := p.stateChangedAt.Add(t.Timing.SuspicionTimeout)
		if first.IsZero() || deadline.Before(first) {
			first = deadline
		}
	}
	return first
}

// worsenState sets the state of a peer unless it is that bad already.
func (t *Tracker) worsenState(p *peer, s State) {
	if p.State >= s {
		return
	}
	c := p.Member
	c.State = s
	t.updatePeer(p, c, false)
}

// removeTombstones removes the dead and left VMs after Timing.TombstoneTTL.
func (t *Tracker) removeTombstones() {
	for id, p := range t.peers {
		if !p.State.Live() && t.now.Sub(p.stateChangedAt) > t.Timing.TombstoneTTL {
			delete(t.peers, id)
			delete(t.pendingChanges, id)
			t.version++
			t.rosterVersion++
		}
	}
}
