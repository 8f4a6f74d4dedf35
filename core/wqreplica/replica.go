// Package wqreplica chooses the replica, and the holder to reach it through, for a
// sub-query.
//
// # Usage
//
// A policy is a type parameter of wqfanout.Query. TwoChoices compares two
// candidates by the latencies and failures that this VM observed; Random is a
// policy without state, for comparison:
//
//	stats := wqreplica.NewStats()
//	policy := wqreplica.TwoChoices{Stats: stats}
//	i := policy.Pick(now, candidates, random)
//	policy.RecordSent(&candidates[i])
//	policy.RecordResult(now, &candidates[i], wqobservation.Answered, 4*time.Millisecond)
package wqreplica

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

// Candidate is one way to reach a shard: a searcher and one of its holders.
type Candidate struct {
	SearcherID string
	MemberID   string
	Slots      int           // Slots is the concurrency limit of the holder to this searcher.
	SameZone   bool          // SameZone is true if the searcher is in the availability zone of this VM.
	Cold       bool          // Cold is true during the cold start of the searcher.
	Latency    time.Duration // Latency is the latency estimate in the view; 0 means unknown.

	stats *candidateStats // stats is set by TwoChoices to save the lookup.
}

// Random picks a random candidate and records nothing.
type Random struct{}

// Pick returns the index of a candidate, -1 if there is none.
func (Random) Pick(_ time.Time, candidates []Candidate, random uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	return int(random % uint64(len(candidates)))
}

// RecordSent does nothing.
func (Random) RecordSent(*Candidate) {}

// RecordResult does nothing.
func (Random) RecordResult(time.Time, *Candidate, wqobservation.Status, time.Duration) {}
