package wqconfig

import "wisteriaquay/core/wqhistory"

// Event is an input of a Syncer.
type Event interface{ event() }

// RevisionReported is a revision that a live peer reported as in force.
type RevisionReported struct {
	Peer     string
	Revision uint64
}

// FetchSucceeded is the result of a Fetch.
type FetchSucceeded struct {
	Peer   string
	Update wqhistory.Update
}

// FetchFailed is the failure or timeout of a Fetch.
type FetchFailed struct {
	Peer string
}

// StoreCallSucceeded is the result of a ReadStore or a WatchStore.
type StoreCallSucceeded struct {
	History  *wqhistory.History // History is nil when a watch timed out or the key does not exist.
	Revision uint64             // Revision is that of the key in the store; 0 when History is nil.
	Bytes    int                // Bytes is the size of the value in the store.
}

// StoreCallFailed is the failure of a ReadStore or a WatchStore.
type StoreCallFailed struct{}

// NoteAccepted is the configuration that this VM wrote to the store when it
// accepted a release note.
type NoteAccepted struct {
	History       *wqhistory.History
	StoreRevision uint64 // StoreRevision is that of the key in the store after the write.
}

func (RevisionReported) event()   {}
func (FetchSucceeded) event()     {}
func (FetchFailed) event()        {}
func (StoreCallSucceeded) event() {}
func (StoreCallFailed) event()    {}
func (NoteAccepted) event()       {}
