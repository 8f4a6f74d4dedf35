// Package wqconfigsync carries out the actions of a wqconfig.Syncer, which are
// calls to the configuration store and to peers, and returns their outcomes as
// events. It also builds the responses to peers.
//
// # Usage
//
//	e := &wqconfigsync.Executor[*wqstore.Client, *wqpeerpool.Pool]{Store: store, Peers: pool, FetchTimeout: time.Second, Log: log}
//	go func() { loop.Post(ctx, e.Execute(ctx, action)) }()
//	response, err := wqconfigsync.Respond(history, request)
//
// Execute blocks, so call it on a new goroutine for each action.
package wqconfigsync

import (
	"context"
	"log/slog"
	"time"

	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqhistory"
	"wisteriaquay/io/wqconfigstore"
	"wisteriaquay/io/wqdocument"
	"wisteriaquay/io/wqpb"
)

// PeerDialer returns the client of the VM at an address (host:port).
type PeerDialer interface {
	PeerClient(address string) wqpb.PeerService
}

// Executor carries out actions. It is safe for concurrent use.
type Executor[S wqconfigstore.KeyValueStore, P PeerDialer] struct {
	Store        *wqconfigstore.Store[S]
	Peers        P
	FetchTimeout time.Duration // FetchTimeout bounds each call to a peer.
	Log          *slog.Logger
}

// Execute carries out an action and returns its outcome. It returns nil for a
// wqconfig.Announce, which is sent with heartbeats instead.
func (e *Executor[S, P]) Execute(ctx context.Context, a wqconfig.Action) wqconfig.Event {
	switch a := a.(type) {
	case wqconfig.Fetch:
		return e.fetch(ctx, a)
	case wqconfig.ReadStore:
		return e.readStore(ctx, a)
	case wqconfig.WatchStore:
		return e.storeEvent(e.Store.Watch(ctx, a.AfterRevision, a.MaxWait))
	}
	return nil
}

func (e *Executor[S, P]) fetch(ctx context.Context, a wqconfig.Fetch) wqconfig.Event {
	ctx, cancel := context.WithTimeout(ctx, e.FetchTimeout)
	defer cancel()
	r, err := e.Peers.PeerClient(a.Peer.Address).Configuration(ctx, &wqpb.ConfigurationRequest{Revision: a.AfterRevision})
	if err != nil {
		e.Log.Warn("could not fetch the configuration from a peer", "peer", a.Peer.ID, "error", err)
		return wqconfig.FetchFailed{Peer: a.Peer.ID}
	}
	u, err := wqdocument.DecodeUpdate(wqdocument.EncodedUpdate{Revision: r.GetRevision(), Notes: r.GetNotes(), Full: r.GetTopology()})
	if err != nil {
		e.Log.Error("could not decode a peer's configuration; run the same release on all VMs", "peer", a.Peer.ID, "error", err)
		return wqconfig.FetchFailed{Peer: a.Peer.ID}
	}
	return wqconfig.FetchSucceeded{Peer: a.Peer.ID, Update: u}
}

func (e *Executor[S, P]) readStore(ctx context.Context, a wqconfig.ReadStore) wqconfig.Event {
	if a.Linearizable {
		return e.storeEvent(e.Store.ReadLinearizable(ctx))
	}
	return e.storeEvent(e.Store.Read(ctx))
}

func (e *Executor[S, P]) storeEvent(v wqconfigstore.Value, err error) wqconfig.Event {
	if err != nil {
		e.Log.Warn("could not read the configuration store", "error", err)
		return wqconfig.StoreCallFailed{}
	}
	return wqconfig.StoreCallSucceeded(v)
}

// Respond returns the part of the configuration that is newer than the revision
// in a peer's request.
func Respond(h *wqhistory.History, r *wqpb.ConfigurationRequest) (*wqpb.ConfigurationResponse, error) {
	u, err := wqdocument.EncodeUpdate(h.UpdateSince(r.GetRevision()))
	if err != nil {
		return nil, err
	}
	return &wqpb.ConfigurationResponse{Revision: u.Revision, Notes: u.Notes, Topology: u.Full}, nil
}
