package wqmember

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// mergeMessage merges the sender's entry and the changes of a message.
func (t *Tracker) mergeMessage(message Message) {
	t.applyChange(message.From, true)
	if p := t.peers[message.From.ID]; p != nil {
		p.receivedAt = t.now
	}
	for _, c := range message.Changes {
		t.applyChange(c, false)
	}
	t.compareDigest(message)
}

// applyChange merges one entry; fromSelf is true when the VM itself sent it.
func (t *Tracker) applyChange(c Member, fromSelf bool) {
	if c.ID == "" || c.State > Left {
		return
	}
	if c.ID == t.Self.ID {
		t.refute(c)
		return
	}
	p := t.peers[c.ID]
	if p == nil {
		t.addPeer(c, fromSelf)
		return
	}
	if c.overrides(p.Member) {
		t.updatePeer(p, c, fromSelf)
		return
	}
	if c.Revision > p.Revision && c.Incarnation == p.Incarnation {
		p.Revision = c.Revision
		t.version++
		t.queueChange(p.ID, pendingChange{lowPriority: true})
		return
	}
	if !fromSelf && c.State == p.State && c.Incarnation == p.Incarnation && c.Revision == p.Revision {
		t.discountChange(p.ID)
	}
}

// addPeer starts to track a VM. A dead or left one is kept as a tombstone, so
// that stale changes can't revive it, but not sent on, so that the tombstone
// expires.
func (t *Tracker) addPeer(c Member, fromSelf bool) {
	if len(t.peers) >= t.Timing.MaxMembers || (c.State.Live() && c.Address == "") {
		return
	}
	p := &peer{Member: c, liveChangedAt: t.now, stateChangedAt: t.now, addedDead: !c.State.Live()}
	t.peers[c.ID] = p
	t.digest ^= memberDigest(c)
	t.version++
	t.rosterVersion++
	if !c.State.Live() {
		return
	}
	t.neighboursOutdated = true
	t.queueChange(c.ID, pendingChange{withAddress: true})
	if fromSelf {
		t.markReplaced(p)
	}
}

// updatePeer replaces the entry of a peer by one that overrides it, and queues
// the change.
func (t *Tracker) updatePeer(p *peer, c Member, fromSelf bool) {
	restarted := c.Epoch != p.Epoch
	before := p.Member
	if c.Address == "" {
		c.Address, c.Zone, c.Region, c.Capacity = p.Address, p.Zone, p.Region, p.Capacity
	}
	if c.State.Live() && c.Address == "" {
		return
	}
	c.Revision = max(c.Revision, revisionOfSameProcess(before, c))
	t.digest ^= memberDigest(before)
	p.Member = c
	t.digest ^= memberDigest(c)
	p.addedDead = false
	t.version++
	if rosterEntry(c) != rosterEntry(before) {
		t.rosterVersion++
	}
	if c.State != before.State {
		p.stateChangedAt = t.now
	}
	if c.State.Live() != before.State.Live() {
		p.liveChangedAt = t.now
		t.neighboursOutdated = true
	}
	if restarted {
		p.knowsAddress = false
	}
	t.queueChange(c.ID, pendingChange{withAddress: restarted || !before.State.Live(), urgent: c.State != before.State})
	if fromSelf && restarted {
		t.markReplaced(p)
	}
}

// rosterEntry returns c without the fields whose changes RosterVersion does not
// count.
func rosterEntry(c Member) Member {
	c.Incarnation, c.Revision, c.Isolated = 0, 0, false
	return c
}

// revisionOfSameProcess returns the revision of before, or 0 when the process was
// restarted.
func revisionOfSameProcess(before, after Member) uint64 {
	if before.Epoch != after.Epoch {
		return 0
	}
	return before.Revision
}

// markReplaced marks the VMs with an older epoch at the address of p as left:
// another process answers there, so theirs has ended.
func (t *Tracker) markReplaced(p *peer) {
	for _, o := range t.peers {
		if o.ID != p.ID && o.Address == p.Address && o.State != Left && o.Epoch < p.Epoch {
			c := o.Member
			c.State = Left
			t.updatePeer(o, c, false)
		}
	}
}

// refute raises the incarnation when a peer reports a worse state of this VM or
// an entry of another process with its id.
func (t *Tracker) refute(c Member) {
	stale := c.Incarnation < t.Self.Incarnation
	consistent := c.Epoch == t.Self.Epoch && c.State <= t.Self.State && c.State != Suspect
	if stale || (consistent && c.Incarnation == t.Self.Incarnation) {
		return
	}
	t.raiseIncarnation(c.Incarnation)
	t.floodPending = true
}

// raiseIncarnation sets an incarnation above both floor and the current one.
func (t *Tracker) raiseIncarnation(floor uint64) {
	t.Self.Incarnation = max(floor, t.Self.Incarnation) + 1
	t.incarnationRaisedAt = t.now
	t.version++
}

// memberDigest returns the hash of one VM; the digest of a list is the XOR of
// them. Suspicion and incarnation are left out, so that digests agree soon after
// a change.
func memberDigest(c Member) uint64 {
	if !c.State.Live() {
		return 0
	}
	state := "+"
	if c.State == Leaving {
		state = "-"
	}
	return xxhash.Sum64String(c.ID + state + strconv.FormatUint(c.Epoch, 36))
}
