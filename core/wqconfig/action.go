package wqconfig

import (
	"time"

	"wisteriaquay/core/wqmember"
)

// Action is a call that the owner of a Syncer carries out.
type Action interface{ action() }

// Fetch requests the update after a revision from a peer; 0 requests the full
// history.
type Fetch struct {
	Peer          wqmember.Member
	AfterRevision uint64
}

// ReadStore reads the configuration from the store. A linearizable read proves by a
// compare-and-swap that the value is the latest; other reads may be stale.
type ReadStore struct {
	Linearizable bool
}

// WatchStore waits for a change of the configuration in the store.
type WatchStore struct {
	AfterRevision uint64        // AfterRevision is the highest observed revision of the key.
	MaxWait       time.Duration // MaxWait is the longest duration of the call.
}

// Announce reports the revision that this VM adopted to its gossip neighbours, once.
type Announce struct {
	Revision uint64
}

func (Fetch) action()      {}
func (ReadStore) action()  {}
func (WatchStore) action() {}
func (Announce) action()   {}
