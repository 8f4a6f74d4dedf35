package wqhistory_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
)

func applyNote(t *testing.T, h *wqhistory.History, n *wqnote.Note) *wqhistory.History {
	t.Helper()
	h, err := h.ApplyNote(n)
	must.NoError(t, err)
	return h
}

// histories returns the histories of revisions 0 to lastRevision, by revision.
func histories(t *testing.T, lastRevision int) []*wqhistory.History {
	t.Helper()
	all := []*wqhistory.History{nil}
	zone := &wqnote.Note{ID: "first", Added: wqnote.Entries{Zones: []wqtopology.Zone{{ID: "a", Region: "r"}}}}
	all = append(all, applyNote(t, nil, zone))
	for i := 2; i <= lastRevision; i++ {
		all = append(all, applyNote(t, all[i-1], wqnote.ZoneOut(fmt.Sprintf("n%d", i), "a")))
	}
	return all
}

func TestUpdateFromAnyRevisionGivesTheSameHistory(t *testing.T) {
	all := histories(t, 40)
	newest := all[40]
	for revision, h := range all {
		u := newest.UpdateSince(uint64(revision))
		must.Eq(t, revision == 0 || revision < 24, u.Full != nil, must.Sprintf("revision %d", revision))
		got, err := h.ApplyUpdate(u)
		must.NoError(t, err)
		must.Eq(t, newest, got)
	}
}

func TestOldAndRepeatedUpdatesAreIgnored(t *testing.T) {
	all := histories(t, 10)
	for _, u := range []wqhistory.Update{all[9].UpdateSince(8), all[9].UpdateSince(0), all[10].UpdateSince(10), (*wqhistory.History)(nil).UpdateSince(3)} {
		got, err := all[10].ApplyUpdate(u)
		must.NoError(t, err)
		must.Eq(t, all[10], got)
	}
}

func TestUpdateWithMissingNotesIsRejected(t *testing.T) {
	all := histories(t, 10)
	for _, u := range []wqhistory.Update{
		all[10].UpdateSince(8),
		{Revision: 1, Notes: all[10].Notes},
		{Revision: 6, Notes: []*wqnote.Note{wqnote.ZoneOut("x", "nowhere")}},
	} {
		got, err := all[5].ApplyUpdate(u)
		if err != nil {
			must.Eq(t, wqfault.Broken, wqfault.KindOf(err))
		}
		must.Eq(t, all[5], got)
	}
}

func TestLargeNotesAreNotRetained(t *testing.T) {
	all := histories(t, 5)
	large := &wqnote.Note{ID: "large"}
	for i := range 50 {
		large.Added.Zones = append(large.Added.Zones, wqtopology.Zone{ID: fmt.Sprintf("z%d", i), Region: "r"})
	}
	h := applyNote(t, all[5], large)
	must.Len(t, 6, h.Notes)
	huge := &wqnote.Note{ID: "huge"}
	for i := range 300 {
		huge.Added.Searchers = append(huge.Added.Searchers, wqtopology.Searcher{
			ID: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), Zone: "a", Service: "v", Shard: "s", Slots: 1, Connections: 1,
		})
	}
	h = applyNote(t, h, huge)
	must.Len(t, 0, h.Notes)
	must.NotNil(t, h.UpdateSince(6).Full)
}
