// Package wqttl provides a bounded table whose entries expire a fixed time
// after they were added. The caller passes the current time in, and it may jump
// ahead, as it does when the process was paused.
//
// # Usage
//
//	t := wqttl.New[string, record](time.Minute, 1000)
//	if !t.Add("a", record{}, now) { ... } // full, or the key exists
//	r := t.Get("a")
//	t.Expire(now, func(key string, r *record) { ... })
//
// A Table is not safe for concurrent use.
package wqttl

import "time"

// Table maps keys to values until their TTL has passed.
type Table[K comparable, V any] struct {
	ttl      time.Duration
	capacity int
	entries  map[K]*V
	queue    []expiry[K] // ordered by time; those before head are removed already
	head     int         // index of the oldest entry in queue
}

// expiry is when the entry under a key expires.
type expiry[K any] struct {
	key K
	at  time.Time
}

// New returns a table of at most capacity entries, which expire ttl after they
// were added.
func New[K comparable, V any](ttl time.Duration, capacity int) *Table[K, V] {
	return &Table[K, V]{ttl: ttl, capacity: capacity, entries: make(map[K]*V)}
}

// Add stores a value under a new key. It returns false and stores nothing when
// the table is full or already has the key.
func (t *Table[K, V]) Add(key K, value V, now time.Time) bool {
	if len(t.entries) >= t.capacity || t.entries[key] != nil {
		return false
	}
	t.entries[key] = &value
	t.queue = append(t.queue, expiry[K]{key, now.Add(t.ttl)})
	return true
}

// Get returns the value under key, nil when there is none.
func (t *Table[K, V]) Get(key K) *V { return t.entries[key] }

// Len returns the number of entries.
func (t *Table[K, V]) Len() int { return len(t.entries) }

// Each calls visit for every entry, oldest first.
func (t *Table[K, V]) Each(visit func(key K, value *V)) {
	for _, e := range t.queue[t.head:] {
		visit(e.key, t.entries[e.key])
	}
}

// Expire removes the entries whose TTL has passed at now, oldest first, and
// calls onExpired with each.
func (t *Table[K, V]) Expire(now time.Time, onExpired func(key K, value *V)) {
	for t.head < len(t.queue) && !t.queue[t.head].at.After(now) {
		key := t.queue[t.head].key
		value := t.entries[key]
		delete(t.entries, key)
		t.queue[t.head] = expiry[K]{}
		t.head++
		onExpired(key, value)
	}
	t.compactQueue()
}

// compactQueue frees the removed front of the queue when it is more than half
// of it.
func (t *Table[K, V]) compactQueue() {
	if t.head*2 <= len(t.queue) {
		return
	}
	t.queue = append(t.queue[:0], t.queue[t.head:]...)
	t.head = 0
}
