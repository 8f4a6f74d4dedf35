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

func TestHigherRevisionWinsInAnyOrder(t *testing.T) {
	m := wqmirror.New()
	must.Len(t, 1, m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("k", "new", 9)}, StoreRevision: 9}))
	must.Len(t, 0, m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("k", "old", 5)}, StoreRevision: 5}))
	must.Eq(t, 9, m.StoreRevision())
}

func TestFullBatchRemovesUnlistedKeys(t *testing.T) {
	m := wqmirror.New()
	m.Merge(start, wqmirror.Batch{Full: true, Items: []wqmirror.Item{item("a", "1", 1), item("b", "1", 2)}, StoreRevision: 2})
	m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("c", "1", 7)}, StoreRevision: 7})
	changed := m.Merge(start, wqmirror.Batch{Full: true, Items: []wqmirror.Item{item("b", "1", 2)}, StoreRevision: 5})
	must.Len(t, 1, changed, must.Sprint("a is removed; c is newer than the full batch"))
	must.Eq(t, "a", changed[0].Key)
	must.True(t, changed[0].Removed)
}

func TestAgeAccumulatesAcrossCopies(t *testing.T) {
	m, peer := wqmirror.New(), wqmirror.New()
	m.Merge(start, wqmirror.Batch{Full: true, StoreRevision: 1})
	m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("a", "", 4)}, StoreRevision: 4})
	b := m.BatchSince(start.Add(time.Second), 1)
	must.Eq(t, time.Second, b.Items[0].Age)
	peer.Merge(start.Add(2*time.Second), b)
	must.Eq(t, 3*time.Second, peer.BatchSince(start.Add(4*time.Second), 1).Items[0].Age)
}

// TestCopiesConverge merges lost, delayed and repeated batches from the store and
// from other copies. Guards against a copy that reverts a key to an older revision
// or that differs from the others in the end.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changeLog []wqmirror.Item // changeLog holds the store's changes; the revision is the index plus 1.
		copies := []*wqmirror.Mirror{wqmirror.New(), wqmirror.New(), wqmirror.New()}
		latest := make([]map[string]uint64, len(copies))
		for i := range latest {
			latest[i] = make(map[string]uint64)
		}
		merge := func(i int, b wqmirror.Batch) {
			for _, n := range copies[i].Merge(start, b) {
				if n.Revision < latest[i][n.Key] {
					t.Fatalf("copy %d reverted key %s from revision %d to %d", i, n.Key, latest[i][n.Key], n.Revision)
				}
				latest[i][n.Key] = n.Revision
			}
		}
		var delayed []wqmirror.Batch
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				value := rapid.SampledFrom([]string{"", "v"}).Draw(t, "value")
				changeLog = append(changeLog, item(key, value, uint64(len(changeLog)+1)))
			case 1:
				b := storeBatchSince(changeLog, copies[i].StoreRevision())
				delayed = append(delayed, b)
				merge(i, b)
			case 2:
				merge(i, copies[(i+1)%len(copies)].BatchSince(start, copies[i].StoreRevision()))
			case 3:
				merge(i, fullStoreBatch(changeLog))
			case 4:
				if len(delayed) > 0 {
					b := rapid.SampledFrom(delayed).Draw(t, "delayed")
					b.StoreRevision = 0 // The batch was requested at another revision, so its StoreRevision does not apply.
					merge(i, b)
				}
			}
		}
		for i := range copies {
			merge(i, storeBatchSince(changeLog, copies[i].StoreRevision()))
		}
		want := revisions(copies[0])
		for _, m := range copies[1:] {
			must.Eq(t, want, revisions(m))
		}
	})
}

func storeBatchSince(changeLog []wqmirror.Item, after uint64) wqmirror.Batch {
	return wqmirror.Batch{Items: changeLog[min(after, uint64(len(changeLog))):], StoreRevision: uint64(len(changeLog))}
}

func fullStoreBatch(changeLog []wqmirror.Item) wqmirror.Batch {
	latestByKey := make(map[string]wqmirror.Item)
	for _, i := range changeLog {
		latestByKey[i.Key] = i
	}
	b := wqmirror.Batch{Full: true, StoreRevision: uint64(len(changeLog))}
	for _, i := range latestByKey {
		if !i.Removed {
			b.Items = append(b.Items, i)
		}
	}
	return b
}

// revisions returns the revision of each key that has a value.
func revisions(m *wqmirror.Mirror) map[string]uint64 {
	byKey := make(map[string]uint64)
	for _, i := range m.BatchSince(start, 0).Items {
		if !i.Removed {
			byKey[i.Key] = i.Revision
		}
	}
	return byKey
}

func TestDelayedBatchDoesNotRestoreKeyRemovedByFullBatch(t *testing.T) {
	m := wqmirror.New()
	m.Merge(start, wqmirror.Batch{Full: true, StoreRevision: 5})
	m.Merge(start, wqmirror.Batch{Full: true, StoreRevision: 9}) // The key was written at revision 7 and deleted at 8.
	must.Len(t, 0, m.Merge(start, wqmirror.Batch{Items: []wqmirror.Item{item("k", "v", 7)}, StoreRevision: 7}))
	must.MapEmpty(t, revisions(m))
}
