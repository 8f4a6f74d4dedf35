package wqnote

import (
	"fmt"
	"strings"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqtopology"
)

const (
	maxFaults         = 100 // maxFaults is how many faults of one note are spelled out.
	maxConflictsNamed = 10  // maxConflictsNamed is how many accepted notes a conflict names.
)

// faults collects everything that is wrong with one note, a line each.
type faults struct {
	lines []string
	more  int
}

// add records a fault when bad is true.
func (f *faults) add(bad bool, message, remedy string) {
	if !bad {
		return
	}
	if len(f.lines) == maxFaults {
		f.more++
		return
	}
	f.lines = append(f.lines, message+": "+remedy)
}

// join returns all faults as one error, or nil.
func (f *faults) join() error {
	if len(f.lines) == 0 {
		return nil
	}
	lines := f.lines
	if f.more > 0 {
		lines = append(lines, fmt.Sprintf("%d more faults are not listed", f.more))
	}
	message := fmt.Sprintf("the release note has %d faults:\n  %s\n", len(f.lines)+f.more, strings.Join(lines, "\n  "))
	return wqfault.New(wqfault.BadInput, message, "nothing was accepted; correct them all and publish the note again")
}

// checkBase refuses a note whose id or base revision clashes with what was
// accepted.
func checkBase(n *Note, t *wqtopology.Topology) error {
	if a, found := FindAccepted(n.ID, t); found {
		return clash(n, a)
	}
	if n.BaseRevision > t.Revision {
		message := fmt.Sprintf("base_revision is %d, but the newest revision is %d", n.BaseRevision, t.Revision)
		return wqfault.New(wqfault.BadInput, message, "set base_revision to the revision that 'wisteriaquay status' shows")
	}
	if n.BaseRevision == 0 || n.BaseRevision == t.Revision {
		return nil
	}
	message := fmt.Sprintf("the note is based on revision %d, but the newest is %d; since then %s",
		n.BaseRevision, t.Revision, since(n.BaseRevision, t))
	remedy := fmt.Sprintf("look at those changes, adapt the note and set base_revision to %d", t.Revision)
	return wqfault.New(wqfault.Conflict, message, remedy)
}

// clash describes a note whose id was accepted before.
func clash(n *Note, a wqtopology.AcceptedNote) error {
	if a.Digest == n.Digest() {
		message := fmt.Sprintf("note %s was accepted before, as revision %d", n.ID, a.Revision)
		return wqfault.New(wqfault.Conflict, message, "nothing is left to do")
	}
	message := fmt.Sprintf("another note with the id %s was accepted as revision %d: %s", n.ID, a.Revision, describe(a))
	return wqfault.New(wqfault.Conflict, message, "choose a new id")
}

// since names the notes accepted after a revision.
func since(revision uint64, t *wqtopology.Topology) string {
	var lines []string
	for _, a := range t.Accepted {
		if a.Revision > revision {
			lines = append(lines, fmt.Sprintf("note %s (revision %d) made: %s", a.NoteID, a.Revision, describe(a)))
		}
	}
	missing := int(t.Revision-revision) - len(lines)
	if len(lines) > maxConflictsNamed {
		missing += len(lines) - maxConflictsNamed
		lines = lines[len(lines)-maxConflictsNamed:]
	}
	if missing > 0 {
		lines = append([]string{fmt.Sprintf("%d earlier notes", missing)}, lines...)
	}
	return strings.Join(lines, "; ")
}

func describe(a wqtopology.AcceptedNote) string {
	text := strings.Join(a.Changes, ", ")
	if a.More > 0 {
		text += fmt.Sprintf(" and %d more", a.More)
	}
	return text
}
