// Package wqhistory holds a configuration together with the release notes that
// led to it lately, so that a VM that is a few revisions behind needs to be
// sent only those notes.
//
// The history is a function of the accepted notes alone: all VMs at one
// revision hold the same history, however they learned it, and any of them can
// bring any other up to date. The configuration store holds it as one value.
//
// # Usage
//
//	next, err := h.Next(n)               // publish: accept a note
//	u := h.Since(revision)               // answer a peer at that revision
//	h, err = h.Follow(u)                 // take in a peer's answer
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
	maxNotes   = 16  // maxNotes is how many release notes are kept.
	maxChanges = 256 // maxChanges is how many changes the kept notes make together.
)

// History is a configuration and the newest release notes that led to it. It
// never changes once it is shared.
type History struct {
	Topology *wqtopology.Topology
	Notes    []*wqnote.Note // Notes are oldest first; the last one made Topology.
}

// Update is what one VM tells another about its configuration.
type Update struct {
	Revision uint64         // Revision is the sender's; 0 means that it has no configuration.
	Notes    []*wqnote.Note // Notes follow the receiver's revision, oldest first.
	Full     *History       // Full is the sender's history when notes don't reach back; nil otherwise.
}

// Revision returns the revision of the configuration, 0 for the empty one.
func (h *History) Revision() uint64 {
	if h == nil {
		return 0
	}
	return h.Topology.Revision
}

// ApplyNote returns the history that follows when a note is accepted. Its errors are
// those of wqnote.Apply.
func (h *History) ApplyNote(n *wqnote.Note) (*History, error) {
	if h == nil {
		h = &History{Topology: &wqtopology.Topology{}}
	}
	t, err := wqnote.Apply(n, h.Topology)
	if err != nil {
		return nil, err
	}
	return &History{Topology: t, Notes: keep(h.Notes, n)}, nil
}

// keep returns the newest notes that fit, the new one last.
func keep(notes []*wqnote.Note, n *wqnote.Note) []*wqnote.Note {
	room := maxChanges - len(wqnote.DescribeChanges(n))
	if room < 0 {
		return nil
	}
	first := len(notes)
	for first > 0 && len(notes)-first < maxNotes-1 {
		room -= len(wqnote.DescribeChanges(notes[first-1]))
		if room < 0 {
			break
		}
		first--
	}
	kept := make([]*wqnote.Note, 0, len(notes)-first+1)
	kept = append(kept, notes[first:]...)
	return append(kept, n)
}

// UpdateSince returns what brings a VM at a revision up to date.
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
// nothing newer. Notes that don't fit are a wqfault.Broken; ask for the whole
// history then, as a VM at revision 0.
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
		message := fmt.Sprintf("notes from revision %d on don't follow revision %d", first, h.Revision())
		return h, wqfault.New(wqfault.Broken, message, "ask for the whole configuration")
	}
	next := h
	for _, n := range u.Notes[h.Revision()+1-first:] {
		var err error
		if next, err = next.ApplyNote(n); err != nil {
			return h, wqfault.New(wqfault.Broken, "a peer's note does not apply: "+err.Error(), "ask for the whole configuration")
		}
	}
	return next, nil
}
