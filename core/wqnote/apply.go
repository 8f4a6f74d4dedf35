package wqnote

import (
	"slices"

	"wisteriaquay/core/wqtopology"
)

const (
	acceptedWindow   = 256 // acceptedWindow is how many accepted notes a topology remembers.
	changesPerRecord = 8   // changesPerRecord is how many changes of an accepted note are named.
)

// Apply returns the topology that follows t when n is accepted. It returns a
// wqfault.Conflict when n lost against another note, or a wqfault.BadInput that
// lists every fault of n with its remedy; t is never changed.
func Apply(n *Note, t *wqtopology.Topology) (*wqtopology.Topology, error) {
	if err := checkBase(n, t); err != nil {
		return nil, err
	}
	f := &faults{}
	next := merge(n, t, f)
	checkNote(n, next, f)
	if err := f.join(); err != nil {
		return nil, err
	}
	return next, nil
}

// Validate returns every fault that n has against t, or nil.
func Validate(n *Note, t *wqtopology.Topology) error {
	_, err := Apply(n, t)
	return err
}

// FindAccepted returns the record of an accepted note, if t still remembers it.
func FindAccepted(id string, t *wqtopology.Topology) (wqtopology.AcceptedNote, bool) {
	for _, a := range slices.Backward(t.Accepted) {
		if a.NoteID == id {
			return a, true
		}
	}
	return wqtopology.AcceptedNote{}, false
}

// merge builds the next topology and notes every entry that does not fit t.
func merge(n *Note, t *wqtopology.Topology, f *faults) *wqtopology.Topology {
	next := &wqtopology.Topology{
		Revision:  t.Revision + 1,
		NoteID:    n.ID,
		Searchers: edit("searcher", t.Searchers, searcherID, change[string, wqtopology.Searcher]{n.Added.Searchers, n.Changed.Searchers, n.Withdrawn.Searchers}, f),
		Zones:     edit("zone", t.Zones, zoneID, change[string, wqtopology.Zone]{n.Added.Zones, n.Changed.Zones, n.Withdrawn.Zones}, f),
		Rules:     edit("rule", t.Rules, ruleName, change[RuleName, wqtopology.Rule]{n.Added.Rules, n.Changed.Rules, n.Withdrawn.Rules}, f),
		Layouts:   edit("layout", t.Layouts, layoutName, change[LayoutName, wqtopology.Layout]{n.Added.Layouts, n.Changed.Layouts, n.Withdrawn.Layouts}, f),
		Accepted:  remember(n, t),
	}
	moveZones(n, t, next, f)
	return next
}

// moveZones keeps each zone's Out and then applies the note's.
func moveZones(n *Note, t, next *wqtopology.Topology, f *faults) {
	out := map[string]bool{}
	for _, z := range t.Zones {
		out[z.ID] = z.Out
	}
	seen := map[string]bool{}
	for i, names := range [][]string{n.Out, n.Back} {
		for _, z := range names {
			f.add(seen[z], "zone "+z+" is taken out or brought back twice", "name it once in out or back")
			seen[z] = true
			out[z] = i == 0
		}
	}
	for i := range next.Zones {
		next.Zones[i].Out = out[next.Zones[i].ID]
		delete(seen, next.Zones[i].ID)
	}
	for _, z := range sorted(seen) {
		f.add(true, "zone "+z+" does not exist", "correct the name of the zone, or add it")
	}
}

// remember appends the note's record to the window.
func remember(n *Note, t *wqtopology.Topology) []wqtopology.AcceptedNote {
	window := t.Accepted
	if len(window) >= acceptedWindow {
		window = window[len(window)-acceptedWindow+1:]
	}
	changes := DescribeChanges(n)
	named := min(len(changes), changesPerRecord)
	return append(slices.Clone(window), wqtopology.AcceptedNote{
		NoteID:   n.ID,
		Revision: t.Revision + 1,
		Digest:   n.Digest(),
		Changes:  changes[:named:named],
		More:     len(changes) - named,
	})
}

// DescribeChanges lists what a note does, one line for each entry, zones out and back
// first.
func DescribeChanges(n *Note) []string {
	lines := list(nil, "zone ", n.Out, itself, " out")
	lines = list(lines, "zone ", n.Back, itself, " back")
	lines = listEntries(lines, &n.Added, " added")
	lines = listEntries(lines, &n.Changed, " changed")
	lines = list(lines, "searcher ", n.Withdrawn.Searchers, itself, " withdrawn")
	lines = list(lines, "zone ", n.Withdrawn.Zones, itself, " withdrawn")
	lines = list(lines, "rule ", n.Withdrawn.Rules, RuleName.String, " withdrawn")
	return list(lines, "layout ", n.Withdrawn.Layouts, LayoutName.String, " withdrawn")
}

func listEntries(lines []string, e *Entries, verb string) []string {
	lines = list(lines, "searcher ", e.Searchers, searcherID, verb)
	lines = list(lines, "zone ", e.Zones, zoneID, verb)
	lines = list(lines, "rule ", e.Rules, func(r wqtopology.Rule) string { return ruleName(r).String() }, verb)
	return list(lines, "layout ", e.Layouts, func(l wqtopology.Layout) string { return layoutName(l).String() }, verb)
}

func list[T any](lines []string, noun string, entries []T, name func(T) string, verb string) []string {
	for _, e := range entries {
		lines = append(lines, noun+name(e)+verb)
	}
	return lines
}
