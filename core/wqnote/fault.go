package wqnote

import (
	"fmt"
	"strings"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqtopology"
)

const (
	maxListedFaults = 100 // faults listed in one error; the rest is counted.
	maxListedNotes  = 10  // accepted notes listed in one conflict; the rest is counted.
)

// faults collects the faults of one note, one line each.
type faults struct {
	lines    []string
	unlisted int
}

// addIf adds a fault if faulty is true.
func (f *faults) addIf(faulty bool, message, remedy string) {
	if !faulty {
		return
	}
	if len(f.lines) == maxListedFaults {
		f.unlisted++
		return
	}
	f.lines = append(f.lines, message+": "+remedy)
}

// err returns all faults as one wqfault.BadInput, nil when there are none.
func (f *faults) err() error {
	if len(f.lines) == 0 {
		return nil
	}
	lines := f.lines
	if f.unlisted > 0 {
		lines = append(lines, fmt.Sprintf("%d more faults are not listed", f.unlisted))
	}
	message := fmt.Sprintf("the release note has %d faults:\n  %s\n", len(f.lines)+f.unlisted, strings.Join(lines, "\n  "))
	return wqfault.New(wqfault.BadInput, message, "nothing was accepted; correct them all and publish the note again")
}

// checkBase returns an error when the id of the note was accepted before or its
// base revision is not the latest.
func checkBase(n *Note, t *wqtopology.Topology) error {
	if a, found := FindAccepted(n.ID, t); found {
		return duplicateIDError(n, a)
	}
	if n.BaseRevision > t.Revision {
		message := fmt.Sprintf("base_revision is %d, but the newest revision is %d", n.BaseRevision, t.Revision)
		return wqfault.New(wqfault.BadInput, message, "set base_revision to the revision that 'wisteriaquay status' shows")
	}
	if n.BaseRevision == 0 || n.BaseRevision == t.Revision {
		return nil
	}
	message := fmt.Sprintf("the note is based on revision %d, but the newest is %d; since then %s",
		n.BaseRevision, t.Revision, describeNotesSince(n.BaseRevision, t))
	remedy := fmt.Sprintf("look at those changes, adapt the note and set base_revision to %d", t.Revision)
	return wqfault.New(wqfault.Conflict, message, remedy)
}

// duplicateIDError returns the error for a note whose id was accepted before.
func duplicateIDError(n *Note, a wqtopology.AcceptedNote) error {
	if a.Digest == n.Digest() {
		message := fmt.Sprintf("note %s was accepted before, as revision %d", n.ID, a.Revision)
		return wqfault.New(wqfault.Conflict, message, "no action is needed")
	}
	message := fmt.Sprintf("another note with the id %s was accepted as revision %d: %s", n.ID, a.Revision, formatChanges(a))
	return wqfault.New(wqfault.Conflict, message, "choose a new id")
}

// describeNotesSince returns a text that lists the notes accepted after a revision.
func describeNotesSince(revision uint64, t *wqtopology.Topology) string {
	var lines []string
	for _, a := range t.Accepted {
		if a.Revision > revision {
			lines = append(lines, fmt.Sprintf("note %s (revision %d) made: %s", a.NoteID, a.Revision, formatChanges(a)))
		}
	}
	missing := int(t.Revision-revision) - len(lines)
	if len(lines) > maxListedNotes {
		missing += len(lines) - maxListedNotes
		lines = lines[len(lines)-maxListedNotes:]
	}
	if missing > 0 {
		lines = append([]string{fmt.Sprintf("%d earlier notes", missing)}, lines...)
	}
	return strings.Join(lines, "; ")
}

func formatChanges(a wqtopology.AcceptedNote) string {
	text := strings.Join(a.Changes, ", ")
	if a.More > 0 {
		text += fmt.Sprintf(" and %d more", a.More)
	}
	return text
}
