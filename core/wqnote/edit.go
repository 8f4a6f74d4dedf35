package wqnote

import (
	"fmt"
	"maps"
	"slices"
)

// change is what a note does to entries of one kind.
type change[K comparable, T any] struct {
	added     []T
	changed   []T
	withdrawn []K
}

// edit returns a copy of entries with a change made. An entry that is added
// while it exists, changed or withdrawn while it does not, or named twice is a
// fault.
func edit[K comparable, T any](noun string, entries []T, key func(T) K, c change[K, T], f *faults) []T {
	named := names(noun, key, c, f)
	index := make(map[K]int, len(named))
	for i, e := range entries {
		if named[key(e)] {
			index[key(e)] = i
		}
	}
	next := make([]T, len(entries), len(entries)+len(c.added))
	copy(next, entries)
	for _, e := range c.changed {
		i, found := index[key(e)]
		f.add(!found, fmt.Sprintf("%s %v is changed but does not exist", noun, key(e)), "correct its name, or add it instead")
		if found {
			next[i] = e
		}
	}
	next = withdraw(noun, next, index, key, c.withdrawn, f)
	for _, e := range c.added {
		_, found := index[key(e)]
		f.add(found, fmt.Sprintf("%s %v is added but exists", noun, key(e)), "change it instead, or choose another name")
		next = append(next, e)
	}
	if len(next) == 0 {
		return nil // Equal topologies have equal lists, whatever led to them.
	}
	return next
}

func withdraw[K comparable, T any](noun string, entries []T, index map[K]int, key func(T) K, names []K, f *faults) []T {
	gone := make(map[K]bool, len(names))
	for _, k := range names {
		_, found := index[k]
		f.add(!found, fmt.Sprintf("%s %v is withdrawn but does not exist", noun, k), "correct its name, or leave it out")
		gone[k] = true
	}
	if len(gone) == 0 {
		return entries
	}
	return slices.DeleteFunc(entries, func(e T) bool { return gone[key(e)] })
}

// names returns every key that a change names; a key named twice is a fault.
func names[K comparable, T any](noun string, key func(T) K, c change[K, T], f *faults) map[K]bool {
	named := make(map[K]bool, len(c.added)+len(c.changed)+len(c.withdrawn))
	mark := func(k K) {
		f.add(named[k], fmt.Sprintf("%s %v is named twice", noun, k), "name it once, in added, changed or withdrawn")
		named[k] = true
	}
	for _, e := range slices.Concat(c.added, c.changed) {
		mark(key(e))
	}
	for _, k := range c.withdrawn {
		mark(k)
	}
	return named
}

func sorted(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}
