// Package wqoperatorservice handles the calls of operators: it accepts release
// notes and reports the state of the fleet.
//
// A note is accepted when the compare-and-swap of the configuration's key
// succeeds. When the reply to a swap is missing, the configuration is read again
// and searched for the note's id, so that a note is never applied twice. While
// the store is down nothing is accepted; the operator publishes again with the
// same id. A note is rejected as invalid only after a linearizable read.
//
// # Usage
//
//	h := &wqoperatorservice.Handler[*wqstore.Client, *wqpeerpool.Pool]{
//		Store: store, Peers: pool, View: node.View, PostEvent: node.Submit, Authorize: credentials.AuthorizeOperator,
//		StoreReachable: node.StoreReachable,
//	}
//	mux.Handle(wqpbconnect.NewOperatorServiceHandler(h))
//
// Every call needs a credential that Authorize accepts.
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

// How long Publish waits until a note is in force on all VMs.
const (
	defaultWait = 7 * time.Second // defaultWait is used when wait_millis is 0.
	maxWait     = time.Minute
)

// Handler serves wqpbconnect.OperatorServiceHandler. Set all fields before use;
// it is safe for concurrent use.
type Handler[S wqconfigstore.KeyValueStore, P wqconfigsync.PeerDialer] struct {
	Store          *wqconfigstore.Store[S]
	Peers          P
	View           func() *wqview.View
	PostEvent      func(ctx context.Context, e wqconfig.Event) bool // PostEvent passes an event to the control goroutine.
	Authorize      func(authorization string) error                 // Authorize checks the Authorization header; its error is a wqfault.Denied.
	StoreReachable func() bool
}

// Publish accepts a release note and waits until it is in force on all VMs, or
// until the requested time is over; the response counts the VMs.
func (h *Handler[S, P]) Publish(ctx context.Context, r *connect.Request[wqpb.PublishRequest]) (*connect.Response[wqpb.PublishResponse], error) {
	if err := h.Authorize(r.Header().Get("Authorization")); err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	wait := time.Duration(r.Msg.GetWaitMillis()) * time.Millisecond
	if wait > maxWait {
		return nil, wqconnecterror.Encode(wqfault.New(wqfault.BadInput, "wait_millis is over 60000", "use 0 to 60000"))
	}
	if wait == 0 {
		wait = defaultWait
	}
	n, err := wqdocument.DecodeNote(r.Msg.GetNote())
	if err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	a := &acceptor[S]{store: h.Store, note: n, minRevision: h.revisionInForce()}
	accepted, err := a.accept(ctx)
	if err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	h.PostEvent(ctx, wqconfig.NoteAccepted{History: accepted.value.History, StoreRevision: accepted.value.Revision})
	p := h.waitUntilInForce(ctx, accepted.revision, wait)
	return connect.NewResponse(&wqpb.PublishResponse{
		Revision:       accepted.revision,
		AcceptedBefore: accepted.alreadyAccepted,
		VmsInForce:     p.inForce,
		VmsTotal:       p.total,
		VmsNotHeard:    p.missing,
	}), nil
}

// revisionInForce returns the configuration's revision in force on this VM, 0 for
// none.
func (h *Handler[S, P]) revisionInForce() uint64 {
	v := h.View()
	if v == nil || v.Index == nil {
		return 0
	}
	return v.Index.Topology.Revision
}
