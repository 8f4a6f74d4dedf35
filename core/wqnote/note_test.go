package wqnote_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // A seed on the command line overrides this one.
	os.Exit(m.Run())
}

func searcher(id, zone, shard string) wqtopology.Searcher {
	sum := 0
	for _, c := range id {
		sum = sum*31 + int(c)
	}
	return wqtopology.Searcher{
		ID: id, Address: fmt.Sprintf("10.0.%d.%d:9000", sum/250%250, sum%250), Zone: zone, Service: "bench", Shard: shard,
		Slots: 3, Connections: 30, ColdSlots: 1, WarmMillis: 1000,
	}
}

// firstNote returns a note that applies to the empty configuration.
func firstNote() *wqnote.Note {
	return &wqnote.Note{
		ID: "first",
		Added: wqnote.Entries{
			Searchers: []wqtopology.Searcher{searcher("s1", "a", "b1"), searcher("s2", "b", "b1")},
			Zones:     []wqtopology.Zone{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}},
			Rules:     []wqtopology.Rule{{Tenant: "t", Class: "c", Service: "bench", TimeoutMillis: 100, Weight: 1}},
			Layouts:   []wqtopology.Layout{{Service: "bench", FirstSnapshot: 1, Shards: []string{"b1"}}},
		},
	}
}

func applyNotes(t *testing.T, topology *wqtopology.Topology, notes ...*wqnote.Note) *wqtopology.Topology {
	t.Helper()
	for _, n := range notes {
		next, err := wqnote.Apply(n, topology)
		must.NoError(t, err)
		topology = next
	}
	return topology
}

func mustBeRejected(t *testing.T, n *wqnote.Note, topology *wqtopology.Topology, kind wqfault.Kind, texts ...string) {
	t.Helper()
	next, err := wqnote.Apply(n, topology)
	must.Error(t, err)
	must.Nil(t, next)
	must.Eq(t, kind, wqfault.KindOf(err))
	for _, w := range texts {
		must.StrContains(t, err.Error(), w)
	}
}

func TestPartlyValidNoteIsRejectedWithAllFaults(t *testing.T) {
	base := applyNotes(t, &wqtopology.Topology{}, firstNote())
	invalidSearcher := searcher("s4", "nowhere", "b 1")
	invalidSearcher.Address, invalidSearcher.Slots, invalidSearcher.ColdSlots = "host:1", 0, 0
	n := &wqnote.Note{
		ID: "half",
		Added: wqnote.Entries{
			Searchers: []wqtopology.Searcher{searcher("s3", "a", "b1"), invalidSearcher, searcher("s1", "a", "b1")},
			Layouts:   []wqtopology.Layout{{Service: "bench", FirstSnapshot: 5, Shards: []string{"b1", "b1", "b9"}}},
		},
		Changed:   wqnote.Entries{Rules: []wqtopology.Rule{{Tenant: "t", Class: "c", Service: "bench", Weight: 1, LeastCoverage: math.NaN()}}},
		Withdrawn: wqnote.Names{Searchers: []string{"s9"}, Zones: []string{"b"}},
		Out:       []string{"z"},
	}
	mustBeRejected(t, n, base, wqfault.BadInput,
		`"nowhere" does not exist`, "invalid characters", "not an IP address", "slots is 0", "cold_slots is 0",
		"s1 is added but exists", "shard b1 twice", "no searcher serves shard b9", "timeout_millis is 0",
		"least_coverage is NaN", "s9 is withdrawn but does not exist", "zone b is withdrawn but 1 searchers", "zone z does not exist")
	must.Eq(t, 1, base.Revision)
	must.Len(t, 2, base.Searchers)
}

func TestConflictListsNotesAcceptedSinceBaseRevision(t *testing.T) {
	base := applyNotes(t, &wqtopology.Topology{}, firstNote(), wqnote.ZoneOut("maria-1", "a"),
		&wqnote.Note{ID: "joost-1", BaseRevision: 2, Withdrawn: wqnote.Names{Searchers: []string{"s2"}}})
	stale := &wqnote.Note{ID: "stale", BaseRevision: 1, Back: []string{"a"}}
	mustBeRejected(t, stale, base, wqfault.Conflict, "based on revision 1, but the newest is 3",
		"maria-1 (revision 2) made: zone a out", "joost-1 (revision 3) made: searcher s2 withdrawn", "set base_revision to 3")
	stale.BaseRevision = 9
	mustBeRejected(t, stale, base, wqfault.BadInput, "newest revision is 3")
}

func TestNoteIDIsAppliedOnce(t *testing.T) {
	base := applyNotes(t, &wqtopology.Topology{}, firstNote(), wqnote.ZoneOut("out-1", "a"), wqnote.ZoneBack("back-1", "a"))
	mustBeRejected(t, wqnote.ZoneOut("out-1", "a"), base, wqfault.Conflict, "accepted before, as revision 2")
	mustBeRejected(t, wqnote.ZoneOut("out-1", "b"), base, wqfault.Conflict, "another note with the id out-1", "zone a out")
	a, found := wqnote.FindAccepted("out-1", base)
	must.True(t, found)
	must.Eq(t, 2, a.Revision)
	must.Eq(t, wqnote.ZoneOut("out-1", "a").Digest(), a.Digest)
}

func TestOnlyOutAndBackChangeZoneOut(t *testing.T) {
	base := applyNotes(t, &wqtopology.Topology{}, firstNote(), wqnote.ZoneOut("1", "a"),
		&wqnote.Note{ID: "2", Changed: wqnote.Entries{Zones: []wqtopology.Zone{{ID: "a", Region: "r2"}}}})
	must.Eq(t, []wqtopology.Zone{{ID: "a", Region: "r2", Out: true}, {ID: "b", Region: "r"}}, base.Zones)
	outInEntry := &wqnote.Note{ID: "3", Changed: wqnote.Entries{Zones: []wqtopology.Zone{{ID: "a", Region: "r", Out: true}}}}
	mustBeRejected(t, outInEntry, base, wqfault.BadInput, "name it in the note's out or back")
	outAndBack := &wqnote.Note{ID: "3", Out: []string{"a"}, Back: []string{"a"}}
	mustBeRejected(t, outAndBack, base, wqfault.BadInput, "out or brought back twice")
	base = applyNotes(t, base, wqnote.ZoneBack("3", "a"))
	must.False(t, base.Zones[0].Out)
}

func TestNumberOfAcceptedNotesIsBounded(t *testing.T) {
	base := applyNotes(t, &wqtopology.Topology{}, firstNote())
	for i := range 300 {
		base = applyNotes(t, base, wqnote.ZoneOut(fmt.Sprintf("n%d", i), "a"))
	}
	must.Len(t, 256, base.Accepted)
	must.Eq(t, base.Revision, base.Accepted[255].Revision)
	mustBeRejected(t, &wqnote.Note{ID: "old", BaseRevision: 2, Out: []string{"b"}}, base, wqfault.Conflict, "289 earlier notes")
}

func TestFaultsBeyondTheLimitAreCounted(t *testing.T) {
	n := &wqnote.Note{ID: "many"}
	for i := range 200 {
		n.Withdrawn.Searchers = append(n.Withdrawn.Searchers, fmt.Sprintf("s%d", i))
	}
	_, err := wqnote.Apply(n, &wqtopology.Topology{})
	must.StrContains(t, err.Error(), "100 more faults are not listed")
	must.StrContains(t, err.Error(), "has 200 faults")
	must.Eq(t, 100, strings.Count(err.Error(), "is withdrawn but does not exist: correct its name"))
}

// Guards against VMs whose topologies differ after the same notes, against Apply
// modifying its argument, and against duplicate ids of searchers.
func TestApplyIsPureAndDeterministic(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		first, second := &wqtopology.Topology{}, &wqtopology.Topology{}
		for i := range rapid.IntRange(1, 20).Draw(r, "notes") {
			n := randomNote(r, i)
			firstText := fmt.Sprintf("%+v", *first)
			nextFirst, err := wqnote.Apply(n, first)
			must.Eq(r, firstText, fmt.Sprintf("%+v", *first))
			nextSecond, errSecond := wqnote.Apply(n, second)
			must.Eq(r, err == nil, errSecond == nil)
			if err != nil {
				continue
			}
			must.Eq(r, nextFirst, nextSecond)
			must.Eq(r, first.Revision+1, nextFirst.Revision)
			first, second = nextFirst, nextSecond
			ids := map[string]bool{}
			for _, s := range first.Searchers {
				must.False(r, ids[s.ID])
				ids[s.ID] = true
			}
		}
	})
}

func randomNote(r *rapid.T, i int) *wqnote.Note {
	n := firstNote()
	n.ID = fmt.Sprintf("n%d", i)
	n.BaseRevision = rapid.Uint64Range(0, 6).Draw(r, "base")
	if i > 0 {
		n.Added = wqnote.Entries{}
	}
	ids := rapid.SampledFrom([]string{"s1", "s2", "s3", "s4"})
	zones := rapid.SampledFrom([]string{"a", "b", "c"})
	n.Withdrawn.Searchers = rapid.SliceOfN(ids, 0, 2).Draw(r, "withdrawn")
	for _, id := range rapid.SliceOfN(ids, 0, 2).Draw(r, "added") {
		n.Added.Searchers = append(n.Added.Searchers, searcher(id, zones.Draw(r, "zone"), "b1"))
	}
	n.Out = rapid.SliceOfN(zones, 0, 1).Draw(r, "out")
	return n
}
