// Package wqmerge selects the highest-ranked items of several lists without
// storing the others.
//
// # Usage
//
// The order is a type parameter, so that a comparison needs no interface call:
//
//	top := wqmerge.Top[Row, byScore]{Limit: 100}
//	top.Add(row)
//	rows := top.Sorted()
package wqmerge

import "slices"

// Order ranks items.
type Order[T any] interface {
	// Before reports whether a ranks above b. It must be a strict weak order.
	Before(a, b *T) bool
}

// Top keeps the Limit highest-ranked items that were added. The zero value keeps
// none.
type Top[T any, O Order[T]] struct {
	Limit int // Limit is the maximum number of items kept.
	Order O
	items []T // items is a heap with the lowest-ranked item first.
}

// Add adds an item if it is among the best so far and reports whether it did.
func (t *Top[T, O]) Add(item T) bool {
	if t.Limit <= 0 {
		return false
	}
	if len(t.items) < t.Limit {
		t.items = append(t.items, item)
		t.siftUp(len(t.items) - 1)
		return true
	}
	if !t.Order.Before(&item, &t.items[0]) {
		return false
	}
	t.items[0] = item
	t.siftDown(0)
	return true
}

// Len returns the number of items kept.
func (t *Top[T, O]) Len() int { return len(t.items) }

// Sorted returns the kept items in a new slice, highest rank first.
func (t *Top[T, O]) Sorted() []T {
	sorted := slices.Clone(t.items)
	slices.SortFunc(sorted, func(a, b T) int {
		if t.Order.Before(&a, &b) {
			return -1
		}
		if t.Order.Before(&b, &a) {
			return 1
		}
		return 0
	})
	return sorted
}

func (t *Top[T, O]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !t.Order.Before(&t.items[parent], &t.items[i]) {
			return
		}
		t.items[parent], t.items[i] = t.items[i], t.items[parent]
		i = parent
	}
}

func (t *Top[T, O]) siftDown(i int) {
	for {
		worst := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(t.items); c++ {
			if t.Order.Before(&t.items[worst], &t.items[c]) {
				worst = c
			}
		}
		if worst == i {
			return
		}
		t.items[i], t.items[worst] = t.items[worst], t.items[i]
		i = worst
	}
}
