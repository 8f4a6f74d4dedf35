// Package wqanswer builds answers. It is the only place that computes the coverage
// of an answer, and it computes it from the results that were merged.
//
// # Usage
//
// A Builder collects the results of one snapshot; each shard counts once:
//
//	b := wqanswer.NewBuilder(7, index.Shards("bench", 7), 100)
//	b.MarkAnswered("b03", 2)
//	b.AddRow(row)
//	b.SetMissingReason("b04", wqanswer.Shed)
//	answer, err := b.Build(1)
//
// A query that switches to another snapshot fills another Builder, so that an
// answer never mixes rows of two snapshots.
package wqanswer

import (
	"cmp"
	"fmt"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqmerge"
)

// Builder collects the results of one snapshot and builds the answer from them.
type Builder struct {
	Snapshot      uint64
	shards        []string
	indexByShard  map[string]int
	results       []shardResult
	answeredCount int
	topRows       wqmerge.Top[Row, byScore]
}

type shardResult struct {
	answered    bool
	matchedRows uint32
	reason      Reason
}

type byScore struct{}

// Before ranks higher scores first, then lower keys, then lower shards.
func (byScore) Before(a, b *Row) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	if c := cmp.Compare(a.Key, b.Key); c != 0 {
		return c < 0
	}
	return a.Shard < b.Shard
}

// NewBuilder returns an empty Builder for a snapshot with these shards. It keeps at
// most limit rows. A shard that is listed twice counts once.
func NewBuilder(snapshot uint64, shards []string, limit int) *Builder {
	b := &Builder{Snapshot: snapshot, indexByShard: make(map[string]int, len(shards))}
	b.topRows.Limit = limit
	b.shards = shards
	for i, n := range shards {
		if _, duplicate := b.indexByShard[n]; duplicate {
			return NewBuilder(snapshot, distinct(shards), limit)
		}
		b.indexByShard[n] = i
	}
	b.results = make([]shardResult, len(shards))
	return b
}

func distinct(names []string) []string {
	seen := make(map[string]bool, len(names))
	unique := make([]string, 0, len(names))
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			unique = append(unique, n)
		}
	}
	return unique
}

// Shards returns the shards of the snapshot; the caller must not modify the slice.
func (b *Builder) Shards() []string { return b.shards }

// ShardIndex returns the index of a shard in Shards, false if the snapshot has no
// such shard.
func (b *Builder) ShardIndex(shard string) (int, bool) {
	i, ok := b.indexByShard[shard]
	return i, ok
}

// Answered reports whether the shard at this index has answered.
func (b *Builder) Answered(idx int) bool { return b.results[idx].answered }

// MarkAnswered records that a shard answered and how many rows it matched. It
// returns false and changes nothing if the snapshot has no such shard or the shard
// has answered before. Add its rows with AddRow.
func (b *Builder) MarkAnswered(shard string, matched uint32) bool {
	i, ok := b.indexByShard[shard]
	if !ok || b.results[i].answered {
		return false
	}
	b.results[i] = shardResult{answered: true, matchedRows: matched}
	b.answeredCount++
	return true
}

// AddRow adds a row of an answered shard. Only the best rows up to the limit are
// kept. The row must come from the answer that MarkAnswered counted for its shard.
func (b *Builder) AddRow(r Row) { b.topRows.Add(r) }

// SetMissingReason sets why a shard has not answered. A later answer still counts.
func (b *Builder) SetMissingReason(shard string, reason Reason) {
	i, ok := b.indexByShard[shard]
	if ok && !b.results[i].answered {
		b.results[i].reason = reason
	}
}

// Progress returns the number of answered shards and of all shards.
func (b *Builder) Progress() (answered, total int) { return b.answeredCount, len(b.shards) }

// Complete reports whether every shard answered; false without shards.
func (b *Builder) Complete() bool { return len(b.shards) > 0 && b.answeredCount == len(b.shards) }

// Build returns the answer. When its coverage is below minCoverage (0 to 1), it
// returns the answer without rows and counts, and an Incomplete fault.
func (b *Builder) Build(minCoverage float64) (Answer, error) {
	a := Answer{Snapshot: b.Snapshot, ShardsTotal: len(b.shards), ShardsAnswered: b.answeredCount}
	a.MatchCounts = make([]MatchCount, 0, b.answeredCount)
	for i, r := range b.results {
		if r.answered {
			a.MatchCounts = append(a.MatchCounts, MatchCount{Shard: b.shards[i], MatchedRows: r.matchedRows})
			continue
		}
		a.Missing = append(a.Missing, MissingShard{Shard: b.shards[i], Reason: cmp.Or(r.reason, DeadlineExceeded)})
	}
	if err := checkCoverage(&a, minCoverage); err != nil {
		a.MatchCounts = nil
		return a, err
	}
	a.Rows = b.topRows.Sorted()
	return a, nil
}

func checkCoverage(a *Answer, minCoverage float64) error {
	if a.ShardsTotal > 0 && a.Coverage() >= minCoverage {
		return nil
	}
	message := fmt.Sprintf("%d of %d shards answered", a.ShardsAnswered, a.ShardsTotal)
	if len(a.Missing) > 0 {
		message += fmt.Sprintf(", %s is missing: %s", a.Missing[0].Shard, a.Missing[0].Reason)
	}
	return wqfault.New(wqfault.Incomplete, message, "retry with a longer timeout or a lower least_coverage")
}
