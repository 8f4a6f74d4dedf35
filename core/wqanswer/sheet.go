// Package wqanswer seals answers: it is the only place that computes an
// answer's coverage, and it computes it from the results that were merged.
//
// # Usage
//
// A Sheet collects the results of one snapshot; each shard counts once:
//
//	s := wqanswer.NewBuilder(7, index.Shards("bench", 7), 100)
//	s.Take("b03", 2, rows)
//	s.Excuse("b04", wqanswer.Shed)
//	answer, err := s.Seal(1)
//
// A query that moves to another snapshot fills another Sheet; a Sheet never
// accepts rows of two snapshots.
package wqanswer

import (
	"cmp"
	"fmt"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqmerge"
)

// Builder collects the results of one snapshot.
type Builder struct {
	Snapshot uint64
	shards   []string
	places   map[string]int
	entries  []entry
	answered int
	top      wqmerge.Top[Row, byScore]
}

type entry struct {
	answered bool
	matched  uint32
	reason   Reason
}

type byScore struct{}

// Before ranks higher scores first, then lower shards and keys.
func (byScore) Before(a, b *Row) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	if c := cmp.Compare(a.Key, b.Key); c != 0 {
		return c < 0
	}
	return a.Shard < b.Shard
}

// NewBuilder returns an empty Sheet for a snapshot with these shards, keeping at
// most limit rows. A shard named twice counts once.
func NewBuilder(snapshot uint64, shards []string, limit int) *Builder {
	s := &Builder{Snapshot: snapshot, places: make(map[string]int, len(shards))}
	s.top.Limit = limit
	s.shards = shards
	for i, n := range shards {
		if _, twice := s.places[n]; twice {
			return NewBuilder(snapshot, distinct(shards), limit)
		}
		s.places[n] = i
	}
	s.entries = make([]entry, len(shards))
	return s
}

func distinct(names []string) []string {
	seen := make(map[string]bool, len(names))
	kept := make([]string, 0, len(names))
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			kept = append(kept, n)
		}
	}
	return kept
}

// Shards returns the shards of the snapshot; the caller must not change them.
func (s *Builder) Shards() []string { return s.shards }

// ShardIndex returns the position of a shard in Shards, false when the snapshot has
// no such shard.
func (s *Builder) ShardIndex(shard string) (int, bool) {
	i, ok := s.places[shard]
	return i, ok
}

// Answered reports whether the shard at this position was taken.
func (s *Builder) Answered(place int) bool { return s.entries[place].answered }

// MarkAnswered counts the answer of one shard. It returns false and changes nothing
// when the snapshot has no such shard or the shard was taken before. Its rows
// follow through Add.
func (s *Builder) MarkAnswered(shard string, matched uint32) bool {
	i, ok := s.places[shard]
	if !ok || s.entries[i].answered {
		return false
	}
	s.entries[i] = entry{answered: true, matched: matched}
	s.answered++
	return true
}

// AddRow offers a row of a shard that was taken with the same message.
func (s *Builder) AddRow(r Row) { s.top.Add(r) }

// SetMissingReason notes why a shard has not answered; an answer afterwards still counts.
func (s *Builder) SetMissingReason(shard string, why Reason) {
	i, ok := s.places[shard]
	if ok && !s.entries[i].answered {
		s.entries[i].reason = why
	}
}

// Progress returns how many shards were taken and how many there are.
func (s *Builder) Progress() (answered, total int) { return s.answered, len(s.shards) }

// Complete reports whether every shard was taken.
func (s *Builder) Complete() bool { return len(s.shards) > 0 && s.answered == len(s.shards) }

// Build returns the answer. When the share of answered shards is below least, 0
// to 1, it returns the answer without rows and an Incomplete fault.
func (s *Builder) Build(least float64) (Answer, error) {
	a := Answer{Snapshot: s.Snapshot, ShardsTotal: len(s.shards), ShardsAnswered: s.answered}
	a.MatchCounts = make([]MatchCount, 0, s.answered)
	for i, e := range s.entries {
		if e.answered {
			a.MatchCounts = append(a.MatchCounts, MatchCount{Shard: s.shards[i], MatchedRows: e.matched})
			continue
		}
		a.Missing = append(a.Missing, MissingShard{Shard: s.shards[i], Reason: cmp.Or(e.reason, Late)})
	}
	if err := demand(&a, least); err != nil {
		a.MatchCounts = nil
		return a, err
	}
	a.Rows = s.top.Sorted()
	return a, nil
}

func demand(a *Answer, least float64) error {
	if a.ShardsTotal > 0 && a.Coverage() >= least {
		return nil
	}
	message := fmt.Sprintf("%d of %d shards answered", a.ShardsAnswered, a.ShardsTotal)
	if len(a.Missing) > 0 {
		message += fmt.Sprintf(", %s is missing: %s", a.Missing[0].Shard, a.Missing[0].Reason)
	}
	return wqfault.New(wqfault.Incomplete, message, "retry, allow more time or ask for a lower least_coverage")
}
