package wqmirror_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqmirror"
	"wisteriaquay/core/wqrevision"
)

const (
	shortHold = 2 * time.Second
	longHold  = 15 * time.Second
)

// newMirror returns a replica in which items supersede by the number that they hold, those
// under zone/ always. The key config is held for good.
func newMirror() *wqmirror.Mirror {
	m := wqmirror.New()
	m.Supersedes = func(listed, known wqmirror.Item) bool {
		return strings.HasPrefix(listed.Key, "zone/") || len(known.Value) > 0 && number(listed.Value) > number(known.Value)
	}
	m.HoldTime = func(i wqmirror.Item) time.Duration {
		switch {
		case i.Key == "config":
			return wqmirror.Forever
		case strings.HasPrefix(i.Key, "zone/"):
			return longHold
		}
		return shortHold
	}
	return m
}

func number(value []byte) int {
	n, _ := strconv.Atoi(string(value))
	return n
}

func ordinal(era, number uint64) uint64 {
	return wqrevision.Revision{Era: era, Number: number}.Ordinal()
}

// in returns an item in an era.
func in(era uint64, key, value string, revision uint64) wqmirror.Item {
	return item(key, value, ordinal(era, revision))
}

func list(era, revision uint64, items ...wqmirror.Item) wqmirror.Batch {
	return wqmirror.Batch{Full: true, Items: items, StoreRevision: ordinal(era, revision), Source: "store"}
}

func events(era, revision uint64, items ...wqmirror.Item) wqmirror.Batch {
	return wqmirror.Batch{Items: items, StoreRevision: ordinal(era, revision), Written: true, Source: "store"}
}

// values returns the value of each key that has one. Of a key with two items in a batch,
// the first one is in force.
func values(m *wqmirror.Mirror) map[string]string {
	byKey, seen := make(map[string]string), make(map[string]bool)
	for _, i := range m.BatchSince(start, 0).Items {
		if !i.Removed && !seen[i.Key] {
			byKey[i.Key] = string(i.Value)
		}
		seen[i.Key] = true
	}
	return byKey
}

// Guards against a copy that reverts or removes what is in force, and against changes after
// it that are taken for older ones.
func TestRestoredStoreDoesNotRevertWhatIsInForce(t *testing.T) {
	m := newMirror()
	m.Merge(start, list(1, 9, in(1, "config", "5", 3), in(1, "s1", "1", 4)))
	m.Merge(start, events(1, 14, in(1, "config", "6", 11), in(1, "zone/a", "1", 12), in(1, "s2", "1", 13), in(1, "s1", "2", 14)))
	changed := m.Merge(start, list(2, 9, in(2, "config", "5", 3), in(2, "s1", "1", 4)))
	must.SliceEmpty(t, changed)
	must.Eq(t, map[string]string{"config": "6", "zone/a": "1", "s1": "2", "s2": "1"}, values(m))
	must.Eq(t, ordinal(2, 9), m.StoreRevision())

	changed = m.Merge(start, events(2, 11, in(2, "config", "7", 10), in(2, "s1", "3", 11)))
	must.Len(t, 2, changed, must.Sprint("revisions that were given out before"))
	must.Eq(t, "7", values(m)["config"])
}

// Guards against states that stay for good although nobody has written them again, and
// against a searcher or a zone that returns, or leaves, too early.
func TestHeldStatesEndAfterTheirTime(t *testing.T) {
	m := newMirror()
	m.Merge(start, list(1, 9, in(1, "config", "5", 3), in(1, "s1", "1", 4), in(1, "s2", "1", 5)))
	m.Merge(start, events(1, 12, in(1, "config", "6", 10), in(1, "zone/a", "1", 11), in(1, "s1", "", 12), in(1, "s3", "1", 12)))
	restored := start.Add(time.Minute)
	copied := list(2, 9, in(2, "config", "5", 3), in(2, "s1", "1", 4), in(2, "s2", "1", 5))
	m.Merge(restored, copied)
	must.SliceEmpty(t, m.Expire(restored.Add(shortHold-1)))
	must.Eq(t, map[string]string{"config": "6", "zone/a": "1", "s2": "1", "s3": "1"}, values(m))

	changed := m.Expire(restored.Add(shortHold))
	must.Len(t, 2, changed)
	must.Eq(t, map[string]string{"config": "6", "zone/a": "1", "s1": "1", "s2": "1"}, values(m), must.Sprint("as the store says"))
	m.Merge(restored.Add(shortHold), copied)
	must.Eq(t, "6", values(m)["config"])
	must.Len(t, 1, m.Expire(restored.Add(longHold)))
	must.Eq(t, map[string]string{"config": "6", "s1": "1", "s2": "1"}, values(m))
	must.SliceEmpty(t, m.Expire(restored.Add(time.Hour)))
	must.Eq(t, "6", values(m)["config"])
}

// Guards against a replica that is filled from the copy and takes it for the newest state
// although others know better.
func TestReplicaFilledFromACopyLearnsWhatWasKnownBefore(t *testing.T) {
	copied := list(2, 9, in(2, "config", "5", 3), in(2, "s1", "1", 4), in(2, "s2", "1", 5))
	for name, peerKnowsEra := range map[string]bool{"in the old era": false, "in the new era": true} {
		informed := newMirror()
		informed.Merge(start, list(1, 9, in(1, "config", "5", 3), in(1, "s1", "1", 4), in(1, "s2", "1", 5)))
		informed.Merge(start, events(1, 14, in(1, "config", "6", 11), in(1, "zone/a", "1", 12), in(1, "s1", "2", 13), in(1, "s2", "", 14)))
		fresh := newMirror()
		must.Len(t, 3, fresh.Merge(start, copied))
		fresh.Merge(start, events(2, 10, in(2, "s3", "1", 10)))
		must.Eq(t, "store", fresh.FirstSource(start))
		if peerKnowsEra {
			informed.Merge(start, copied)
		}
		batch := informed.BatchSince(start, 0)
		batch.Source = "peer"
		must.True(t, batch.Full)
		changed := fresh.Merge(start.Add(time.Second), batch)
		want := map[string]string{"config": "6", "zone/a": "1", "s1": "2", "s3": "1"}
		if !peerKnowsEra { // A full batch has no tombstones of its own era.
			want["s2"] = "1"
		}
		must.Eq(t, want, values(fresh), must.Sprint(name))
		must.GreaterEq(t, 3, len(changed))
		must.SliceEmpty(t, fresh.Merge(start.Add(time.Second), copied))
		must.Eq(t, want, values(fresh), must.Sprint("listed again"))

		other := wqmirror.Batch{Full: true, Items: copied.Items, StoreRevision: copied.StoreRevision, Source: "peer without memory"}
		must.SliceEmpty(t, fresh.Merge(start.Add(time.Second), other))
		must.Eq(t, want, values(fresh))
	}
}

// Guards against late batches of an era that has ended.
func TestLateBatchOfAnEarlierEraChangesNothingThatIsNewer(t *testing.T) {
	m := newMirror()
	m.Merge(start, list(1, 9, in(1, "config", "5", 3)))
	late := list(1, 20, in(1, "config", "6", 20))
	m.Merge(start, list(2, 9, in(2, "config", "5", 3)))
	m.Merge(start, events(2, 11, in(2, "config", "7", 10), in(2, "s1", "1", 11)))
	must.SliceEmpty(t, m.Merge(start, late))
	must.Eq(t, map[string]string{"config": "7", "s1": "1"}, values(m))
	must.Eq(t, ordinal(2, 11), m.StoreRevision())
}

// Guards against a second restore, from a copy of either earlier era.
func TestSecondRestoreHoldsWhatIsInForce(t *testing.T) {
	for era := uint64(1); era <= 2; era++ {
		m := newMirror()
		m.Merge(start, list(1, 9, in(1, "config", "5", 3)))
		m.Merge(start, events(1, 12, in(1, "config", "6", 12)))
		m.Merge(start, list(2, 9, in(2, "config", "5", 3)))
		m.Merge(start, events(2, 11, in(2, "config", "6", 10), in(2, "zone/a", "1", 11)))
		copied := list(3, 9, in(3, "config", "5", 3))
		if era == 2 {
			copied = list(3, 10, in(3, "config", "6", 10))
		}
		m.Merge(start, copied)
		must.Eq(t, map[string]string{"config": "6", "zone/a": "1"}, values(m))
	}
}

// restoredStore is a store for the test below, with its history as copies.
type restoredStore struct {
	era, revision uint64
	items         map[string]wqmirror.Item
	history       []wqmirror.Item
	copies        []restoredStore
}

func (s *restoredStore) write(key, value string) {
	s.copies = append(s.copies, s.clone())
	s.revision++
	i := in(s.era, key, value, s.revision)
	s.history = append(s.history, i)
	delete(s.items, key)
	if value != "" {
		s.items[key] = i
	}
}

func (s *restoredStore) clone() restoredStore {
	c := restoredStore{era: s.era, revision: s.revision, items: make(map[string]wqmirror.Item), history: append([]wqmirror.Item(nil), s.history...)}
	for key, i := range s.items {
		c.items[key] = i
	}
	return c
}

// restore goes back by some writes and begins the next era.
func (s *restoredStore) restore(writes int) {
	c := s.copies[len(s.copies)-writes]
	*s = restoredStore{era: s.era + 1, revision: c.revision, items: make(map[string]wqmirror.Item), copies: s.copies[:len(s.copies)-writes]}
	for key, i := range c.items {
		i.Revision = ordinal(s.era, wqrevision.Of(i.Revision).Number)
		s.items[key] = i
	}
}

func (s *restoredStore) list() wqmirror.Batch {
	b := list(s.era, s.revision)
	for _, i := range s.items {
		b.Items = append(b.Items, i)
	}
	return b
}

// follow is what a VM does that reads the store: it watches, or lists if it can't.
func (s *restoredStore) follow(m *wqmirror.Mirror) wqmirror.Batch {
	at := wqrevision.Of(m.StoreRevision())
	if at.Era != s.era {
		return s.list()
	}
	b := events(s.era, s.revision)
	for _, i := range s.history {
		if i.Revision > m.StoreRevision() {
			b.Items = append(b.Items, i)
		}
	}
	return b
}

// Guards against a replica that reverts the configuration, and against replicas that differ
// from the store in the end, for any order of restores, second writings and exchanges.
func TestReplicasConvergeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restoredStore{era: 1, items: make(map[string]wqmirror.Item)}
		replicas := []*wqmirror.Mirror{newMirror(), newMirror(), newMirror()}
		newest := make([]int, len(replicas))
		version, sequence, now := 1, 1, start
		authored := make(map[string]string) // authored is what the authors of the keys have written last.
		merge := func(r int, b wqmirror.Batch) {
			for _, i := range replicas[r].Merge(now, b) {
				if i.Key != "config" {
					continue
				}
				must.GreaterEq(t, newest[r], number(i.Value), must.Sprint("the configuration was reverted"))
				newest[r] = number(i.Value)
			}
		}
		store.write("config", "1")
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			r := rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
			peer := replicas[(r+1)%len(replicas)]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				version++
				store.write("config", strconv.Itoa(version))
			case 1:
				sequence++
				key := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "searcher"))
				authored[key] = rapid.SampledFrom([]string{"", strconv.Itoa(sequence)}).Draw(t, "state")
				store.write(key, authored[key])
			case 2:
				authored["zone/a"] = rapid.SampledFrom([]string{"", "1"}).Draw(t, "out")
				store.write("zone/a", authored["zone/a"])
			case 3:
				if len(store.copies) == 1 { // The first configuration is never lost.
					break
				}
				store.restore(rapid.IntRange(1, len(store.copies)-1).Draw(t, "lost writes"))
				if rapid.Bool().Draw(t, "written again at once") {
					store.write("config", strconv.Itoa(version))
				}
			case 4:
				merge(r, store.follow(replicas[r]))
			case 5:
				b := peer.BatchSince(now, replicas[r].StoreRevision())
				b.Source = "peer"
				merge(r, b)
			case 6:
				replicas[r].Expire(now)
			}
		}
		authored["config"] = strconv.Itoa(version + 1)
		for key, value := range authored {
			if string(store.items[key].Value) != value {
				store.write(key, value)
			}
		}
		for r := range replicas {
			merge(r, store.follow(replicas[r]))
		}
		want := make(map[string]string)
		for key, i := range store.items {
			want[key] = string(i.Value)
		}
		for _, m := range replicas {
			m.Expire(now.Add(time.Minute))
			must.Eq(t, want, values(m))
		}
	})
}

// Guards against full batches that lose the removal of a searcher that the copy still has.
func TestFullBatchHasTombstonesFromBeforeTheRestore(t *testing.T) {
	m := newMirror()
	m.Merge(start, list(1, 9, in(1, "s1", "1", 4)))
	m.Merge(start, events(1, 10, in(1, "s1", "", 10)))
	m.Merge(start, list(2, 9, in(2, "s1", "1", 4)))
	b := m.BatchSince(start, 0)
	must.Len(t, 2, b.Items)
	must.True(t, b.Items[0].Removed)
	must.False(t, b.Items[1].Removed, must.Sprint("what the store has instead"))
}
