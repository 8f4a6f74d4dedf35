package wqcontroller

import (
	"context"
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtime"
)

// PeerTransport sends messages to other VMs. Its methods must not block; they
// pass the outcome to the controller later.
type PeerTransport interface {
	// SendHeartbeat sends a message. Its outcome is passed to HeartbeatAnswered
	// or HeartbeatFailed.
	SendHeartbeat(e wqmember.Envelope)
	// FetchItems fetches the items that changed after a store revision from a
	// peer and passes them to Deliver; a failure is not reported.
	FetchItems(peer wqmember.Member, afterRevision uint64)
}

// heartbeatEvent is a heartbeat from a peer, or the outcome of one sent to a
// peer.
type heartbeatEvent struct {
	sent    wqmember.Envelope // sent is the heartbeat that message answers; zero for one from a peer.
	message wqmember.Message
	failed  bool
	reply   chan<- wqmember.Message // reply receives the reply to a heartbeat from a peer; nil for an outcome.
}

// HeartbeatReceived handles a heartbeat from a peer and returns the reply. It
// reports false when ctx or the controller ends first.
func (c *Controller) HeartbeatReceived(ctx context.Context, m wqmember.Message) (wqmember.Message, bool) {
	reply := make(chan wqmember.Message, 1)
	if !c.loop.Post(ctx, message{heartbeat: &heartbeatEvent{message: m, reply: reply}}) {
		return wqmember.Message{}, false
	}
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
	case <-c.loop.Done():
	}
	return wqmember.Message{}, false
}

// HeartbeatAnswered records the reply to a heartbeat. The event is dropped when
// the message queue is full.
func (c *Controller) HeartbeatAnswered(e wqmember.Envelope, reply wqmember.Message) {
	c.loop.TryPost(message{heartbeat: &heartbeatEvent{sent: e, message: reply}})
}

// HeartbeatFailed records that a heartbeat was not answered in time. The event
// is dropped when the message queue is full.
func (c *Controller) HeartbeatFailed(e wqmember.Envelope) {
	c.loop.TryPost(message{heartbeat: &heartbeatEvent{sent: e, failed: true}})
}

// SetSeeds replaces the peer addresses that this VM contacts to find the fleet.
func (c *Controller) SetSeeds(ctx context.Context, addresses []string) {
	c.loop.Post(ctx, message{seeds: addresses})
}

func (c *Controller) setSeeds(now time.Time, addresses []string) {
	listed := make([]wqmember.ListedVM, 0, len(addresses))
	for _, a := range addresses {
		listed = append(listed, wqmember.ListedVM{ID: a, Address: a})
	}
	c.seedCount = len(listed)
	c.members.SetVMList(now, listed)
	c.updateFleetSize()
}

func (c *Controller) handleHeartbeat(now time.Time, h *heartbeatEvent) {
	switch {
	case h.failed:
		c.members.HandleNoReply(now, h.sent)
		return
	case h.reply != nil:
		h.reply <- c.members.HandleMessage(now, h.message)
	default:
		c.members.HandleReply(now, h.sent, h.message)
	}
	c.observePeer(now, h.message.From)
	c.fetchEarlierState(now, h.message.From)
}

// observePeer records the store revision that a peer reported.
func (c *Controller) observePeer(now time.Time, from wqmember.Member) {
	if from.Address == "" { // Neighbours omit the fields that their receivers have already.
		known, _ := c.members.Member(from.ID)
		from.Address, from.Zone = known.Address, known.Zone
	}
	c.catchup.ObservePeer(now, from, c.mirror.StoreRevision())
}

// fetchFromPeer starts a fetch from a peer with a newer revision if one is due.
func (c *Controller) fetchFromPeer(now time.Time) {
	storeRevision := c.mirror.StoreRevision()
	peer, ok := c.catchup.StartFetch(now, storeRevision, c.isWatcher)
	if !ok {
		return
	}
	c.Log.Info("fetching items from a peer", "peer", peer.ID, "zone", peer.Zone, "as_of", storeRevision, "peer_as_of", peer.Revision)
	c.Peers.FetchItems(peer, storeRevision)
}

// tickMembers sends the heartbeats and starts the fetch that are due, and
// returns the time of its next call.
func (c *Controller) tickMembers(now time.Time) time.Time {
	c.updateRoles(now)
	if c.hasNonWatchers {
		c.members.SetRevision(now, c.changeRevision) // Sends the revision to the neighbours at once.
	} else {
		c.members.Self.Revision = c.changeRevision
	}
	for _, e := range c.members.Tick(now) {
		c.Peers.SendHeartbeat(e)
	}
	c.fetchFromPeer(now)
	next := c.members.NextTick()
	if !c.rolesChosen {
		next = wqtime.Earlier(next, c.startedAt.Add(c.JoinDelay))
	}
	if due := c.catchup.NextFetchAt(now, c.mirror.StoreRevision(), c.isWatcher); !due.IsZero() {
		next = wqtime.Earlier(next, due)
	}
	return next
}

// updateRoles recomputes the fleet size and this VM's roles when the member list
// has changed.
func (c *Controller) updateRoles(now time.Time) {
	rosterChanged := c.rosterVersion != c.members.RosterVersion()
	if rosterChanged {
		c.rosterVersion = c.members.RosterVersion()
		c.updateLiveVMs()
		c.updateFleetSize()
	}
	c.chooseRoles(now, rosterChanged)
}

// updateFleetSize recounts the fleet.
func (c *Controller) updateFleetSize() {
	if size := c.countFleet(); size != c.fleetSize {
		c.Log.Info("fleet", "vms", size, "before", c.fleetSize)
		c.fleetSize, c.dirty = size, true
	}
}

// countFleet counts the VMs that share the fleet-wide limits. Unreachable VMs
// may still run and use their share, so only those that announced their end are
// left out.
func (c *Controller) countFleet() int {
	n := 0
	for _, m := range c.members.Members() {
		if m.State != wqmember.Left {
			n++
		}
	}
	return max(n, c.seedCount)
}

// noPeers drops all messages; it is the default transport.
type noPeers struct{}

// SendHeartbeat does nothing.
func (noPeers) SendHeartbeat(wqmember.Envelope) {}

// FetchItems does nothing.
func (noPeers) FetchItems(wqmember.Member, uint64) {}
