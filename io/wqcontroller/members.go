package wqcontroller

import (
	"context"
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtime"
)

// PeerTransport carries messages to other VMs. Both calls return at once; what comes
// back is handed to the keeper.
type PeerTransport interface {
	// SendHeartbeat sends a message; Answered or Failed tells how that ended.
	SendHeartbeat(s wqmember.Envelope)
	// FetchItems asks a peer for what it knows beyond a revision and delivers it.
	FetchItems(from wqmember.Member, after uint64)
}

// heartbeat is a peer's message, or how one to a peer ended.
type heartbeat struct {
	sent    wqmember.Envelope
	message wqmember.Message
	failed  bool
	reply   chan<- wqmember.Message // reply is set for a peer's message.
}

// HeartbeatReceived hands a peer's message to the control goroutine and returns the reply.
func (k *Controller) HeartbeatReceived(ctx context.Context, m wqmember.Message) (wqmember.Message, bool) {
	reply := make(chan wqmember.Message, 1)
	if !k.loop.Post(ctx, message{heartbeat: &heartbeat{message: m, reply: reply}}) {
		return wqmember.Message{}, false
	}
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
	case <-k.loop.Done():
	}
	return wqmember.Message{}, false
}

// HeartbeatAnswered notes the reply to a heartbeat.
func (k *Controller) HeartbeatAnswered(s wqmember.Envelope, reply wqmember.Message) {
	k.loop.TryPost(message{heartbeat: &heartbeat{sent: s, message: reply}})
}

// HeartbeatFailed notes that a heartbeat was not answered.
func (k *Controller) HeartbeatFailed(s wqmember.Envelope) {
	k.loop.TryPost(message{heartbeat: &heartbeat{sent: s, failed: true}})
}

// SetSeeds names addresses where other VMs may be.
func (k *Controller) SetSeeds(ctx context.Context, addresses []string) {
	k.loop.Post(ctx, message{seeds: addresses})
}

func (k *Controller) seed(now time.Time, addresses []string) {
	listed := make([]wqmember.ListedVM, 0, len(addresses))
	for _, a := range addresses {
		listed = append(listed, wqmember.ListedVM{ID: a, Address: a})
	}
	k.seeds = len(listed)
	k.members.SetVMList(now, listed)
	k.recount()
}

func (k *Controller) beat(now time.Time, h *heartbeat) {
	switch {
	case h.failed:
		k.members.HandleNoReply(now, h.sent)
		return
	case h.reply != nil:
		h.reply <- k.members.HandleMessage(now, h.message)
	default:
		k.members.HandleReply(now, h.sent, h.message)
	}
	k.compare(now, h.message.From)
}

// compare notes what a peer knows.
func (k *Controller) compare(now time.Time, from wqmember.Member) {
	if from.Address == "" { // Neighbours leave out what is known of them.
		known, _ := k.members.Member(from.ID)
		from.Address, from.Zone = known.Address, known.Zone
	}
	k.lag.ObservePeer(now, from, k.mirror.AsOf())
}

// catchUp asks a peer that is ahead, if one is to be asked.
func (k *Controller) catchUp(now time.Time) {
	asOf := k.mirror.AsOf()
	peer, ok := k.lag.StartFetch(now, asOf, k.watches)
	if !ok {
		return
	}
	k.Log.Info("asking a peer", "peer", peer.ID, "zone", peer.Zone, "as_of", asOf, "peer_as_of", peer.Revision)
	k.Peers.FetchItems(peer, asOf)
}

// beats sends the heartbeats that are due and returns when the next ones are.
func (k *Controller) beats(now time.Time) time.Time {
	k.followRoster(now)
	if k.crowd {
		k.members.SetRevision(now, k.told) // Tells the neighbours at once.
	} else {
		k.members.Self.Revision = k.told
	}
	for _, s := range k.members.Tick(now) {
		k.Peers.SendHeartbeat(s)
	}
	k.catchUp(now)
	next := k.members.NextTick()
	if !k.chosen {
		next = wqtime.Earlier(next, k.startedAt.Add(k.JoinDelay))
	}
	if due := k.lag.NextFetchAt(now, k.mirror.AsOf(), k.watches); !due.IsZero() {
		next = wqtime.Earlier(next, due)
	}
	return next
}

// followRoster works out what depends on which VMs there are, when that changes.
func (k *Controller) followRoster(now time.Time) {
	moved := k.rosterAt != k.members.RosterVersion()
	if moved {
		k.rosterAt = k.members.RosterVersion()
		k.recount()
	}
	k.chooseRoles(now, moved)
}

// recount notices that the fleet's size has changed.
func (k *Controller) recount() {
	if fleet := k.countFleet(); fleet != k.fleet {
		k.Log.Info("fleet", "vms", fleet, "before", k.fleet)
		k.fleet, k.dirty = fleet, true
	}
}

// countFleet counts the VMs that may use a share of what holds for all: those
// that are out of reach may run on, so only those that said they ended do not
// count.
func (k *Controller) countFleet() int {
	n := 0
	for _, m := range k.members.Members() {
		if m.State != wqmember.Left {
			n++
		}
	}
	return max(n, k.seeds)
}

// nobody is the Peers of a VM that is alone.
type nobody struct{}

// SendHeartbeat does nothing.
func (nobody) SendHeartbeat(wqmember.Envelope) {}

// FetchItems does nothing.
func (nobody) FetchItems(wqmember.Member, uint64) {}
