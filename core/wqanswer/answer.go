package wqanswer

// Reason is why a shard is missing from an answer.
type Reason string

// The reasons for a missing shard.
const (
	DeadlineExceeded Reason = "late"          // DeadlineExceeded means that no replica answered before the deadline.
	SnapshotGone     Reason = "snapshot_gone" // SnapshotGone means that no replica serves the snapshot of the answer.
	Shed             Reason = "shed"          // Shed means that its replicas or their holders refused because of load.
	Unreachable      Reason = "unreachable"   // Unreachable means that the sub-query could not be sent to any replica.
	NotHeld          Reason = "not_held"      // NotHeld means that no VM is a holder of a replica.
	ZoneOut          Reason = "zone_out"      // ZoneOut means that its replicas are in zones that are out.
	Withdrawn        Reason = "withdrawn"     // Withdrawn means that the configuration has no replica for it.
	Failed           Reason = "failed"        // Failed means lost connections or replies that violate the protocol.
)

// Row is one match in a shard.
type Row struct {
	Shard string
	Key   string
	Score float64
	Body  []byte
}

// MissingShard is a shard of the snapshot that did not answer.
type MissingShard struct {
	Shard  string
	Reason Reason
}

// MatchCount is the number of matching rows in a shard before the limit.
type MatchCount struct {
	Shard       string
	MatchedRows uint32
}

// Answer is the answer to one query.
type Answer struct {
	RequestID      string
	Snapshot       uint64 // Snapshot of all rows; 0 when no shard answered.
	ShardsTotal    int    // ShardsTotal is the number of shards in the layout of the snapshot.
	ShardsAnswered int
	Missing        []MissingShard
	Rows           []Row // Rows are sorted by descending score, then by key and shard.
	MatchCounts    []MatchCount
	SubQueriesSent int // SubQueriesSent reached a target; it includes hedges and retries.
	HedgesSent     int
	Revision       uint64 // Revision of the configuration when the answer was built.
}

// Coverage returns the share of shards that answered, 0 to 1; 0 without shards.
func (a *Answer) Coverage() float64 {
	if a.ShardsTotal == 0 {
		return 0
	}
	return float64(a.ShardsAnswered) / float64(a.ShardsTotal)
}
