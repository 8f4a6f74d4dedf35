package wqmirror_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqmirror"
)

var start = time.Unix(1000, 0)

func item(key, value string, revision uint64) wqmirror.Item {
	return wqmirror.Item{Key: key, Value: []byte(value), Revision: revision, Removed: value == ""}
}

func TestHigherRevisionWinsWhateverTheOrder(t *testing.T) {
	m := wqmirror.New()
	must.Len(t, 1, m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("k", "new", 9)}, AsOf: 9}))
	must.Len(t, 0, m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("k", "old", 5)}, AsOf: 5}))
	must.Eq(t, 9, m.AsOf())
}

func TestWholeBatchRemovesWhatItDoesNotName(t *testing.T) {
	m := wqmirror.New()
	m.Merge(start, wqmirror.Batch{Full: true, Items: []wqmirror.Item{item("a", "1", 1), item("b", "1", 2)}, AsOf: 2})
	m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("c", "1", 7)}, AsOf: 7})
	news := m.Merge(start, wqmirror.Batch{Full: true, Items: []wqmirror.Item{item("b", "1", 2)}, AsOf: 5})
	must.Len(t, 1, news, must.Sprint("a is gone, c is newer than the list"))
	must.Eq(t, "a", news[0].Key)
	must.True(t, news[0].Removed)
}

func TestAgeTravels(t *testing.T) {
	m, peer := wqmirror.New(), wqmirror.New()
	m.Merge(start, wqmirror.Batch{Full: true, AsOf: 1})
	m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("a", "", 4)}, AsOf: 4})
	b := m.BatchSince(start.Add(time.Second), 1)
	must.Eq(t, time.Second, b.Items[0].Age)
	peer.Merge(start.Add(2*time.Second), b)
	must.Eq(t, 3*time.Second, peer.BatchSince(start.Add(4*time.Second), 1).Items[0].Age)
}

// TestCopiesConverge drives copies through lost, late and doubled batches from
// the store and from each other: none goes back, and all end equal.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []wqmirror.Item // log holds the store's changes; the place is the revision less 1.
		copies := []*wqmirror.Mirror{wqmirror.New(), wqmirror.New(), wqmirror.New()}
		seen := make([]map[string]uint64, len(copies))
		for i := range seen {
			seen[i] = make(map[string]uint64)
		}
		take := func(i int, b wqmirror.Batch) {
			for _, n := range copies[i].Merge(start, b) {
				if n.Revision < seen[i][n.Key] {
					t.Fatalf("copy %d went back on %s from %d to %d", i, n.Key, seen[i][n.Key], n.Revision)
				}
				seen[i][n.Key] = n.Revision
			}
		}
		var late []wqmirror.Batch
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				value := rapid.SampledFrom([]string{"", "v"}).Draw(t, "value")
				log = append(log, item(key, value, uint64(len(log)+1)))
			case 1:
				b := storeSince(log, copies[i].AsOf())
				late = append(late, b)
				take(i, b)
			case 2:
				take(i, copies[(i+1)%len(copies)].BatchSince(start, copies[i].AsOf()))
			case 3:
				take(i, storeWhole(log))
			case 4:
				if len(late) > 0 {
					b := rapid.SampledFrom(late).Draw(t, "late")
					b.AsOf = 0 // A batch that answers another question proves nothing about completeness.
					take(i, b)
				}
			}
		}
		for i := range copies {
			take(i, storeSince(log, copies[i].AsOf()))
		}
		want := state(copies[0])
		for _, m := range copies[1:] {
			must.Eq(t, want, state(m))
		}
	})
}

func storeSince(log []wqmirror.Item, after uint64) wqmirror.Batch {
	return wqmirror.Batch{Items: log[min(after, uint64(len(log))):], AsOf: uint64(len(log))}
}

func storeWhole(log []wqmirror.Item) wqmirror.Batch {
	newest := make(map[string]wqmirror.Item)
	for _, i := range log {
		newest[i.Key] = i
	}
	b := wqmirror.Batch{Full: true, AsOf: uint64(len(log))}
	for _, i := range newest {
		if !i.Removed {
			b.Items = append(b.Items, i)
		}
	}
	return b
}

// state returns the keys that have a value.
func state(m *wqmirror.Mirror) map[string]uint64 {
	out := make(map[string]uint64)
	for _, i := range m.BatchSince(start, 0).Items {
		if !i.Removed {
			out[i.Key] = i.Revision
		}
	}
	return out
}

func TestLateBatchDoesNotBringBackWhatAWholeOneNoLongerNamed(t *testing.T) {
	m := wqmirror.New()
	m.Merge(start, wqmirror.Batch{Full: true, AsOf: 5})
	m.Merge(start, wqmirror.Batch{Full: true, AsOf: 9}) // The key came at 7 and went at 8.
	must.Len(t, 0, m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("k", "v", 7)}, AsOf: 7}))
	must.MapEmpty(t, state(m))
}
