package wqconfig

import "wisteriaquay/core/wqhistory"

// Event is what a Machine takes in.
type Event interface{ event() }

// Heard tells that a live peer has a revision.
type Heard struct {
	Peer     string
	Revision uint64
}

// Fetched is a peer's answer to a Fetch.
type Fetched struct {
	Peer   string
	Update wqhistory.Update
}

// FetchFailed tells that a peer did not answer a Fetch in time.
type FetchFailed struct {
	Peer string
}

// StoreAnswered is the store's answer to a ReadStore or a WatchStore.
type StoreAnswered struct {
	History  *wqhistory.History // History is nil when nothing changed or there is none.
	Revision uint64             // Revision is the key's; 0 when nothing changed or there is none.
	Bytes    int                // Bytes is the size of the value.
}

// StoreFailed tells that a ReadStore or a WatchStore failed.
type StoreFailed struct{}

// Accepted is a configuration that this VM's own swap made.
type Accepted struct {
	History       *wqhistory.History
	StoreRevision uint64 // StoreRevision is the key's.
}

func (Heard) event()         {}
func (Fetched) event()       {}
func (FetchFailed) event()   {}
func (StoreAnswered) event() {}
func (StoreFailed) event()   {}
func (Accepted) event()      {}
