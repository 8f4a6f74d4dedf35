// Package wqttl holds a bounded table whose entries lapse a fixed time after
// they were added. Time comes in as an argument, and it may jump ahead, as it
// does for a process that was frozen.
//
// # Usage
//
//	t := wqttl.New[string, record](time.Minute, 1000)
//	if !t.Add("a", record{}, now) { ... } // full
//	r := t.Get("a")
//	t.Expire(now, func(key string, r *record) { ... })
//
// A Table is not safe for concurrent use.
package wqttl

import "time"

// Table maps keys to values for a fixed time after they were added.
type Table[K comparable, V any] struct {
	keep    time.Duration
	most    int
	entries map[K]*V
	queue   []slot[K]
	head    int
}

type slot[K any] struct {
	key K
	end time.Time
}

// New returns a table of at most most entries that are kept for keep each.
func New[K comparable, V any](keep time.Duration, most int) *Table[K, V] {
	return &Table[K, V]{keep: keep, most: most, entries: make(map[K]*V)}
}

// Add stores a value under a new key. It reports false, and stores nothing,
// when the table is full or has the key.
func (t *Table[K, V]) Add(key K, value V, now time.Time) bool {
	if len(t.entries) >= t.most || t.entries[key] != nil {
		return false
	}
	t.entries[key] = &value
	t.queue = append(t.queue, slot[K]{key, now.Add(t.keep)})
	return true
}

// Get returns the value under key, or nil.
func (t *Table[K, V]) Get(key K) *V { return t.entries[key] }

// Len returns the number of entries.
func (t *Table[K, V]) Len() int { return len(t.entries) }

// Each calls visit for every entry, oldest first.
func (t *Table[K, V]) Each(visit func(key K, value *V)) {
	for _, s := range t.queue[t.head:] {
		visit(s.key, t.entries[s.key])
	}
}

// Expire removes the entries whose time has passed, oldest first, and hands
// each to lapsed.
func (t *Table[K, V]) Expire(now time.Time, lapsed func(key K, value *V)) {
	for t.head < len(t.queue) && !t.queue[t.head].end.After(now) {
		key := t.queue[t.head].key
		value := t.entries[key]
		delete(t.entries, key)
		t.queue[t.head] = slot[K]{}
		t.head++
		lapsed(key, value)
	}
	t.compact()
}

// compact frees the front of the queue once it is the larger part.
func (t *Table[K, V]) compact() {
	if t.head*2 <= len(t.queue) {
		return
	}
	t.queue = append(t.queue[:0], t.queue[t.head:]...)
	t.head = 0
}
