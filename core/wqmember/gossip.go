package wqmember

import (
	"math/bits"
	"slices"
	"strings"
)

// pendingChange is the state of one VM that the next messages carry to peers
// (gossip).
type pendingChange struct {
	id          string
	sendsLeft   int  // number of messages that still carry it
	withAddress bool // send the whole entry, for receivers without an entry of the VM
	urgent      bool // send to all neighbours at once
	lowPriority bool // send only when a message has room left
}

const (
	floodChangesFactor = 4 // floodChangesFactor multiplies Timing.MaxChanges for the messages of a flood.
	knownDiscount      = 3 // knownDiscount is by how many messages sendsLeft falls when a peer sends the change back.
	maxLowPriority     = 2 // maxLowPriority is the maximum number of low-priority changes in one message.
)

// queueChange queues the state of a VM for the next messages. It is sent
// O(log n) times in a fleet of n VMs.
func (t *Tracker) queueChange(id string, c pendingChange) {
	c.id = id
	c.sendsLeft = 4 + bits.Len(uint(len(t.peers)))
	if previous := t.pendingChanges[id]; previous != nil {
		c.withAddress = c.withAddress || previous.withAddress
		c.lowPriority = c.lowPriority && previous.lowPriority
	}
	t.pendingChanges[id] = &c
	t.floodPending = t.floodPending || c.urgent
}

// discountChange reduces how often a change is still sent, since a peer sent it
// back and so has recorded it.
func (t *Tracker) discountChange(id string) {
	c := t.pendingChanges[id]
	if c == nil {
		return
	}
	c.sendsLeft -= knownDiscount
	if c.sendsLeft <= 0 {
		delete(t.pendingChanges, id)
	}
}

// flood sends urgent changes to all neighbours at once, at a bounded rate. An
// isolated VM, which includes one that joins, leaves this to the others, because
// its neighbours change with each VM that it discovers.
func (t *Tracker) flood() {
	if t.Self.Isolated {
		t.floodPending = false
	}
	if !t.floodPending || t.now.Before(t.nextFlood) {
		return
	}
	t.floodPending = false
	t.nextFlood = t.now.Add(t.Timing.FloodInterval)
	for _, id := range t.ringNeighbours() {
		if !t.allowExtraMessage() {
			t.floodPending = true
			return
		}
		t.send(t.peers[id], t.composeHeartbeat(id, floodChangesFactor*t.Timing.MaxChanges))
	}
}

// composeHeartbeat returns a heartbeat to a peer with at most limit queued
// changes. It requests the full list when the receiver is no known peer.
func (t *Tracker) composeHeartbeat(to string, limit int) Message {
	message := Message{From: t.Self, Digest: t.digest}
	p := t.peers[to]
	if p == nil {
		message.RequestsList = true
		return message
	}
	if p.knowsAddress {
		message.From = t.Self.withoutStaticFields()
	}
	if p.State != Alive {
		message.Changes = append(message.Changes, p.withoutStaticFields())
	}
	for _, c := range t.selectChanges(to, limit) {
		message.Changes = append(message.Changes, t.takeChange(c))
	}
	return message
}

// takeChange returns the entry to send for a change and decrements its
// sendsLeft.
func (t *Tracker) takeChange(c *pendingChange) Member {
	c.sendsLeft--
	if c.sendsLeft <= 0 {
		delete(t.pendingChanges, c.id)
	}
	member := t.peers[c.id].Member
	if c.withAddress {
		return member
	}
	return member.withoutStaticFields()
}

// selectChanges returns at most limit changes for one message, those with the
// most sends left first. At most maxLowPriority of low priority follow.
func (t *Tracker) selectChanges(to string, limit int) []*pendingChange {
	if len(t.pendingChanges) == 0 {
		return nil
	}
	selected := make([]*pendingChange, 0, len(t.pendingChanges))
	for id, c := range t.pendingChanges {
		if id != to && t.peers[id] != nil {
			selected = append(selected, c)
		}
	}
	slices.SortFunc(selected, func(a, b *pendingChange) int {
		if a.lowPriority != b.lowPriority {
			return orderIf(!a.lowPriority)
		}
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		return strings.Compare(a.id, b.id)
	})
	selected = selected[:min(len(selected), limit)]
	firstLowPriority := slices.IndexFunc(selected, func(c *pendingChange) bool { return c.lowPriority })
	if firstLowPriority >= 0 {
		selected = selected[:min(len(selected), firstLowPriority+maxLowPriority)]
	}
	return selected
}

// orderIf returns the result of a comparison: -1 when the first operand sorts
// before the second one, else 1.
func orderIf(before bool) int {
	if before {
		return -1
	}
	return 1
}

func compareIDs(a, b *peer) int { return strings.Compare(a.ID, b.ID) }
