package wqnode

import (
	"context"
	"time"

	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqcontrol"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqpb"
)

const maxTickInterval = 200 * time.Millisecond // maxTickInterval bounds the time between two ticks, and so the age of the published view.

// message is one event for the control loop. A non-nil reply receives the
// message that answers the event.
type message struct {
	event wqcontrol.Event
	reply chan<- wqmember.Message
}

// handleEvent applies one event to the control state. It runs on the control
// loop's goroutine only.
func (n *Node) handleEvent(now time.Time, m message) {
	output := n.control.Handle(now, m.event)
	n.sendHeartbeats(output.Heartbeats)
	if m.reply != nil {
		n.view.Store(n.control.View(now)) // Publish the new state before the peer can act on the reply.
		m.reply <- output.HeartbeatReply
	}
}

// tick runs the timers that have expired, publishes the view and returns the time
// of the next tick. It runs on the control loop's goroutine only.
func (n *Node) tick(now time.Time) time.Time {
	output := n.control.Tick(now)
	n.sendHeartbeats(output.Heartbeats)
	n.startConfigActions(output.ConfigActions)
	n.view.Store(n.control.View(now))
	maxNext := now.Add(maxTickInterval)
	if next := n.control.NextTick(); next.Before(maxNext) {
		return next
	}
	return maxNext
}

// sendHeartbeats sends each heartbeat on its own goroutine, which posts the reply
// or the failure to the control loop.
func (n *Node) sendHeartbeats(envelopes []wqmember.Envelope) {
	for _, s := range envelopes {
		n.heartbeatsInFlight.Go(func() { n.sendHeartbeat(s) })
	}
}

func (n *Node) sendHeartbeat(s wqmember.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), n.timing.AckTimeout)
	defer cancel()
	reply, err := n.peerPool.PeerClient(s.To.Address).Heartbeat(ctx, wqheartbeat.Encode(s.Message))
	if err != nil {
		n.loop.TryPost(message{event: wqcontrol.HeartbeatFailed{Sent: s}})
		return
	}
	decoded, err := wqheartbeat.Decode(reply)
	if err != nil {
		n.Log.Warn("malformed heartbeat reply; run the same release on all VMs", "peer", s.To.ID, "error", err)
		n.loop.TryPost(message{event: wqcontrol.HeartbeatFailed{Sent: s}})
		return
	}
	n.loop.TryPost(message{event: wqcontrol.HeartbeatAnswered{Sent: s, Reply: decoded}})
}

// startConfigActions runs each action of the configuration syncer on its own
// goroutine.
func (n *Node) startConfigActions(actions []wqconfig.Action) {
	for _, a := range actions {
		go n.runConfigAction(a)
	}
}

// executeConfigAction runs one action and posts its result to the control loop.
func (n *Node) executeConfigAction(ctx context.Context, a wqconfig.Action) {
	if e := n.configExecutor.Execute(ctx, a); e != nil {
		n.loop.Post(ctx, message{event: wqcontrol.ConfigurationEvent{Event: e}})
	}
}

// postConfigEvent posts the result of a compare-and-swap that an operator's call
// made on this VM. It returns false when the loop has ended or ctx ends first.
func (n *Node) postConfigEvent(ctx context.Context, e wqconfig.Event) bool {
	return n.loop.Post(ctx, message{event: wqcontrol.ConfigurationEvent{Event: e}})
}

// handleHeartbeat posts a peer's heartbeat to the control loop and waits for the
// reply. It returns a BadInput fault for a malformed heartbeat, a Leaving fault
// once this VM has stopped, and ctx.Err() when ctx ends.
func (n *Node) handleHeartbeat(ctx context.Context, m *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	decoded, err := wqheartbeat.Decode(m)
	if err != nil {
		return nil, err
	}
	reply := make(chan wqmember.Message, 1)
	if !n.loop.Post(ctx, message{event: wqcontrol.HeartbeatReceived{Message: decoded}, reply: reply}) {
		return nil, wqfault.New(wqfault.Leaving, "this VM has stopped", "remove it from the member list")
	}
	select {
	case r := <-reply:
		return wqheartbeat.Encode(r), nil
	case <-n.loop.Done():
		return nil, wqfault.New(wqfault.Leaving, "this VM has stopped", "remove it from the member list")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
