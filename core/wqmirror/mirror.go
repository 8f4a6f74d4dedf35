// Package wqmirror keeps this VM's copy of the items in the platform's store and
// tells other VMs what they lack. A copy never goes back: for each key the
// highest revision wins, whichever way it came.
//
// # Usage
//
// One goroutine owns a Mirror and feeds it what the store and peers say:
//
//	m := wqmirror.New()
//	changed := m.Take(now, wqmirror.Batch{Whole: true, Items: items, AsOf: 530})
//	batch := m.Since(now, 412) // for a peer that knows all up to revision 412
//
// A Batch is complete up to its AsOf: the receiver, having known all up to the
// revision that it asked for, knows all up to AsOf afterwards.
package wqmirror

import "time"

// keepRemoved is how long a removal is remembered for peers that lag.
const keepRemoved = 2 * time.Minute

// Item is one key's state.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64        // Revision is the store's revision of this state.
	Removed  bool          // Removed is true when the key is gone since Revision.
	Age      time.Duration // Age is how long ago some VM first learned of this state.
}

// Batch is a set of states.
type Batch struct {
	Items  []Item
	AsOf   uint64 // AsOf is the store's revision up to which the batch is complete.
	Full   bool   // Full means that keys which the batch does not name had no value at AsOf.
	Source string // Source names who gave it: the store, or a peer's id.
}

// Mirror is one copy. Create it with New.
type Mirror struct {
	items    map[string]*state
	asOf     uint64
	complete uint64 // complete is the revision from which on removals are remembered; all states up to it are known or outdated.
}

type state struct {
	item      Item
	learnedAt time.Time
}

// New returns an empty copy, which knows nothing.
func New() *Mirror { return &Mirror{items: make(map[string]*state)} }

// AsOf returns the revision up to which the copy is complete; 0 while it is empty.
func (m *Mirror) AsOf() uint64 { return m.asOf }

// Merge merges a batch and returns the states that are news, in no order.
func (m *Mirror) Merge(now time.Time, b Batch) []Item {
	var news []Item
	named := make(map[string]bool, len(b.Items))
	for i := range b.Items {
		named[b.Items[i].Key] = true
		if m.learn(now, b.Items[i]) {
			news = append(news, b.Items[i])
		}
	}
	if b.Full {
		news = append(news, m.dropUnnamed(now, named, b.AsOf)...)
		if m.asOf < b.AsOf {
			m.complete = b.AsOf
		}
	}
	m.asOf = max(m.asOf, b.AsOf)
	return news
}

// learn keeps an item if it is newer than the known state of its key.
func (m *Mirror) learn(now time.Time, i Item) bool {
	known := m.items[i.Key]
	if i.Revision <= m.complete || known != nil && known.item.Revision >= i.Revision {
		return false
	}
	m.items[i.Key] = &state{item: i, learnedAt: now.Add(-i.Age)}
	return true
}

// dropUnnamed removes the keys that a whole batch does not name.
func (m *Mirror) dropUnnamed(now time.Time, named map[string]bool, asOf uint64) []Item {
	var news []Item
	for key, s := range m.items {
		if named[key] || s.item.Removed || s.item.Revision > asOf {
			continue
		}
		gone := Item{Key: key, Revision: asOf, Removed: true}
		m.items[key] = &state{item: gone, learnedAt: now}
		news = append(news, gone)
	}
	return news
}

// BatchSince returns what a copy that is complete up to a revision lacks.
func (m *Mirror) BatchSince(now time.Time, after uint64) Batch {
	m.forget(now)
	b := Batch{AsOf: m.asOf, Full: after < m.complete}
	for _, s := range m.items {
		if b.Full && s.item.Removed || !b.Full && s.item.Revision <= after {
			continue
		}
		i := s.item
		i.Age = now.Sub(s.learnedAt)
		b.Items = append(b.Items, i)
	}
	return b
}

// forget drops old removals; a copy that lags further is sent everything.
func (m *Mirror) forget(now time.Time) {
	for key, s := range m.items {
		if s.item.Removed && now.Sub(s.learnedAt) > keepRemoved {
			m.complete = max(m.complete, s.item.Revision)
			delete(m.items, key)
		}
	}
}
