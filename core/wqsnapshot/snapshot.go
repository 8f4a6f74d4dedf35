// Package wqsnapshot chooses the index snapshot that all rows of an answer come
// from.
//
// # Usage
//
//	choice := wqsnapshot.Choose(candidates, shards, serves)
//	if choice.UnservedShards > 0 { ... the answer will be partial ... }
//
// The shards of a snapshot are those of its own layout, so that an answer never
// mixes shards from before and after a repartition.
package wqsnapshot

import "slices"

// Choice is a snapshot and the number of its shards that no replica serves.
type Choice struct {
	Snapshot       uint64 // Snapshot is 0 if no candidate has a layout.
	UnservedShards int
}

// Choose returns the newest candidate with all shards of its layout served, else
// the one with the largest share of shards served, the newest of equals. It
// ignores 0 and candidates without shards.
func Choose(candidates []uint64, shards func(snapshot uint64) []string, serves func(shard string, snapshot uint64) bool) Choice {
	ordered := slices.Clone(candidates)
	slices.Sort(ordered)
	ordered = slices.Compact(ordered)
	var best Choice
	bestShare := -1.0
	for _, c := range slices.Backward(ordered) {
		layout := shards(c)
		if c == 0 || len(layout) == 0 {
			continue
		}
		missing := countMissing(layout, c, serves)
		share := 1 - float64(missing)/float64(len(layout))
		if share > bestShare {
			best, bestShare = Choice{Snapshot: c, UnservedShards: missing}, share
		}
		if missing == 0 {
			break
		}
	}
	return best
}

func countMissing(layout []string, snapshot uint64, serves func(string, uint64) bool) int {
	missing := 0
	for _, s := range layout {
		if !serves(s, snapshot) {
			missing++
		}
	}
	return missing
}
