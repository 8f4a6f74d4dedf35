// Package wqqueue is a bounded queue that gives out the item with the earliest
// deadline first.
//
// The bound keeps memory in check; callers that can tell that an item will not
// be served in time should refuse it before pushing it.
//
// # Usage
//
//	q := wqqueue.Queue[job]{Capacity: 64}
//	if !q.Push(j, deadline) {
//		// refuse j: the queue is full
//	}
//	j, deadline, ok := q.Pop()
//
// A Queue is not safe for concurrent use.
package wqqueue

import (
	"container/heap"
	"time"
)

// Queue is a queue ordered by deadline. Items with equal deadlines leave in the
// order in which they came.
type Queue[T any] struct {
	Capacity int // Capacity is the most items that it holds.

	entries entries[T]
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
	heap.Push(&q.entries, entry[T]{item, deadline, q.pushed})
	return true
}

// Pop removes the item with the earliest deadline; false means that the queue
// is empty.
func (q *Queue[T]) Pop() (T, time.Time, bool) {
	if len(q.entries) == 0 {
		var none T
		return none, time.Time{}, false
	}
	e := heap.Pop(&q.entries).(entry[T])
	return e.item, e.deadline, true
}

// First returns the item that Pop would remove; false means that the queue is
// empty.
func (q *Queue[T]) First() (T, time.Time, bool) {
	if len(q.entries) == 0 {
		var none T
		return none, time.Time{}, false
	}
	return q.entries[0].item, q.entries[0].deadline, true
}

// Len returns how many items are queued.
func (q *Queue[T]) Len() int { return len(q.entries) }

// entries implements heap.Interface.
type entries[T any] []entry[T]

// Len implements sort.Interface.
func (e entries[T]) Len() int { return len(e) }

// Less implements sort.Interface.
func (e entries[T]) Less(i, j int) bool {
	if !e[i].deadline.Equal(e[j].deadline) {
		return e[i].deadline.Before(e[j].deadline)
	}
	return e[i].number < e[j].number
}

// Swap implements sort.Interface.
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries[T]) Push(x any) { *e = append(*e, x.(entry[T])) }

// Pop implements heap.Interface.
func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*e = old[:len(old)-1]
	return last
}
