package wqnote

import (
	"slices"

	"wisteriaquay/core/wqtopology"
)

const (
	maxAcceptedNotes = 256 // accepted notes that a topology records.
	maxListedChanges = 8   // changes listed in the record of an accepted note.
)

// Apply returns the topology that results when n is accepted; t is not modified.
// It returns a wqfault.Conflict when the id was accepted before or other notes
// were accepted since the base revision, and a wqfault.BadInput that lists every
// fault of n with its remedy otherwise.
func Apply(n *Note, t *wqtopology.Topology) (*wqtopology.Topology, error) {
	if err := checkBase(n, t); err != nil {
		return nil, err
	}
	f := &faults{}
	next := merge(n, t, f)
	checkNote(n, next, f)
	if err := f.err(); err != nil {
		return nil, err
	}
	return next, nil
}

// Validate returns the error that Apply would return.
func Validate(n *Note, t *wqtopology.Topology) error {
	_, err := Apply(n, t)
	return err
}

// FindAccepted returns the record of an accepted note, and false when t has none.
func FindAccepted(id string, t *wqtopology.Topology) (wqtopology.AcceptedNote, bool) {
	for _, a := range slices.Backward(t.Accepted) {
		if a.NoteID == id {
			return a, true
		}
	}
	return wqtopology.AcceptedNote{}, false
}

// merge returns the next topology and adds a fault for every entry of n that does
// not match t.
func merge(n *Note, t *wqtopology.Topology, f *faults) *wqtopology.Topology {
	next := &wqtopology.Topology{
		Revision:  t.Revision + 1,
		NoteID:    n.ID,
		Searchers: applyChange("searcher", t.Searchers, searcherID, change[string, wqtopology.Searcher]{n.Added.Searchers, n.Changed.Searchers, n.Withdrawn.Searchers}, f),
		Zones:     applyChange("zone", t.Zones, zoneID, change[string, wqtopology.Zone]{n.Added.Zones, n.Changed.Zones, n.Withdrawn.Zones}, f),
		Rules:     applyChange("rule", t.Rules, ruleName, change[RuleName, wqtopology.Rule]{n.Added.Rules, n.Changed.Rules, n.Withdrawn.Rules}, f),
		Layouts:   applyChange("layout", t.Layouts, layoutName, change[LayoutName, wqtopology.Layout]{n.Added.Layouts, n.Changed.Layouts, n.Withdrawn.Layouts}, f),
		Accepted:  appendAccepted(n, t),
	}
	setZonesOut(n, t, next, f)
	return next
}

// setZonesOut sets the Out of each zone in next: the value in t, changed by the Out
// and Back of the note.
func setZonesOut(n *Note, t, next *wqtopology.Topology, f *faults) {
	zoneOut := map[string]bool{}
	for _, z := range t.Zones {
		zoneOut[z.ID] = z.Out
	}
	seen := map[string]bool{}
	for i, names := range [][]string{n.Out, n.Back} {
		for _, z := range names {
			f.addIf(seen[z], "zone "+z+" is taken out or brought back twice", "name it once in out or back")
			seen[z] = true
			zoneOut[z] = i == 0
		}
	}
	for i := range next.Zones {
		next.Zones[i].Out = zoneOut[next.Zones[i].ID]
		delete(seen, next.Zones[i].ID)
	}
	for _, z := range sortedKeys(seen) {
		f.addIf(true, "zone "+z+" does not exist", "correct the name of the zone, or add it")
	}
}

// appendAccepted returns the records of accepted notes with that of n appended,
// without the oldest ones beyond maxAcceptedNotes.
func appendAccepted(n *Note, t *wqtopology.Topology) []wqtopology.AcceptedNote {
	records := t.Accepted
	if len(records) >= maxAcceptedNotes {
		records = records[len(records)-maxAcceptedNotes+1:]
	}
	changes := DescribeChanges(n)
	listed := min(len(changes), maxListedChanges)
	return append(slices.Clone(records), wqtopology.AcceptedNote{
		NoteID:   n.ID,
		Revision: t.Revision + 1,
		Digest:   n.Digest(),
		Changes:  changes[:listed:listed],
		More:     len(changes) - listed,
	})
}

// DescribeChanges returns one line of text for each change of a note, zones taken
// out and brought back first.
func DescribeChanges(n *Note) []string {
	lines := appendLines(nil, "zone ", n.Out, identity, " out")
	lines = appendLines(lines, "zone ", n.Back, identity, " back")
	lines = appendEntryLines(lines, &n.Added, " added")
	lines = appendEntryLines(lines, &n.Changed, " changed")
	lines = appendLines(lines, "searcher ", n.Withdrawn.Searchers, identity, " withdrawn")
	lines = appendLines(lines, "zone ", n.Withdrawn.Zones, identity, " withdrawn")
	lines = appendLines(lines, "rule ", n.Withdrawn.Rules, RuleName.String, " withdrawn")
	return appendLines(lines, "layout ", n.Withdrawn.Layouts, LayoutName.String, " withdrawn")
}

func appendEntryLines(lines []string, e *Entries, verb string) []string {
	lines = appendLines(lines, "searcher ", e.Searchers, searcherID, verb)
	lines = appendLines(lines, "zone ", e.Zones, zoneID, verb)
	lines = appendLines(lines, "rule ", e.Rules, func(r wqtopology.Rule) string { return ruleName(r).String() }, verb)
	return appendLines(lines, "layout ", e.Layouts, func(l wqtopology.Layout) string { return layoutName(l).String() }, verb)
}

func appendLines[T any](lines []string, noun string, entries []T, name func(T) string, verb string) []string {
	for _, e := range entries {
		lines = append(lines, noun+name(e)+verb)
	}
	return lines
}
