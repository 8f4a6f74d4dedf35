package wqmember

import (
	"slices"
	"strings"
	"time"
)

// compareDigest requests a peer's full list (anti-entropy) when its digest has
// differed for Timing.SyncDelay.
func (t *Tracker) compareDigest(message Message) {
	p := t.peers[message.From.ID]
	if p == nil {
		return
	}
	if message.Digest == t.digest {
		p.digestDiffersSince = time.Time{}
		return
	}
	if p.digestDiffersSince.IsZero() {
		p.digestDiffersSince = t.now
	}
	if t.now.Sub(p.digestDiffersSince) >= t.Timing.SyncDelay {
		t.requestList(p)
	}
}

// requestList requests a peer's full list, at a rate that falls with the list's
// length.
func (t *Tracker) requestList(p *peer) {
	if t.now.Before(t.nextListRequest) {
		return
	}
	t.nextListRequest = t.now.Add(max(t.Timing.HeartbeatInterval, t.minListInterval()))
	p.digestDiffersSince = time.Time{}
	message := t.composeHeartbeat(p.ID, t.Timing.MaxChanges)
	message.RequestsList = true
	t.send(p, message)
}

// minListInterval returns the minimum time between two requests of a full list.
func (t *Tracker) minListInterval() time.Duration {
	return time.Duration(len(t.peers)) * t.Timing.SyncIntervalPerMember
}

// allowListReply reports whether a full list may be sent now: a burst of
// listReplyBurst, then one per Timing.HeartbeatInterval.
func (t *Tracker) allowListReply() bool {
	fullBurst := t.now.Add(-listReplyBurst * t.Timing.HeartbeatInterval)
	if t.nextListReply.Before(fullBurst) {
		t.nextListReply = fullBurst
	}
	if t.nextListReply.After(t.now) {
		return false
	}
	t.nextListReply = t.nextListReply.Add(t.Timing.HeartbeatInterval)
	return true
}

// fullList returns a message with all other VMs. Those that were dead or had left
// when they were added are omitted; otherwise VMs would pass tombstones on to
// each other forever.
func (t *Tracker) fullList() Message {
	list := make([]Member, 0, len(t.peers))
	for _, p := range t.peers {
		if !p.addedDead {
			list = append(list, p.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return Message{From: t.Self, Digest: t.digest, Changes: list, Full: true}
}

// queueMissing queues the entries that are missing from the full list of a peer
// or are older there.
func (t *Tracker) queueMissing(list Message) {
	entries := make(map[string]Member, len(list.Changes))
	for _, c := range list.Changes {
		entries[c.ID] = c
	}
	for id, p := range t.peers {
		entry, found := entries[id]
		if id == list.From.ID || (!found && !p.State.Live()) {
			continue
		}
		if !found || p.overrides(entry) {
			t.queueChange(id, pendingChange{withAddress: true})
		}
	}
}

// introduce sends a peer the full list, and with each message this VM's whole
// entry until the peer answers.
func (t *Tracker) introduce(id string) {
	p := t.peers[id]
	if p == nil {
		return
	}
	p.knowsAddress = false
	if t.allowListReply() {
		t.send(p, t.fullList())
	}
}
