// Package wqtopology holds what the operators' release notes describe: the
// searchers, the availability zones, the rules and the shard layouts of each
// index snapshot.
//
// # Usage
//
// A Topology is plain data and never changes once it is shared. Build an Index
// over it for lookups:
//
//	x := wqtopology.NewIndex(t)
//	for _, s := range x.Shards("bench", 7) {
//		replicas := x.Replicas("bench", s)
//	}
package wqtopology

// Topology is the whole configuration at one revision.
type Topology struct {
	Revision  uint64 // Revision counts the accepted release notes; 0 is the empty configuration.
	NoteID    string // NoteID is the release note that made this revision.
	Searchers []Searcher
	Zones     []Zone
	Rules     []Rule
	Layouts   []Layout
	Accepted  []AcceptedNote // Accepted are the newest release notes, oldest first, the one that made this revision last.
}

// AcceptedNote records one accepted release note, so that publishing it again is
// recognized and a conflict can say what changed.
type AcceptedNote struct {
	NoteID   string
	Revision uint64 // Revision is the one that the note made.
	Digest   uint64 // Digest is of the note's whole content.
	Changes  []string
	More     int // More counts the changes beyond those named.
}

// Searcher is one target: a replica of one shard of one service.
type Searcher struct {
	ID          string
	Address     string // Address is host:port, the host an IP number.
	Zone        string
	Service     string // Service names the index that it serves.
	Shard       string
	Group       string // Group names searchers that the same VMs of a zone hold, so that a query reaches them in one call; empty for one alone.
	Slots       int    // Slots is how many requests it runs at once, over all VMs.
	Connections int    // Connections is how many it accepts, over all VMs.
	Batch       int    // Batch is how many sub-queries it takes in one request; 0 and 1 mean one.
	ColdSlots   int    // ColdSlots is how many requests it bears at once in cold start, over all VMs.
	WarmMillis  int    // WarmMillis is how long its cold start lasts under light load, in milliseconds.
}

// Zone is an availability zone.
type Zone struct {
	ID     string
	Region string
	Out    bool // Out is true while operators have taken the zone out.
}

// Rule gives the limits of one tenant's class of queries.
type Rule struct {
	Tenant        string
	Class         string
	Service       string
	TimeoutMillis int     // TimeoutMillis is the longest and the default time for an answer, in milliseconds.
	Weight        int     // Weight is the tenant's share under overload, relative to the others.
	LeastCoverage float64 // LeastCoverage refuses answers below this share of shards, 0 to 1.
	HedgeQuantile float64 // HedgeQuantile is the latency quantile after which a hedge is sent, 0 to 1; 0 sends none.
	HedgeShare    float64 // HedgeShare bounds hedges as a share of sub-queries, 0 to 1.
	ShedRank      int     // ShedRank orders classes when capacity is lost: the highest rank is shed first.
}

// Layout names the shards of a service from one snapshot on, until the next
// layout of the same service.
type Layout struct {
	Service       string
	FirstSnapshot uint64
	Shards        []string
}
