// Package wqhistory holds a configuration together with its latest release notes,
// so that a VM that is a few revisions behind is sent only the missing notes
// instead of the full configuration.
//
// The history depends on the accepted notes alone: all VMs at one revision hold
// equal histories, whether they received notes or the full history, and any of
// them can bring any other up to date. The configuration store holds the history
// as one value.
//
// # Usage
//
//	next, err := h.ApplyNote(n)  // accepts a note
//	u := h.UpdateSince(revision) // the reply to a peer at that revision
//	h, err = h.ApplyUpdate(u)    // applies the reply of a peer
//
// A nil History is the empty configuration at revision 0.
package wqhistory

import (
	"fmt"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
)

const (
	maxRetainedNotes   = 16  // release notes in one history.
	maxRetainedChanges = 256 // changes in all notes of one history.
)

// History is a configuration and the latest release notes that produced it. It is
// immutable once it is shared.
type History struct {
	Topology *wqtopology.Topology
	Notes    []*wqnote.Note // Notes are sorted by revision; the last one produced Topology.
}

// Update brings another VM up to the sender's revision.
type Update struct {
	Revision uint64         // Revision is the sender's revision; 0 means that it has no configuration.
	Notes    []*wqnote.Note // Notes are those after the receiver's revision, sorted by revision.
	Full     *History       // Full is the sender's history when it no longer has all of these notes; nil otherwise.
}

// Revision returns the revision of the configuration, 0 for a nil History.
func (h *History) Revision() uint64 {
	if h == nil {
		return 0
	}
	return h.Topology.Revision
}

// ApplyNote returns the history that results when the note is accepted. Its errors
// are those of wqnote.Apply.
func (h *History) ApplyNote(n *wqnote.Note) (*History, error) {
	if h == nil {
		h = &History{Topology: &wqtopology.Topology{}}
	}
	t, err := wqnote.Apply(n, h.Topology)
	if err != nil {
		return nil, err
	}
	return &History{Topology: t, Notes: appendBounded(h.Notes, n)}, nil
}

// appendBounded returns the notes with n appended, without the oldest ones that
// exceed maxRetainedNotes or maxRetainedChanges. It returns nil when n alone makes
// more than maxRetainedChanges changes.
func appendBounded(notes []*wqnote.Note, n *wqnote.Note) []*wqnote.Note {
	budget := maxRetainedChanges - len(wqnote.DescribeChanges(n))
	if budget < 0 {
		return nil
	}
	first := len(notes)
	for first > 0 && len(notes)-first < maxRetainedNotes-1 {
		budget -= len(wqnote.DescribeChanges(notes[first-1]))
		if budget < 0 {
			break
		}
		first--
	}
	retained := make([]*wqnote.Note, 0, len(notes)-first+1)
	retained = append(retained, notes[first:]...)
	return append(retained, n)
}

// UpdateSince returns the update for a VM at the given revision: the notes after
// it, or the full history when the VM has no configuration or the notes don't
// reach back that far. An update for a VM that is up to date has only a Revision.
func (h *History) UpdateSince(revision uint64) Update {
	u := Update{Revision: h.Revision()}
	if revision >= u.Revision {
		return u
	}
	behind := u.Revision - revision
	if revision == 0 || behind > uint64(len(h.Notes)) {
		u.Full = h
		return u
	}
	u.Notes = h.Notes[uint64(len(h.Notes))-behind:]
	return u
}

// ApplyUpdate returns the history after an update, h itself when the update holds
// no higher revision. It returns h and a wqfault.Broken when notes are missing or
// don't apply; the remedy is to request the full history with revision 0.
func (h *History) ApplyUpdate(u Update) (*History, error) {
	if u.Full != nil {
		if u.Full.Revision() > h.Revision() {
			return u.Full, nil
		}
		return h, nil
	}
	first := u.Revision - uint64(len(u.Notes)) + 1
	if u.Revision <= h.Revision() || len(u.Notes) == 0 {
		return h, nil
	}
	if uint64(len(u.Notes)) > u.Revision || first > h.Revision()+1 {
		message := fmt.Sprintf("the notes start at revision %d, which does not follow revision %d", first, h.Revision())
		return h, wqfault.New(wqfault.Broken, message, "request the full configuration")
	}
	next := h
	for _, n := range u.Notes[h.Revision()+1-first:] {
		var err error
		if next, err = next.ApplyNote(n); err != nil {
			return h, wqfault.New(wqfault.Broken, "a note from a peer does not apply: "+err.Error(), "request the full configuration")
		}
	}
	return next, nil
}
