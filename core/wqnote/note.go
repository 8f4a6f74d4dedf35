// Package wqnote validates release notes and applies them to the topology. It
// rejects a note that is invalid, that was accepted before, or that conflicts with
// a note of another operator.
//
// A note is applied atomically. Its base revision is the revision that its author
// based it on: if another note has been accepted since, the note is rejected as a
// conflict that lists those changes. Base revision 0 means the latest
// revision and skips this check; it is for notes that do not depend on the rest of
// the configuration. Notes that take a zone out or bring it back use it, so that
// unrelated changes never delay them.
//
// # Usage
//
//	next, err := wqnote.Apply(n, t)
//	if a, ok := wqnote.FindAccepted(n.ID, t); ok { ... }
//
// Apply is a pure function: VMs that apply the same notes in the same order hold
// equal topologies.
package wqnote

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqtopology"
)

// Note is a release note: one change of the configuration by an operator.
type Note struct {
	ID           string // ID is chosen by the author; an id is accepted at most once.
	BaseRevision uint64 // BaseRevision is the revision that the note is based on; 0 means the latest.
	Added        Entries
	Changed      Entries
	Withdrawn    Names
	Out          []string // Out names the availability zones to take out.
	Back         []string // Back names the availability zones to bring back.
}

// Entries are complete entries of a topology. The Out field of a zone must be
// false here: only Note.Out and Note.Back change it.
type Entries struct {
	Searchers []wqtopology.Searcher
	Zones     []wqtopology.Zone
	Rules     []wqtopology.Rule
	Layouts   []wqtopology.Layout
}

// Names identifies entries of a topology.
type Names struct {
	Searchers []string
	Zones     []string
	Rules     []RuleName
	Layouts   []LayoutName
}

// RuleName identifies a rule.
type RuleName struct {
	Tenant  string
	Class   string
	Service string
}

// LayoutName identifies a layout.
type LayoutName struct {
	Service       string
	FirstSnapshot uint64
}

// String returns the name in the form that messages use.
func (n RuleName) String() string {
	return n.Tenant + "/" + n.Class + "/" + n.Service
}

// String returns the name in the form that messages use.
func (n LayoutName) String() string {
	return fmt.Sprintf("%s from snapshot %d", n.Service, n.FirstSnapshot)
}

// ZoneOut returns a note that takes an availability zone out.
func ZoneOut(id, zone string) *Note { return &Note{ID: id, Out: []string{zone}} }

// ZoneBack returns a note that brings an availability zone back.
func ZoneBack(id, zone string) *Note { return &Note{ID: id, Back: []string{zone}} }

// Digest returns a hash over all fields of the note.
func (n *Note) Digest() uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%+v", *n)
	return d.Sum64()
}

func ruleName(r wqtopology.Rule) RuleName { return RuleName{r.Tenant, r.Class, r.Service} }

func layoutName(l wqtopology.Layout) LayoutName { return LayoutName{l.Service, l.FirstSnapshot} }

func searcherID(s wqtopology.Searcher) string { return s.ID }

func zoneID(z wqtopology.Zone) string { return z.ID }

func identity(name string) string { return name }
