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

const longestSleep = 200 * time.Millisecond // longestSleep bounds the time between two views.

// message is one event for the control loop; reply is set when it wants one.
type message struct {
	event wqcontrol.Event
	reply chan<- wqmember.Message
}

// handle is the control loop's step for a message: it alone changes the control
// state.
func (n *Node) handle(now time.Time, m message) {
	out := n.control.Handle(now, m.event)
	n.deliver(out.Heartbeats)
	if m.reply != nil {
		n.view.Store(n.control.View(now)) // What the reply says is in force before the peer reads it.
		m.reply <- out.HeartbeatReply
	}
}

// settle does what is due, publishes the view and returns when it is due again.
func (n *Node) settle(now time.Time) time.Time {
	out := n.control.Tick(now)
	n.deliver(out.Heartbeats)
	n.follow(out.ConfigActions)
	n.view.Store(n.control.View(now))
	latest := now.Add(longestSleep)
	if next := n.control.NextTick(); next.Before(latest) {
		return next
	}
	return latest
}

// deliver sends heartbeats, each on a goroutine of its own, which reports back
// whether it was answered.
func (n *Node) deliver(sends []wqmember.Envelope) {
	for _, s := range sends {
		n.delivering.Go(func() { n.deliverOne(s) })
	}
}

func (n *Node) deliverOne(s wqmember.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), n.timing.AckTimeout)
	defer cancel()
	reply, err := n.pool.PeerClient(s.To.Address).Heartbeat(ctx, wqheartbeat.Encode(s.Message))
	if err != nil {
		n.loop.TryPost(message{event: wqcontrol.HeartbeatFailed{Sent: s}})
		return
	}
	decoded, err := wqheartbeat.Decode(reply)
	if err != nil {
		n.Log.Warn("a heartbeat's reply is malformed; check the versions of the VMs", "peer", s.To.ID, "error", err)
		n.loop.TryPost(message{event: wqcontrol.HeartbeatFailed{Sent: s}})
		return
	}
	n.loop.TryPost(message{event: wqcontrol.HeartbeatAnswered{Sent: s, Reply: decoded}})
}

// follow carries out what the configuration asks for, each action on a
// goroutine of its own.
func (n *Node) follow(actions []wqconfig.Action) {
	for _, a := range actions {
		go n.act(a)
	}
}

// carryOut does one action and reports back how it ended.
func (n *Node) carryOut(ctx context.Context, a wqconfig.Action) {
	if e := n.follower.Execute(ctx, a); e != nil {
		n.loop.Post(ctx, message{event: wqcontrol.ConfigurationEvent{Event: e}})
	}
}

// submit hands a configuration that this VM's own swap made to the control loop.
func (n *Node) submit(ctx context.Context, e wqconfig.Event) bool {
	return n.loop.Post(ctx, message{event: wqcontrol.ConfigurationEvent{Event: e}})
}

// receive hands a peer's heartbeat to the control loop and waits for the reply.
func (n *Node) receive(ctx context.Context, m *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	decoded, err := wqheartbeat.Decode(m)
	if err != nil {
		return nil, err
	}
	reply := make(chan wqmember.Message, 1)
	if !n.loop.Post(ctx, message{event: wqcontrol.HeartbeatReceived{Message: decoded}, reply: reply}) {
		return nil, wqfault.New(wqfault.Leaving, "this VM has stopped", "take it out of the member list")
	}
	select {
	case r := <-reply:
		return wqheartbeat.Encode(r), nil
	case <-n.loop.Done():
		return nil, wqfault.New(wqfault.Leaving, "this VM has stopped", "take it out of the member list")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
