package wqfanout

import (
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqreplica"
)

// ReplicaPolicy chooses how a shard is reached and learns from what came of it.
type ReplicaPolicy interface {
	// Pick returns the index of a candidate, -1 when there is none.
	Pick(now time.Time, candidates []wqreplica.Candidate, random uint64) int
	// RecordSent notes that the candidate was sent a sub-query.
	RecordSent(c *wqreplica.Candidate)
	// RecordResult notes how that sub-query ended, and how long after it was sent.
	RecordResult(now time.Time, c *wqreplica.Candidate, status wqobservation.Status, latency time.Duration)
}

// HedgePolicy decides when a second replica is asked and learns from answers.
type HedgePolicy interface {
	// HedgeDelay returns how long a sub-query waits before a hedge, false for none.
	HedgeDelay() (time.Duration, bool)
	// TrySpend takes hedges of one query from the budget, all or none, and reports whether they were there.
	TrySpend(now time.Time, count int) bool
	// Earn notes sub-queries that were sent for the first time.
	Earn(count int)
	// RecordOverload notes that a target refused for load.
	RecordOverload(now time.Time)
	// Observe notes the latency of one answered sub-query.
	Observe(now time.Time, latency time.Duration)
	// ObserveAbandoned notes how long a sub-query had waited when another's answer made it superfluous.
	ObserveAbandoned(now time.Time, waited time.Duration)
}

// Batch is one call to a holder.
type Batch struct {
	ID         int
	MemberID   string
	Snapshot   uint64 // Snapshot is the one asked for; 0 asks each searcher for its newest.
	SubQueries []SubQuery
}

// SubQuery is one sub-query of a Batch.
type SubQuery struct {
	Shard      string
	SearcherID string
	Hedge      bool
}

// ReplyPart is one message of a holder's stream.
type ReplyPart struct {
	Batch     int
	RequestID string
	Results   []Result
	Rows      []wqanswer.Row // Rows belong to the answered shards of the same Part.
}

// Result is how one sub-query ended.
type Result struct {
	Shard          string
	SearcherID     string
	Status         wqobservation.Status
	Snapshot       uint64 // Snapshot is the one that the rows come from.
	OldestSnapshot uint64 // OldestSnapshot is the oldest snapshot that the searcher holds; 0 is unknown.
	NewestSnapshot uint64 // NewestSnapshot is the newest snapshot that the searcher holds; 0 is unknown.
	MatchedRows    uint32 // MatchedRows is how many rows matched before the limit.
	Sent           bool   // Sent is true when the searcher was sent the sub-query.
}

// Actions is what a Query asks its driver to do.
type Actions struct {
	Batches   []Batch
	CancelIDs []int // CancelIDs are the ids of calls whose results are no longer needed.
	Done      bool  // Done is true when nothing more is awaited; Seal the answer.
}
