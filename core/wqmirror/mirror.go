// Package wqmirror holds this VM's replica of the items in the platform's store
// and computes the batches that bring other replicas up to date. A replica never
// reverts: for each key the highest revision wins, whether it came from the store
// or from another VM.
//
// # Usage
//
// One goroutine owns a Mirror and merges the batches of the store and of peers:
//
//	m := wqmirror.New()
//	changed := m.Merge(now, wqmirror.Batch{Full: true, Items: items, StoreRevision: 530})
//	batch := m.BatchSince(now, 412) // for a peer at revision 412
//
// A Batch holds every change from the requested revision up to its StoreRevision:
// a receiver that was complete up to the requested revision is complete up to
// StoreRevision after the merge. All revisions are ordinals of wqrevision.
//
// Removed keys are kept as tombstones for 2 min. A peer at a revision from before
// the oldest tombstone is sent a full batch.
//
// # Restored stores
//
// A store that was restored from a copy lacks its latest changes until their authors have
// written them again. A replica that knows them holds them: an item of an earlier era is
// replaced by one that is written in the present era, or by one that the store or a peer
// has and that is newer by Supersedes. One that the store does not list is removed after
// HoldTime:
//
//	m.Supersedes = func(listed, known wqmirror.Item) bool { ... }
//	m.HoldTime = func(i wqmirror.Item) time.Duration { ... }
//	changed = m.Expire(now) // from time to time
//
// A replica that begins with such a list knows of no earlier state. Full batches of
// peers that arrive within a few seconds are merged as if they had come first.
package wqmirror

import (
	"bytes"
	"time"

	"wisteriaquay/core/wqrevision"
)

// tombstoneTTL is how long a removed key is kept for peers that are behind.
const tombstoneTTL = 2 * time.Minute

// Item is the state of one key at one revision.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64        // Revision is the store's revision that set this state.
	Removed  bool          // Removed marks a tombstone: the key was deleted at Revision.
	Unlisted bool          // Unlisted marks a state from before a restore of the store, which has nothing for the key.
	Age      time.Duration // Age is the time since the first VM received this state.
}

// Batch is a set of items, from the store or from another VM.
type Batch struct {
	Items         []Item
	StoreRevision uint64 // StoreRevision is the store's revision up to which the batch is complete.
	Full          bool   // Full means that keys without an item in the batch had no value at StoreRevision.
	Written       bool   // Written means that each item was written in the era of its revision, and not brought into it by a copy.
	Source        string // Source is the sender: the name of the store's feed, or the id of a peer.
}

// Mirror is one replica. Create it with New and set the exported fields before the first
// call. Without them, a list of a restored store replaces all items of earlier eras.
type Mirror struct {
	// Supersedes reports whether an item of a restored store is a newer state of its key
	// than the latest one with a value that is known from before. Known is zero if there
	// is none.
	Supersedes func(listed, known Item) bool
	// HoldTime returns how long a state from before a restore stays in force that the
	// store contradicts: an item that it does not list, or a tombstone.
	HoldTime func(i Item) time.Duration

	entries         map[string]*entry
	storeRevision   uint64
	compactRevision uint64    // compactRevision is the highest revision whose tombstones may be missing; items at or below it in its era are ignored.
	eraSince        time.Time // eraSince is when this replica learned of the present era; zero without eras.
	first           Batch     // first is the full batch that filled this replica; empty firstPeriod later.
	firstAt         time.Time
}

type entry struct {
	item       Item
	observedAt time.Time
	before     Item  // before is the last state with a value, of a tombstone.
	listed     *Item // listed is what a restored store has for the key instead of item; nil if that is unknown, or nothing.
	unlisted   bool  // unlisted is true if a restored store is known to have nothing for the key.
}

// New returns an empty replica.
func New() *Mirror { return &Mirror{entries: make(map[string]*entry)} }

// StoreRevision returns the revision up to which the replica is complete, 0 while
// it is empty.
func (m *Mirror) StoreRevision() uint64 { return m.storeRevision }

// Merge merges a batch and returns the items that changed the replica, in no
// particular order.
func (m *Mirror) Merge(now time.Time, b Batch) []Item {
	if m.storeRevision == 0 && b.Full {
		m.first, m.firstAt = b, now
	} else if m.precedes(now, &b) {
		return m.mergeBeneath(now, b)
	}
	return m.merge(now, b)
}

func (m *Mirror) merge(now time.Time, b Batch) []Item {
	present, next := eraOf(m.storeRevision), eraOf(b.StoreRevision)
	if next > present {
		m.eraSince = now
	}
	var changed []Item
	listed := make(map[string]bool, len(b.Items))
	for i := range b.Items {
		if !b.Items[i].Removed && !b.Items[i].Unlisted {
			listed[b.Items[i].Key] = true
		}
		if m.put(now, b.Items[i], b.Written) {
			changed = append(changed, b.Items[i])
		}
	}
	if b.Full && next >= present {
		changed = append(changed, m.removeUnlisted(now, listed, b.StoreRevision)...)
		if m.storeRevision < b.StoreRevision {
			m.compactRevision = b.StoreRevision
		}
	}
	m.storeRevision = max(m.storeRevision, b.StoreRevision)
	return changed
}

// put stores an item and reports true, unless the replica has the same or a newer
// state of its key. Written is that of the batch.
func (m *Mirror) put(now time.Time, i Item, written bool) bool {
	e := m.entries[i.Key]
	if i.Revision <= m.compactRevision && eraOf(i.Revision) == eraOf(m.compactRevision) {
		return false
	}
	replacement := &entry{item: i, observedAt: now.Add(-i.Age), unlisted: i.Unlisted}
	switch {
	case e == nil:
		if m.lapsed(now, &i) {
			return false
		}
	case e.item.Revision == i.Revision:
		e.unlisted = e.unlisted || i.Unlisted
		return false
	case e.item.Revision > i.Revision, eraOf(e.item.Revision) < eraOf(i.Revision) && m.keeps(e, &i, written):
		return false
	case i.Removed:
		replacement.before = e.lastValue()
	}
	m.entries[i.Key] = replacement
	return true
}

// keeps reports whether an entry of an earlier era stays in place of an item, and notes
// in the entry what the store has.
func (m *Mirror) keeps(e *entry, i *Item, written bool) bool {
	switch {
	case e.confirm(i):
		return true
	case written, i.Removed, m.Supersedes == nil, m.Supersedes(*i, e.lastValue()):
		return false
	case !i.Unlisted:
		e.listed, e.unlisted = i, false
	}
	return true
}

// confirm moves the state to the era of i if it is the same one, which the copy of a
// restored store had.
func (e *entry) confirm(i *Item) bool {
	same := !e.item.Removed && !i.Removed && bytes.Equal(e.item.Value, i.Value) &&
		wqrevision.Of(e.item.Revision).Number == wqrevision.Of(i.Revision).Number
	if same {
		e.item.Revision, e.listed, e.unlisted = i.Revision, nil, false
	}
	return same
}

// lastValue returns the latest state with a value.
func (e *entry) lastValue() Item {
	if e.item.Removed {
		return e.before
	}
	return e.item
}

// removeUnlisted replaces the keys that a full batch does not list by tombstones,
// and returns these.
func (m *Mirror) removeUnlisted(now time.Time, listed map[string]bool, storeRevision uint64) []Item {
	var changed []Item
	for key, e := range m.entries {
		if listed[key] || e.item.Revision > storeRevision || e.listed != nil && e.listed.Revision > storeRevision {
			continue
		}
		isEarlier := eraOf(e.item.Revision) < eraOf(storeRevision)
		if isEarlier {
			e.listed, e.unlisted = nil, true
		}
		if e.item.Removed || isEarlier && m.holds(now, &e.item) {
			continue
		}
		changed = append(changed, m.remove(now, e, storeRevision))
	}
	return changed
}

// remove replaces an entry by a tombstone and returns it.
func (m *Mirror) remove(now time.Time, e *entry, revision uint64) Item {
	tombstone := Item{Key: e.item.Key, Revision: revision, Removed: true}
	m.entries[e.item.Key] = &entry{item: tombstone, observedAt: now, before: e.lastValue()}
	return tombstone
}

// BatchSince returns the items that a replica complete up to revision after is
// missing. The batch is full when the tombstones since then are incomplete. A replica of
// an earlier era, or one that is sent a full batch, also gets the states that are held.
func (m *Mirror) BatchSince(now time.Time, after uint64) Batch {
	m.expireTombstones(now)
	b := Batch{StoreRevision: m.storeRevision, Full: after < m.compactRevision}
	sendsHeld := b.Full || eraOf(after) < eraOf(m.storeRevision)
	for _, e := range m.entries {
		isHeld := eraOf(e.item.Revision) < eraOf(m.storeRevision)
		if isHeld && sendsHeld || !isHeld && (b.Full && !e.item.Removed || !b.Full && e.item.Revision > after) {
			b.Items = append(b.Items, e.itemAt(now))
		}
		if e.isListed(m.storeRevision) && (b.Full || e.listed.Revision > after) {
			b.Items = append(b.Items, *e.listed) // After the state that it may not replace.
		}
	}
	return b
}

// isListed reports whether the store has another state in place of this one in the era of
// a revision.
func (e *entry) isListed(revision uint64) bool {
	return e.listed != nil && eraOf(e.listed.Revision) == eraOf(revision)
}

// itemAt returns the item as it is sent to another replica.
func (e *entry) itemAt(now time.Time) Item {
	i := e.item
	i.Age, i.Unlisted = now.Sub(e.observedAt), e.unlisted
	return i
}

// expireTombstones deletes tombstones older than tombstoneTTL; replicas that are
// further behind are sent a full batch.
func (m *Mirror) expireTombstones(now time.Time) {
	for key, e := range m.entries {
		if e.item.Removed && now.Sub(e.observedAt) > tombstoneTTL {
			m.compactRevision = max(m.compactRevision, e.item.Revision)
			delete(m.entries, key)
		}
	}
}

func eraOf(revision uint64) uint64 { return wqrevision.Of(revision).Era }
