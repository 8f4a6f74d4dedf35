// Package wqnote decides what a release note does to the topology: whether the
// note is valid, whether it was accepted before, whether it conflicts with
// another operator's, and which topology follows.
//
// A note is applied whole or not at all. Its base revision names the
// configuration that its author looked at: when another note was accepted
// since, the note is refused as a conflict that names those changes. Base
// revision 0 means the newest configuration, whatever it is; its author relies
// on nothing but what the note itself says. Taking a zone out and bringing it
// back are notes of that kind, so that unrelated changes never delay them.
//
// # Usage
//
//	next, err := wqnote.Apply(n, t)
//	if a, ok := wqnote.FindAccepted(n.ID, t); ok { ... } // accepted before
//
// Apply is a pure function: VMs that apply the same notes to the same topology
// get equal topologies.
package wqnote

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqtopology"
)

// Note is one release note.
type Note struct {
	ID           string // ID is chosen by the author; publishing an id again never applies it twice.
	BaseRevision uint64 // BaseRevision is the revision that the author looked at; 0 means the newest.
	Added        Entries
	Changed      Entries
	Withdrawn    Names
	Out          []string // Out names the availability zones to take out.
	Back         []string // Back names the availability zones to bring back.
}

// Entries are whole entries of a topology. A zone's Out is not among them: it
// changes through Note.Out and Note.Back alone.
type Entries struct {
	Searchers []wqtopology.Searcher
	Zones     []wqtopology.Zone
	Rules     []wqtopology.Rule
	Layouts   []wqtopology.Layout
}

// Names identify entries of a topology.
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

// String returns the name as operators read it.
func (n RuleName) String() string {
	return n.Tenant + "/" + n.Class + "/" + n.Service
}

// String returns the name as operators read it.
func (n LayoutName) String() string {
	return fmt.Sprintf("%s from snapshot %d", n.Service, n.FirstSnapshot)
}

// ZoneOut returns the note that takes an availability zone out.
func ZoneOut(id, zone string) *Note { return &Note{ID: id, Out: []string{zone}} }

// ZoneBack returns the note that brings an availability zone back.
func ZoneBack(id, zone string) *Note { return &Note{ID: id, Back: []string{zone}} }

// Digest returns a hash of the note's whole content.
func (n *Note) Digest() uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%+v", *n)
	return d.Sum64()
}

func ruleName(r wqtopology.Rule) RuleName { return RuleName{r.Tenant, r.Class, r.Service} }

func layoutName(l wqtopology.Layout) LayoutName { return LayoutName{l.Service, l.FirstSnapshot} }

func searcherID(s wqtopology.Searcher) string { return s.ID }

func zoneID(z wqtopology.Zone) string { return z.ID }

func itself(name string) string { return name }
