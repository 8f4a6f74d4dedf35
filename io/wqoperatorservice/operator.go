// Package wqoperatorservice serves the operators: it accepts release notes and tells
// the state of the fleet.
//
// A note is accepted when the swap of the head key succeeds. When the reply to
// a swap is lost, the head is read again and searched for the note's id, so
// that a note is never applied twice. While the store is down nothing is
// accepted; the operator publishes again with the same id. A refusal is only
// given against a configuration that the store has proved to be its newest.
//
// # Usage
//
//	o := &wqoperatorservice.Handler[*wqstore.Client, *wqpeerpool.Pool]{
//		Head: head, Peers: pool, View: node.View, Submit: node.Submit, Check: keys.CheckOperator,
//		StoreReachable: node.StoreReachable,
//	}
//	mux.Handle(wqpbconnect.NewOperatorServiceHandler(o))
//
// Every call needs a credential that Check accepts.
package wqoperatorservice

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqconfigstore"
	"wisteriaquay/io/wqconfigsync"
	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqdocument"
	"wisteriaquay/io/wqpb"
)

// Bounds of the wait until a note is in force.
const (
	defaultWait = 7 * time.Second
	longestWait = time.Minute
)

// Handler answers operators. Set all fields before use; it is safe for
// concurrent use.
type Handler[S wqconfigstore.KeyValueStore, P wqconfigsync.PeerDialer] struct {
	Store          *wqconfigstore.Store[S]
	Peers          P
	View           func() *wqview.View
	PostEvent      func(ctx context.Context, e wqconfig.Event) bool // PostEvent hands an accepted configuration to the control loop.
	Authorize      func(authorization string) error                 // Authorize returns a wqfault.Denied unless the credential is valid.
	StoreReachable func() bool
}

// Publish accepts a release note and waits until it is in force.
func (o *Handler[S, P]) Publish(ctx context.Context, r *connect.Request[wqpb.PublishRequest]) (*connect.Response[wqpb.PublishResponse], error) {
	if err := o.Authorize(r.Header().Get("Authorization")); err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	wait := time.Duration(r.Msg.GetWaitMillis()) * time.Millisecond
	if wait > longestWait {
		return nil, wqconnecterror.Encode(wqfault.New(wqfault.BadInput, "wait_millis is over 60000", "use 0 to 60000"))
	}
	if wait == 0 {
		wait = defaultWait
	}
	n, err := wqdocument.DecodeNote(r.Msg.GetNote())
	if err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	t := &try[S]{head: o.Store, note: n, floor: o.revision()}
	made, err := t.accept(ctx)
	if err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	o.PostEvent(ctx, wqconfig.NoteAccepted{History: made.value.History, StoreRevision: made.value.Revision})
	p := o.waitInForce(ctx, made.revision, wait)
	return connect.NewResponse(&wqpb.PublishResponse{
		Revision:       made.revision,
		AcceptedBefore: made.before,
		VmsInForce:     p.inForce,
		VmsTotal:       p.total,
		VmsNotHeard:    p.missing,
	}), nil
}

// revision returns the revision in force on this VM, 0 for none.
func (o *Handler[S, P]) revision() uint64 {
	v := o.View()
	if v == nil || v.Index == nil {
		return 0
	}
	return v.Index.Topology.Revision
}
