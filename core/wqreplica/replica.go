// Package wqreplica chooses which replica, through which holder, gets a
// sub-query.
//
// # Usage
//
// A policy is a type parameter of the fan-out. Least compares two candidates by
// what this VM saw of them; Random is the plain baseline:
//
//	stats := wqreplica.NewStats()
//	policy := wqreplica.TwoChoices{Stats: stats}
//	i := policy.Pick(now, candidates, random)
//	policy.Sent(candidates[i])
//	policy.Done(now, candidates[i], wqobservation.Answered, 4*time.Millisecond)
package wqreplica

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

// Candidate is one way to reach a shard: a searcher through a VM that holds it.
type Candidate struct {
	SearcherID string
	MemberID   string
	Slots      int           // Slots is how many requests at once the holder may send.
	SameZone   bool          // SameZone is true in this VM's own availability zone.
	Cold       bool          // Cold is true during the searcher's cold start.
	Latency    time.Duration // Latency is what the control state knows; 0 means unknown.

	seen *cell // seen is filled by Least.
}

// Random picks any candidate and learns nothing.
type Random struct{}

// Pick returns the index of a candidate, -1 when there is none.
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
