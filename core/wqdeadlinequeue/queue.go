// Package wqdeadlinequeue is a bounded queue that gives out the item with the earliest
// deadline first.
//
// The bound keeps memory in check; callers that can tell that an item will not
// be served in time should refuse it before pushing it.
//
// # Usage
//
//	q := wqdeadlinequeue.Queue[job]{Capacity: 64}
//	if !q.Push(j, deadline) {
//		// refuse j: the queue is full
//	}
//	j, deadline, ok := q.Pop()
//
// A Queue is not safe for concurrent use.
package wqdeadlinequeue

import "time"

// Queue is a queue ordered by deadline. Items with equal deadlines leave in the
// order in which they came.
type Queue[T any] struct {
	Capacity int // Capacity is the most items that it holds.

	entries []entry[T] // entries is a heap: each comes before its children at 2i+1 and 2i+2.
	pushed  uint64
}

type entry[T any] struct {
	item     T
	deadline time.Time
	number   uint64
}

// Push adds an item and reports whether there was room for it.
func (q *Queue[T]) Push(item T, deadline time.Time) bool {
	if len(q.entries) >= q.Capacity {
		return false
	}
	q.pushed++
	q.entries = append(q.entries, entry[T]{item, deadline, q.pushed})
	q.rise(len(q.entries) - 1)
	return true
}

// Pop removes the item with the earliest deadline; false means that the queue
// is empty.
func (q *Queue[T]) Pop() (T, time.Time, bool) {
	if len(q.entries) == 0 {
		var none T
		return none, time.Time{}, false
	}
	e := q.entries[0]
	last := len(q.entries) - 1
	q.entries[0] = q.entries[last]
	q.entries[last] = entry[T]{}
	q.entries = q.entries[:last]
	q.sink(0)
	return e.item, e.deadline, true
}

// Peek returns the item that Pop would remove; false means that the queue is
// empty.
func (q *Queue[T]) Peek() (T, time.Time, bool) {
	if len(q.entries) == 0 {
		var none T
		return none, time.Time{}, false
	}
	return q.entries[0].item, q.entries[0].deadline, true
}

// Len returns how many items are queued.
func (q *Queue[T]) Len() int { return len(q.entries) }

// rise moves the entry at i towards the front.
func (q *Queue[T]) rise(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

// sink moves the entry at i towards the back.
func (q *Queue[T]) sink(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.entries) {
			return
		}
		if child+1 < len(q.entries) && q.before(child+1, child) {
			child++
		}
		if !q.before(child, i) {
			return
		}
		q.swap(i, child)
		i = child
	}
}

func (q *Queue[T]) before(i, j int) bool {
	a, b := &q.entries[i], &q.entries[j]
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.number < b.number
}

func (q *Queue[T]) swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
}
