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
// StoreRevision after the merge.
//
// Removed keys are kept as tombstones for 2 min. A peer at a revision from before
// the oldest tombstone is sent a full batch.
package wqmirror

import "time"

// tombstoneTTL is how long a removed key is kept for peers that are behind.
const tombstoneTTL = 2 * time.Minute

// Item is the state of one key at one revision.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64        // Revision is the store's revision that set this state.
	Removed  bool          // Removed marks a tombstone: the key was deleted at Revision.
	Age      time.Duration // Age is the time since the first VM received this state.
}

// Batch is a set of items, from the store or from another VM.
type Batch struct {
	Items         []Item
	StoreRevision uint64 // StoreRevision is the store's revision up to which the batch is complete.
	Full          bool   // Full means that keys without an item in the batch had no value at StoreRevision.
	Source        string // Source is the sender: the name of the store's feed, or the id of a peer.
}

// Mirror is one replica. Create it with New.
type Mirror struct {
	entries         map[string]*entry
	storeRevision   uint64
	compactRevision uint64 // compactRevision is the highest revision whose tombstones may be missing; items at or below it are ignored.
}

type entry struct {
	item       Item
	observedAt time.Time
}

// New returns an empty replica.
func New() *Mirror { return &Mirror{entries: make(map[string]*entry)} }

// StoreRevision returns the revision up to which the replica is complete, 0 while
// it is empty.
func (m *Mirror) StoreRevision() uint64 { return m.storeRevision }

// Merge merges a batch and returns the items that changed the replica, in no
// particular order.
func (m *Mirror) Merge(now time.Time, b Batch) []Item {
	var changed []Item
	listed := make(map[string]bool, len(b.Items))
	for i := range b.Items {
		listed[b.Items[i].Key] = true
		if m.put(now, b.Items[i]) {
			changed = append(changed, b.Items[i])
		}
	}
	if b.Full {
		changed = append(changed, m.removeUnlisted(now, listed, b.StoreRevision)...)
		if m.storeRevision < b.StoreRevision {
			m.compactRevision = b.StoreRevision
		}
	}
	m.storeRevision = max(m.storeRevision, b.StoreRevision)
	return changed
}

// put stores an item and reports true, unless the replica has the same or a newer
// state of its key.
func (m *Mirror) put(now time.Time, i Item) bool {
	existing := m.entries[i.Key]
	if i.Revision <= m.compactRevision || existing != nil && existing.item.Revision >= i.Revision {
		return false
	}
	m.entries[i.Key] = &entry{item: i, observedAt: now.Add(-i.Age)}
	return true
}

// removeUnlisted replaces the keys that a full batch does not list by tombstones,
// and returns these.
func (m *Mirror) removeUnlisted(now time.Time, listed map[string]bool, storeRevision uint64) []Item {
	var changed []Item
	for key, e := range m.entries {
		if listed[key] || e.item.Removed || e.item.Revision > storeRevision {
			continue
		}
		tombstone := Item{Key: key, Revision: storeRevision, Removed: true}
		m.entries[key] = &entry{item: tombstone, observedAt: now}
		changed = append(changed, tombstone)
	}
	return changed
}

// BatchSince returns the items that a replica complete up to revision after is
// missing. The batch is full when the tombstones since then are incomplete.
func (m *Mirror) BatchSince(now time.Time, after uint64) Batch {
	m.expireTombstones(now)
	b := Batch{StoreRevision: m.storeRevision, Full: after < m.compactRevision}
	for _, e := range m.entries {
		if b.Full && e.item.Removed || !b.Full && e.item.Revision <= after {
			continue
		}
		i := e.item
		i.Age = now.Sub(e.observedAt)
		b.Items = append(b.Items, i)
	}
	return b
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
