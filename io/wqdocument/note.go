package wqdocument

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
)

type noteDocument struct {
	ID           string   `json:"id"`
	BaseRevision uint64   `json:"base_revision,omitempty"`
	Added        entries  `json:"added,omitzero"`
	Changed      entries  `json:"changed,omitzero"`
	Withdrawn    names    `json:"withdrawn,omitzero"`
	Out          []string `json:"out,omitempty"`
	Back         []string `json:"back,omitempty"`
}

type entries struct {
	Searchers []searcher  `json:"searchers,omitempty"`
	Zones     []zoneEntry `json:"zones,omitempty"`
	Rules     []rule      `json:"rules,omitempty"`
	Layouts   []layout    `json:"layouts,omitempty"`
}

// zoneEntry has no field out: a note takes zones out and back by its own lists.
type zoneEntry struct {
	ID     string `json:"id"`
	Region string `json:"region"`
}

type names struct {
	Searchers []string     `json:"searchers,omitempty"`
	Zones     []string     `json:"zones,omitempty"`
	Rules     []ruleName   `json:"rules,omitempty"`
	Layouts   []layoutName `json:"layouts,omitempty"`
}

type ruleName struct {
	Tenant  string `json:"tenant"`
	Class   string `json:"class"`
	Service string `json:"service"`
}

type layoutName struct {
	Service       string `json:"service"`
	FirstSnapshot uint64 `json:"first_snapshot"`
}

// IsZero reports whether there are no entries.
func (e entries) IsZero() bool {
	return len(e.Searchers)+len(e.Zones)+len(e.Rules)+len(e.Layouts) == 0
}

// IsZero reports whether there are no names.
func (n names) IsZero() bool {
	return len(n.Searchers)+len(n.Zones)+len(n.Rules)+len(n.Layouts) == 0
}

// DecodeNote reads a release note of at most MaxNoteBytes bytes.
func DecodeNote(data []byte) (*wqnote.Note, error) {
	document := noteDocument{}
	if err := decode(data, MaxNoteBytes, "the release note", &document); err != nil {
		return nil, err
	}
	return toNote(document), nil
}

// EncodeNote writes a release note as one line of JSON.
func EncodeNote(n *wqnote.Note) ([]byte, error) {
	data, err := json.Marshal(fromNote(n))
	return data, eris.Wrap(err, "encode the release note")
}

func toNote(d noteDocument) *wqnote.Note {
	return &wqnote.Note{
		ID:           d.ID,
		BaseRevision: d.BaseRevision,
		Added:        toEntries(&d.Added),
		Changed:      toEntries(&d.Changed),
		Withdrawn: wqnote.Names{
			Searchers: nilIfEmpty(d.Withdrawn.Searchers),
			Zones:     nilIfEmpty(d.Withdrawn.Zones),
			Rules:     convert(d.Withdrawn.Rules, func(r ruleName) wqnote.RuleName { return wqnote.RuleName(r) }),
			Layouts:   convert(d.Withdrawn.Layouts, func(l layoutName) wqnote.LayoutName { return wqnote.LayoutName(l) }),
		},
		Out:  nilIfEmpty(d.Out),
		Back: nilIfEmpty(d.Back),
	}
}

func fromNote(n *wqnote.Note) noteDocument {
	return noteDocument{
		ID:           n.ID,
		BaseRevision: n.BaseRevision,
		Added:        fromEntries(&n.Added),
		Changed:      fromEntries(&n.Changed),
		Withdrawn: names{
			Searchers: n.Withdrawn.Searchers,
			Zones:     n.Withdrawn.Zones,
			Rules:     convert(n.Withdrawn.Rules, func(r wqnote.RuleName) ruleName { return ruleName(r) }),
			Layouts:   convert(n.Withdrawn.Layouts, func(l wqnote.LayoutName) layoutName { return layoutName(l) }),
		},
		Out:  n.Out,
		Back: n.Back,
	}
}

func toEntries(e *entries) wqnote.Entries {
	return wqnote.Entries{
		Searchers: convert(e.Searchers, toSearcher),
		Zones:     convert(e.Zones, func(z zoneEntry) wqtopology.Zone { return wqtopology.Zone{ID: z.ID, Region: z.Region} }),
		Rules:     convert(e.Rules, toRule),
		Layouts:   convert(e.Layouts, toLayout),
	}
}

func fromEntries(e *wqnote.Entries) entries {
	return entries{
		Searchers: convert(e.Searchers, fromSearcher),
		Zones:     convert(e.Zones, func(z wqtopology.Zone) zoneEntry { return zoneEntry{z.ID, z.Region} }),
		Rules:     convert(e.Rules, fromRule),
		Layouts:   convert(e.Layouts, fromLayout),
	}
}

// nilIfEmpty returns nil for an empty list, so that an empty list and a missing
// one decode to equal notes with equal digests.
func nilIfEmpty(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return list
}
