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

// requestListAfterStart requests a full list at growing intervals after the start or
// a pause, until a list was received for each of them. When many VMs start together,
// the first list holds only those that were known by then, and heartbeats alone take
// long to carry the others.
func (t *Tracker) requestListAfterStart() {
	if due := t.startListAt(); due.IsZero() || t.now.Before(due) {
		return
	}
	t.nextStartList = t.now.Add(t.Timing.AckTimeout)
	if p := t.startListSource(); p != nil {
		message := t.composeHeartbeat(p.ID, t.Timing.MaxChanges)
		message.RequestsList = true
		t.send(p, message)
	}
}

// startListAt returns when requestListAfterStart sends its next request, the zero
// time for never.
func (t *Tracker) startListAt() time.Time {
	if !t.synced || t.startLists >= len(t.Timing.StartListDelays) {
		return time.Time{}
	}
	return later(t.resumedAt.Add(t.Timing.StartListDelays[t.startLists]), t.nextStartList)
}

// countStartList records a full list for all delays that have passed.
func (t *Tracker) countStartList() {
	delays := t.Timing.StartListDelays
	for t.startLists < len(delays) && !t.now.Before(t.resumedAt.Add(delays[t.startLists])) {
		t.startLists++
	}
}

// startListSource returns the VM to request a list from after the start: a listed
// one, as all VMs contact these first, or any other live one; nil when there is none.
func (t *Tracker) startListSource() *peer {
	var listed, others []*peer
	for _, p := range t.peers {
		switch {
		case p.State != Alive:
		case slices.ContainsFunc(t.vmList, func(l ListedVM) bool { return l.Address == p.Address }):
			listed = append(listed, p)
		default:
			others = append(others, p)
		}
	}
	if len(listed) == 0 {
		listed = others
	}
	if len(listed) == 0 {
		return nil
	}
	slices.SortFunc(listed, compareIDs)
	return listed[t.Random.IntN(len(listed))]
}

// replyToListRequest turns a reply into a full list. A peer with the same digest has
// the list already, so the reply stays short.
func (t *Tracker) replyToListRequest(reply, request Message) Message {
	switch {
	case request.Digest == t.digest:
		reply.Full = true
	case t.allowListReply():
		return t.fullList()
	}
	return reply
}

// allowListReply reports whether the full list may be sent now, and takes its
// entries from a token bucket: the lists of VMs that have just started are short.
func (t *Tracker) allowListReply() bool {
	t.listTokens = min(listEntryBurst, t.listTokens+listEntryRate*t.now.Sub(t.listTokensAt).Seconds())
	t.listTokensAt = t.now
	if t.listTokens < 0 {
		return false
	}
	t.listTokens -= float64(len(t.peers) + 1)
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
