// Package wqdeadlinequeue is a bounded queue that returns the item with the
// earliest deadline first.
//
// The bound limits the memory. An item that cannot be served in time should be
// refused before it is pushed.
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

// Queue is a priority queue ordered by deadline. Items with equal deadlines
// leave it in the order of Push.
type Queue[T any] struct {
	Capacity int // Capacity is the maximum number of items; the zero Queue accepts none.

	entries   []entry[T] // binary heap: the children of i are at 2i+1 and 2i+2
	pushCount uint64
}

type entry[T any] struct {
	item     T
	deadline time.Time
	sequence uint64
}

// Push adds an item. It returns false when the queue is full.
func (q *Queue[T]) Push(item T, deadline time.Time) bool {
	if len(q.entries) >= q.Capacity {
		return false
	}
	q.pushCount++
	q.entries = append(q.entries, entry[T]{item, deadline, q.pushCount})
	q.siftUp(len(q.entries) - 1)
	return true
}

// Pop removes the item with the earliest deadline and returns it with its
// deadline; false means that the queue is empty.
func (q *Queue[T]) Pop() (T, time.Time, bool) {
	if len(q.entries) == 0 {
		var zero T
		return zero, time.Time{}, false
	}
	e := q.entries[0]
	last := len(q.entries) - 1
	q.entries[0] = q.entries[last]
	q.entries[last] = entry[T]{}
	q.entries = q.entries[:last]
	q.siftDown(0)
	return e.item, e.deadline, true
}

// Peek returns what Pop would return without removing it; false means that the
// queue is empty.
func (q *Queue[T]) Peek() (T, time.Time, bool) {
	if len(q.entries) == 0 {
		var zero T
		return zero, time.Time{}, false
	}
	return q.entries[0].item, q.entries[0].deadline, true
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.entries) }

// siftUp moves the entry at i up to its place in the heap.
func (q *Queue[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

// siftDown moves the entry at i down to its place in the heap.
func (q *Queue[T]) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.entries) {
			return
		}
		if child+1 < len(q.entries) && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			return
		}
		q.swap(i, child)
		i = child
	}
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := &q.entries[i], &q.entries[j]
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.sequence < b.sequence
}

func (q *Queue[T]) swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
}
