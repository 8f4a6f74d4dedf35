package wqdocument_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqdocument"
)

const noteText = `{"id": "n1", "base_revision": 3,
 "added": {"searchers": [{"id": "s1", "address": "192.0.2.1:9000", "zone": "a", "service": "bench", "shard": "b1",
   "slots": 3, "connections": 30, "batch": 8, "cold_slots": 1, "warm_millis": 2000}],
  "rules": [{"tenant": "t", "class": "c", "service": "bench", "timeout_millis": 95, "weight": 2, "hedge_quantile": 0.95, "hedge_share": 0.05}]},
 "changed": {"zones": [{"id": "a", "region": "r"}]},
 "withdrawn": {"layouts": [{"service": "bench", "first_snapshot": 7}], "rules": [{"tenant": "t", "class": "d", "service": "bench"}]},
 "out": ["b"]}`

func TestNoteRoundTrip(t *testing.T) {
	n, err := wqdocument.DecodeNote([]byte(noteText))
	must.NoError(t, err)
	must.Eq(t, 2000, n.Added.Searchers[0].WarmMillis)
	must.Eq(t, wqnote.LayoutName{Service: "bench", FirstSnapshot: 7}, n.Withdrawn.Layouts[0])
	data, err := wqdocument.EncodeNote(n)
	must.NoError(t, err)
	decoded, err := wqdocument.DecodeNote(data)
	must.NoError(t, err)
	must.Eq(t, n, decoded)
	must.Eq(t, n.Digest(), decoded.Digest())
}

func TestDecodeNoteRejectsInvalidInput(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":     `{"id": "n", "addd": {}}`,
		"out in zone entry": `{"id": "n", "changed": {"zones": [{"id": "a", "region": "r", "out": true}]}}`,
		"second document":   `{"id": "n"} {"id": "m"}`,
		"no document":       ``,
		"wrong type":        `{"id": 7}`,
		"too deep":          strings.Repeat(`{"added":`, 20) + `1` + strings.Repeat("}", 20),
		"too many objects":  `{"added": {"searchers": [` + strings.Repeat(`{},`, 40000) + `{}]}}`,
		"too many values":   `{"out": [` + strings.Repeat(`"",`, 600000) + `""]}`,
		"too large":         `{"id": "` + strings.Repeat("x", 5<<20) + `"}`,
	} {
		_, err := wqdocument.DecodeNote([]byte(text))
		must.Eq(t, wqfault.BadInput, wqfault.KindOf(err), must.Sprint(name))
	}
}

// topologyOfSize returns a topology with four searchers to a shard, each in another
// zone, and a full list of accepted notes.
func topologyOfSize(searchers, zones int) *wqtopology.Topology {
	t := &wqtopology.Topology{Revision: 5000, NoteID: "n5000"}
	for z := range zones {
		t.Zones = append(t.Zones, wqtopology.Zone{ID: fmt.Sprintf("zone-%d", z), Region: fmt.Sprintf("region-%d", z/3)})
	}
	layout := wqtopology.Layout{Service: "catalogue", FirstSnapshot: 1}
	for i := range searchers {
		if i%4 == 0 {
			layout.Shards = append(layout.Shards, fmt.Sprintf("shard-%d", i/4))
		}
		t.Searchers = append(t.Searchers, wqtopology.Searcher{
			ID: fmt.Sprintf("searcher-%d", i), Address: fmt.Sprintf("10.%d.%d.%d:9000", i%zones, i/250%250, i*7919%250),
			Zone: t.Zones[i%zones].ID, Service: "catalogue", Shard: fmt.Sprintf("shard-%d", i/4),
			Slots: 3, Connections: 30, Batch: 16, ColdSlots: 1, WarmMillis: 20000,
		})
	}
	t.Layouts = []wqtopology.Layout{layout}
	for i := range 256 {
		t.Accepted = append(t.Accepted, wqtopology.AcceptedNote{
			NoteID: fmt.Sprintf("release-%d", i*7919), Revision: uint64(4745 + i), Digest: uint64(i) * 0x9e3779b97f4a7c15,
			Changes: []string{fmt.Sprintf("searcher searcher-%d changed", i*31%7100)},
		})
	}
	return t
}

func TestTopologyRoundTripAtTargetSize(t *testing.T) {
	want := topologyOfSize(7100, 9)
	note, err := wqdocument.DecodeNote([]byte(noteText))
	must.NoError(t, err)
	history := &wqhistory.History{Topology: want, Notes: []*wqnote.Note{note, note}}
	value, err := wqdocument.EncodeHistory(history)
	must.NoError(t, err)
	t.Logf("7,100 searchers in 9 zones: %d bytes compressed", len(value))
	must.Less(t, wqdocument.MaxCompressedBytes, len(value))
	got, err := wqdocument.DecodeHistory(value)
	must.NoError(t, err)
	must.Eq(t, history, got)
}

func TestUpdateRoundTrip(t *testing.T) {
	note, err := wqdocument.DecodeNote([]byte(noteText))
	must.NoError(t, err)
	history := &wqhistory.History{Topology: topologyOfSize(8, 2), Notes: []*wqnote.Note{note, note}}
	for _, revision := range []uint64{0, 4998, 4999, 5000} {
		want := history.UpdateSince(revision)
		encoded, err := wqdocument.EncodeUpdate(want)
		must.NoError(t, err)
		got, err := wqdocument.DecodeUpdate(encoded)
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
	_, err = wqdocument.DecodeUpdate(wqdocument.EncodedUpdate{Notes: make([][]byte, 1000)})
	must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
}

func TestOversizedTopologyIsRejectedWithRemedy(t *testing.T) {
	oversized := topologyOfSize(100, 3)
	seed := uint64(1)
	for i := range 100000 {
		seed = seed*6364136223846793005 + 1442695040888963407
		oversized.Layouts[0].Shards = append(oversized.Layouts[0].Shards, fmt.Sprintf("%x-%d", seed, i))
	}
	_, err := wqdocument.EncodeTopology(oversized)
	must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
	must.StrContains(t, err.Error(), "withdraw searchers")
}

func TestDecompressionIsBounded(t *testing.T) {
	e, err := zstd.NewWriter(nil)
	must.NoError(t, err)
	bomb := e.EncodeAll(make([]byte, 64<<20), nil)
	must.Less(t, wqdocument.MaxCompressedBytes, len(bomb))
	for _, value := range [][]byte{bomb, nil, []byte("{}"), make([]byte, 1<<20)} {
		_, err = wqdocument.DecodeTopology(value)
		must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
	}
}

func FuzzDecodeNote(f *testing.F) {
	f.Add([]byte(noteText))
	f.Add([]byte(`{"out":["a"],"back":[""]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := wqdocument.DecodeNote(data)
		if err != nil {
			must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
			return
		}
		encoded, err := wqdocument.EncodeNote(n)
		must.NoError(t, err)
		decoded, err := wqdocument.DecodeNote(encoded)
		must.NoError(t, err)
		must.Eq(t, n.Digest(), decoded.Digest())
		_ = wqnote.Validate(n, topologyOfSize(8, 2))
	})
}

func FuzzDecodeTopology(f *testing.F) {
	value, err := wqdocument.EncodeTopology(topologyOfSize(8, 2))
	must.NoError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := wqdocument.DecodeTopology(data); err != nil {
			must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
		}
	})
}

func BenchmarkTopologyAtTargetSize(b *testing.B) {
	t := topologyOfSize(7100, 9)
	value, err := wqdocument.EncodeTopology(t)
	must.NoError(b, err)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = wqdocument.EncodeTopology(t)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = wqdocument.DecodeTopology(value)
		}
	})
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = wqnote.Apply(wqnote.ZoneOut("out", "zone-1"), t)
		}
	})
	b.Run("index", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = wqtopology.NewIndex(t)
		}
	})
}

// BenchmarkMemoryAtTargetSize reports the heap bytes that a decoded configuration
// and its index take.
func BenchmarkMemoryAtTargetSize(b *testing.B) {
	value, err := wqdocument.EncodeTopology(topologyOfSize(7100, 9))
	must.NoError(b, err)
	indexes := make([]*wqtopology.Index, 0, b.N)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		h, err := wqdocument.DecodeHistory(value)
		must.NoError(b, err)
		indexes = append(indexes, wqtopology.NewIndex(h.Topology))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(indexes)), "kept-B/op")
	runtime.KeepAlive(indexes)
}
