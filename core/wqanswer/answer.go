package wqanswer

// Reason tells why a shard is missing from an answer.
type Reason string

// The reasons for a missing shard.
const (
	Late         Reason = "late"          // Late means that no replica answered before the deadline.
	SnapshotGone Reason = "snapshot_gone" // SnapshotGone means that no replica serves the snapshot of the answer.
	Shed         Reason = "shed"          // Shed means that its replicas, or the VMs that hold them, refused to run it.
	Unreachable  Reason = "unreachable"   // Unreachable means that no replica could be sent the sub-query.
	NotHeld      Reason = "not_held"      // NotHeld means that no VM holds a replica.
	ZoneOut      Reason = "zone_out"      // ZoneOut means that its replicas are in zones that are taken out.
	Withdrawn    Reason = "withdrawn"     // Withdrawn means that the configuration has no replica for it.
	Failed       Reason = "failed"        // Failed means that its replicas broke off or broke the protocol.
)

// Row is one match.
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

// MatchCount is how many rows an answering shard matched before the limit.
type MatchCount struct {
	Shard       string
	MatchedRows uint32
}

// Answer is the sealed answer to one query.
type Answer struct {
	RequestID      string
	Snapshot       uint64 // Snapshot is the one that all rows come from; 0 when no shard answered.
	ShardsTotal    int    // ShardsTotal is the number of shards of the snapshot.
	ShardsAnswered int
	Missing        []MissingShard
	Rows           []Row // Rows are the best, highest score first, then by key.
	MatchCounts    []MatchCount
	SubQueriesSent int // SubQueriesSent is how many requests targets were sent.
	HedgesSent     int
	Revision       uint64 // Revision is the configuration at the seal.
}

// Coverage returns the share of shards that answered, 0 to 1.
func (a *Answer) Coverage() float64 {
	if a.ShardsTotal == 0 {
		return 0
	}
	return float64(a.ShardsAnswered) / float64(a.ShardsTotal)
}
