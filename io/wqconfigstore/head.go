// Package wqconfigstore keeps the fleet's configuration under one key of the
// configuration store. A release note is accepted when the swap of that key
// succeeds, and at no other moment.
//
// # Usage
//
//	h := &wqconfigstore.Store[*wqstore.Client]{Store: client}
//	v, err := h.Read(ctx)
//	v, err = h.Swap(ctx, next, v.Revision)
//	v, err = h.Watch(ctx, v.Revision, 3*time.Second)
//
// Any read may be stale. Confirm reads and then swaps the value for itself,
// which only succeeds for the newest one.
package wqconfigstore

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqhistory"
	"wisteriaquay/io/wqdocument"
	"wisteriaquay/io/wqstore"
)

// Key holds the configuration in the store.
const Key = "wisteriaquay/head"

// KeyValueStore is what a Head needs of the configuration store.
type KeyValueStore interface {
	Get(ctx context.Context, key string) (wqstore.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (wqstore.Value, error)
	CompareAndSwap(ctx context.Context, s wqstore.SwapRequest) (uint64, error)
}

// Store reads and swaps the configuration. It is safe for concurrent use.
type Store[S KeyValueStore] struct {
	KV S

	latest atomic.Pointer[decoded]
}

// decoded is the last value and what it holds, since most reads find it again.
type decoded struct {
	data    []byte
	history *wqhistory.History
}

// Value is the configuration at one revision of the key. Both fields are zero
// when there is none.
type Value struct {
	History  *wqhistory.History
	Revision uint64 // Revision counts the writes of the key, not the release notes.
	Bytes    int    // Bytes is the size in the store.
}

// Read returns the configuration, which may be stale.
func (h *Store[S]) Read(ctx context.Context) (Value, error) {
	v, err := h.KV.Get(ctx, Key)
	if err != nil {
		return Value{}, err
	}
	return h.decode(v)
}

// Watch waits until the key's revision is over after and returns the
// configuration then, or a zero value when the wait is over.
func (h *Store[S]) Watch(ctx context.Context, after uint64, wait time.Duration) (Value, error) {
	v, err := h.KV.Watch(ctx, Key, after, wait)
	if err != nil {
		return Value{}, err
	}
	return h.decode(v)
}

// ReadLinearizable returns the configuration, proved to be the newest at some moment
// during the call. A stale read ends in a wqfault.Conflict.
func (h *Store[S]) ReadLinearizable(ctx context.Context) (Value, error) {
	v, err := h.KV.Get(ctx, Key)
	if err != nil || v.Revision == 0 {
		return Value{}, err
	}
	found, err := h.decode(v)
	if err != nil {
		return Value{}, err
	}
	found.Revision, err = h.KV.CompareAndSwap(ctx, wqstore.SwapRequest{Key: Key, Data: v.Data, IfRevision: v.Revision})
	if err != nil {
		return Value{}, err
	}
	return found, nil
}

// CompareAndSwap replaces the configuration at a revision of the key; 0 means that there
// is none yet. Its errors are those of wqstore.Client.CompareAndSwap.
func (h *Store[S]) CompareAndSwap(ctx context.Context, next *wqhistory.History, revision uint64) (Value, error) {
	data, err := wqdocument.EncodeHistory(next)
	if err != nil {
		return Value{}, err
	}
	made, err := h.KV.CompareAndSwap(ctx, wqstore.SwapRequest{Key: Key, Data: data, IfRevision: revision})
	if err != nil {
		return Value{}, err
	}
	h.latest.Store(&decoded{data, next})
	return Value{History: next, Revision: made, Bytes: len(data)}, nil
}

func (h *Store[S]) decode(v wqstore.Value) (Value, error) {
	if v.Revision == 0 {
		return Value{}, nil
	}
	if d := h.latest.Load(); d != nil && bytes.Equal(d.data, v.Data) {
		return Value{History: d.history, Revision: v.Revision, Bytes: len(v.Data)}, nil
	}
	history, err := wqdocument.DecodeHistory(v.Data)
	if err != nil {
		return Value{}, err
	}
	h.latest.Store(&decoded{v.Data, history})
	return Value{History: history, Revision: v.Revision, Bytes: len(v.Data)}, nil
}
