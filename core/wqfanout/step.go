package wqfanout

import (
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqreplica"
)

// ReplicaPolicy chooses the replica and holder for a sub-query and records the
// results.
type ReplicaPolicy interface {
	// Pick returns the index of a candidate, -1 if there is none.
	Pick(now time.Time, candidates []wqreplica.Candidate, random uint64) int
	// RecordSent records that a sub-query was sent to the candidate.
	RecordSent(c *wqreplica.Candidate)
	// RecordResult records how that sub-query ended and the time since it was sent.
	RecordResult(now time.Time, c *wqreplica.Candidate, status wqobservation.Status, latency time.Duration)
}

// HedgePolicy decides when a sub-query is also sent to another replica.
type HedgePolicy interface {
	// HedgeDelay returns the time from a sub-query to its hedge, false for no hedges.
	HedgeDelay() (time.Duration, bool)
	// TrySpend takes count hedges from the budget, all or none, and reports whether
	// they are allowed.
	TrySpend(now time.Time, count int) bool
	// Earn adds the hedges allowed for count first sub-queries to the budget.
	Earn(count int)
	// RecordOverload records that a target refused a sub-query because of load.
	RecordOverload(now time.Time)
	// Observe records the latency of one answered sub-query.
	Observe(now time.Time, latency time.Duration)
	// ObserveAbandoned records how long a sub-query had waited when another replica
	// answered first.
	ObserveAbandoned(now time.Time, waited time.Duration)
}

// Batch is one call to a holder.
type Batch struct {
	ID         int
	MemberID   string
	Snapshot   uint64 // Snapshot 0 requests the newest of each searcher.
	SubQueries []SubQuery
}

// SubQuery is one sub-query of a Batch.
type SubQuery struct {
	Shard      string
	SearcherID string
	Hedge      bool
}

// ReplyPart is one message of the stream with which a holder replies to a Batch.
type ReplyPart struct {
	BatchID   int
	RequestID string
	Results   []Result
	Rows      []wqanswer.Row // Rows belong to the answered shards of the same ReplyPart.
}

// Result is the outcome of one sub-query.
type Result struct {
	Shard          string
	SearcherID     string
	Status         wqobservation.Status
	Snapshot       uint64 // Snapshot is the snapshot of the rows.
	OldestSnapshot uint64 // OldestSnapshot that the searcher holds; 0 is unknown.
	NewestSnapshot uint64 // NewestSnapshot that the searcher holds; 0 is unknown.
	MatchedRows    uint32 // MatchedRows is the number of matches before the limit.
	Sent           bool   // Sent is true when the sub-query was sent to the searcher.
}

// Actions are the calls that the driver of a Query must start and cancel.
type Actions struct {
	Batches   []Batch
	CancelIDs []int // CancelIDs are batch ids whose calls are no longer needed.
	Done      bool  // Done is true when the query has ended; call Answer.
}
