package wqconfig

import "wisteriaquay/core/wqhistory"

// Event is what a Machine takes in.
type Event interface{ event() }

// RevisionReported tells that a live peer has a revision.
type RevisionReported struct {
	Peer     string
	Revision uint64
}

// FetchSucceeded is a peer's answer to a Fetch.
type FetchSucceeded struct {
	Peer   string
	Update wqhistory.Update
}

// FetchFailed tells that a peer did not answer a Fetch in time.
type FetchFailed struct {
	Peer string
}

// StoreCallSucceeded is the store's answer to a ReadStore or a WatchStore.
type StoreCallSucceeded struct {
	History  *wqhistory.History // History is nil when nothing changed or there is none.
	Revision uint64             // Revision is the key's; 0 when nothing changed or there is none.
	Bytes    int                // Bytes is the size of the value.
}

// StoreCallFailed tells that a ReadStore or a WatchStore failed.
type StoreCallFailed struct{}

// NoteAccepted is a configuration that this VM's own swap made.
type NoteAccepted struct {
	History       *wqhistory.History
	StoreRevision uint64 // StoreRevision is the key's.
}

func (RevisionReported) event()   {}
func (FetchSucceeded) event()     {}
func (FetchFailed) event()        {}
func (StoreCallSucceeded) event() {}
func (StoreCallFailed) event()    {}
func (NoteAccepted) event()       {}
