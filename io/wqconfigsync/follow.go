// Package wqconfigsync does for a wqconfig.Syncer what it asks for: calls to the
// store and to peers. It also answers the peers' calls.
//
// # Usage
//
//	f := &wqconfigsync.Executor[*wqstore.Client, *wqpeerpool.Pool]{Head: head, Peers: pool, FetchTimeout: time.Second, Log: log}
//	go func() { loop.Post(ctx, f.Do(ctx, action)) }()
//	response, err := wqconfigsync.Respond(history, request)
//
// Do blocks, so call it on a goroutine of its own for each action.
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

// PeerDialer gives the client of the VM at an address.
type PeerDialer interface {
	PeerClient(address string) wqpb.PeerService
}

// Executor carries out actions. It is safe for concurrent use.
type Executor[S wqconfigstore.KeyValueStore, P PeerDialer] struct {
	Store        *wqconfigstore.Store[S]
	Peers        P
	FetchTimeout time.Duration // FetchTimeout bounds one call to a peer.
	Log          *slog.Logger
}

// Execute carries out an action and returns the event that it ends in, nil for an
// Announce, which membership spreads.
func (f *Executor[S, P]) Execute(ctx context.Context, a wqconfig.Action) wqconfig.Event {
	switch a := a.(type) {
	case wqconfig.Fetch:
		return f.fetch(ctx, a)
	case wqconfig.ReadStore:
		return f.readStore(ctx, a)
	case wqconfig.WatchStore:
		return f.storeEvent(f.Store.Watch(ctx, a.AfterRevision, a.MaxWait))
	}
	return nil
}

func (f *Executor[S, P]) fetch(ctx context.Context, a wqconfig.Fetch) wqconfig.Event {
	ctx, cancel := context.WithTimeout(ctx, f.FetchTimeout)
	defer cancel()
	r, err := f.Peers.PeerClient(a.Peer.Address).Configuration(ctx, &wqpb.ConfigurationRequest{Revision: a.AfterRevision})
	if err != nil {
		f.Log.Warn("a peer did not send its configuration", "peer", a.Peer.ID, "error", err)
		return wqconfig.FetchFailed{Peer: a.Peer.ID}
	}
	u, err := wqdocument.DecodeUpdate(wqdocument.EncodedUpdate{Revision: r.GetRevision(), Notes: r.GetNotes(), Full: r.GetTopology()})
	if err != nil {
		f.Log.Error("a peer's configuration can't be read; check the versions of the VMs", "peer", a.Peer.ID, "error", err)
		return wqconfig.FetchFailed{Peer: a.Peer.ID}
	}
	return wqconfig.FetchSucceeded{Peer: a.Peer.ID, Update: u}
}

func (f *Executor[S, P]) readStore(ctx context.Context, a wqconfig.ReadStore) wqconfig.Event {
	if a.Linearizable {
		return f.storeEvent(f.Store.ReadLinearizable(ctx))
	}
	return f.storeEvent(f.Store.Read(ctx))
}

func (f *Executor[S, P]) storeEvent(v wqconfigstore.Value, err error) wqconfig.Event {
	if err != nil {
		f.Log.Warn("the configuration store can't be read", "error", err)
		return wqconfig.StoreCallFailed{}
	}
	return wqconfig.StoreCallSucceeded(v)
}

// Respond returns what a peer that asks does not have yet.
func Respond(h *wqhistory.History, r *wqpb.ConfigurationRequest) (*wqpb.ConfigurationResponse, error) {
	u, err := wqdocument.EncodeUpdate(h.UpdateSince(r.GetRevision()))
	if err != nil {
		return nil, err
	}
	return &wqpb.ConfigurationResponse{Revision: u.Revision, Notes: u.Notes, Topology: u.Full}, nil
}
