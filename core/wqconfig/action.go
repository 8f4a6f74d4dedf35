package wqconfig

import (
	"time"

	"wisteriaquay/core/wqmember"
)

// Action is something that the owner of a Machine does for it.
type Action interface{ action() }

// Fetch asks a peer for what follows a revision; 0 asks for everything.
type Fetch struct {
	Peer          wqmember.Member
	AfterRevision uint64
}

// ReadStore reads the configuration from the store. With Confirm, the store
// must prove by a swap that it is the newest.
type ReadStore struct {
	Linearizable bool
}

// WatchStore waits for a change in the store.
type WatchStore struct {
	AfterRevision uint64        // AfterRevision is the revision of the key that is known.
	MaxWait       time.Duration // MaxWait is the longest time to wait.
}

// Announce tells the neighbours once that this VM has a new revision in force.
type Announce struct {
	Revision uint64
}

func (Fetch) action()      {}
func (ReadStore) action()  {}
func (WatchStore) action() {}
func (Announce) action()   {}
