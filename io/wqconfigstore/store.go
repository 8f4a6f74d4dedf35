// Package wqconfigstore reads and writes the fleet's configuration, which is held
// under one key of the key-value store. A release note is accepted when the
// compare-and-swap of that key succeeds, and only then.
//
// # Usage
//
//	s := &wqconfigstore.Store[*wqstore.Client]{KV: client}
//	v, err := s.Read(ctx)
//	v, err = s.CompareAndSwap(ctx, next, v.Revision)
//	v, err = s.Watch(ctx, v.Revision, 3*time.Second)
//
// Read and Watch may return stale values. ReadLinearizable also replaces the
// value with itself by a compare-and-swap, which fails for a stale one.
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

// Key is the key of the configuration in the key-value store.
const Key = "wisteriaquay/head"

// KeyValueStore is the part of wqstore.Client that a Store uses.
type KeyValueStore interface {
	Get(ctx context.Context, key string) (wqstore.Value, error)
	Watch(ctx context.Context, key string, afterRevision uint64, maxWait time.Duration) (wqstore.Value, error)
	CompareAndSwap(ctx context.Context, r wqstore.SwapRequest) (uint64, error)
}

// Store reads and writes the configuration. It is safe for concurrent use.
type Store[S KeyValueStore] struct {
	KV S

	cached atomic.Pointer[cacheEntry]
}

// cacheEntry is the last decoded value; most reads return the same bytes again.
type cacheEntry struct {
	encoded []byte
	history *wqhistory.History
}

// Value is the configuration at one revision of the key. It is zero when there is
// none.
type Value struct {
	History  *wqhistory.History
	Revision uint64 // Revision counts the writes of the key, not the release notes.
	Bytes    int    // Bytes is the encoded size in the store.
}

// Read returns the configuration, which may be stale.
func (s *Store[S]) Read(ctx context.Context) (Value, error) {
	v, err := s.KV.Get(ctx, Key)
	if err != nil {
		return Value{}, err
	}
	return s.decode(v)
}

// Watch waits until the key's revision is higher than afterRevision and returns
// the configuration, or a zero value when that takes longer than maxWait.
func (s *Store[S]) Watch(ctx context.Context, afterRevision uint64, maxWait time.Duration) (Value, error) {
	v, err := s.KV.Watch(ctx, Key, afterRevision, maxWait)
	if err != nil {
		return Value{}, err
	}
	return s.decode(v)
}

// ReadLinearizable returns the configuration that was the newest at some time
// during the call. It writes the value back by a compare-and-swap; when the read
// was stale, the error is a wqfault.Conflict.
func (s *Store[S]) ReadLinearizable(ctx context.Context) (Value, error) {
	v, err := s.KV.Get(ctx, Key)
	if err != nil || v.Revision == 0 {
		return Value{}, err
	}
	current, err := s.decode(v)
	if err != nil {
		return Value{}, err
	}
	current.Revision, err = s.KV.CompareAndSwap(ctx, wqstore.SwapRequest{Key: Key, Data: v.Data, IfRevision: v.Revision})
	if err != nil {
		return Value{}, err
	}
	return current, nil
}

// CompareAndSwap replaces the configuration if the key is at a revision; 0 means
// that the key must not exist. Its errors are those of
// wqstore.Client.CompareAndSwap.
func (s *Store[S]) CompareAndSwap(ctx context.Context, next *wqhistory.History, revision uint64) (Value, error) {
	data, err := wqdocument.EncodeHistory(next)
	if err != nil {
		return Value{}, err
	}
	newRevision, err := s.KV.CompareAndSwap(ctx, wqstore.SwapRequest{Key: Key, Data: data, IfRevision: revision})
	if err != nil {
		return Value{}, err
	}
	s.cached.Store(&cacheEntry{data, next})
	return Value{History: next, Revision: newRevision, Bytes: len(data)}, nil
}

func (s *Store[S]) decode(v wqstore.Value) (Value, error) {
	if v.Revision == 0 {
		return Value{}, nil
	}
	if e := s.cached.Load(); e != nil && bytes.Equal(e.encoded, v.Data) {
		return Value{History: e.history, Revision: v.Revision, Bytes: len(v.Data)}, nil
	}
	history, err := wqdocument.DecodeHistory(v.Data)
	if err != nil {
		return Value{}, err
	}
	s.cached.Store(&cacheEntry{v.Data, history})
	return Value{History: history, Revision: v.Revision, Bytes: len(v.Data)}, nil
}
