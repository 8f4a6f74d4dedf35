package wqnote

import (
	"fmt"
	"maps"
	"slices"
)

// change holds the changes that a note makes to entries of one kind.
type change[K comparable, T any] struct {
	added     []T
	changed   []T
	withdrawn []K
}

// applyChange returns a copy of entries with a change applied. It is a fault to add
// an entry that exists, to change or withdraw one that does not, or to name an
// entry twice.
func applyChange[K comparable, T any](noun string, entries []T, key func(T) K, c change[K, T], f *faults) []T {
	keys := changedKeys(noun, key, c, f)
	index := make(map[K]int, len(keys))
	for i, e := range entries {
		if keys[key(e)] {
			index[key(e)] = i
		}
	}
	next := make([]T, len(entries), len(entries)+len(c.added))
	copy(next, entries)
	for _, e := range c.changed {
		i, found := index[key(e)]
		f.addIf(!found, fmt.Sprintf("%s %v is changed but does not exist", noun, key(e)), "correct its name, or add it instead")
		if found {
			next[i] = e
		}
	}
	next = removeWithdrawn(noun, next, index, key, c.withdrawn, f)
	for _, e := range c.added {
		_, found := index[key(e)]
		f.addIf(found, fmt.Sprintf("%s %v is added but exists", noun, key(e)), "change it instead, or choose another name")
		next = append(next, e)
	}
	if len(next) == 0 {
		return nil // nil, not empty, so that equal topologies compare and hash equally.
	}
	return next
}

func removeWithdrawn[K comparable, T any](noun string, entries []T, index map[K]int, key func(T) K, keys []K, f *faults) []T {
	withdrawn := make(map[K]bool, len(keys))
	for _, k := range keys {
		_, found := index[k]
		f.addIf(!found, fmt.Sprintf("%s %v is withdrawn but does not exist", noun, k), "correct its name, or leave it out")
		withdrawn[k] = true
	}
	if len(withdrawn) == 0 {
		return entries
	}
	return slices.DeleteFunc(entries, func(e T) bool { return withdrawn[key(e)] })
}

// changedKeys returns all keys in a change; a key that is in it twice is a fault.
func changedKeys[K comparable, T any](noun string, key func(T) K, c change[K, T], f *faults) map[K]bool {
	keys := make(map[K]bool, len(c.added)+len(c.changed)+len(c.withdrawn))
	addKey := func(k K) {
		f.addIf(keys[k], fmt.Sprintf("%s %v is named twice", noun, k), "name it once, in added, changed or withdrawn")
		keys[k] = true
	}
	for _, e := range slices.Concat(c.added, c.changed) {
		addKey(key(e))
	}
	for _, k := range c.withdrawn {
		addKey(k)
	}
	return keys
}

func sortedKeys(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}
