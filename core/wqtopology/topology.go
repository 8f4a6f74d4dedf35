// Package wqtopology defines the configuration that release notes change: the
// searchers, the availability zones, the rules of tenants and classes, and the
// shard layouts of the services by index snapshot.
//
// # Usage
//
// A Topology is immutable once it is shared. Build an Index over it for lookups:
//
//	x := wqtopology.NewIndex(t)
//	for _, s := range x.Shards("bench", 7) {
//		replicas := x.Replicas("bench", s)
//	}
package wqtopology

// Topology is the full configuration at one revision.
type Topology struct {
	Revision  uint64 // Revision is the number of release notes accepted so far; 0 is the empty configuration.
	NoteID    string // NoteID is the id of the release note that produced this revision.
	Searchers []Searcher
	Zones     []Zone
	Rules     []Rule
	Layouts   []Layout
	Accepted  []AcceptedNote // Accepted are records of the latest release notes, sorted by revision.
}

// AcceptedNote is the record of an accepted release note. It serves to detect a note
// that is published twice, and to list the changes in a conflict.
type AcceptedNote struct {
	NoteID   string
	Revision uint64   // Revision is the one that the note produced.
	Digest   uint64   // Digest is a hash over all fields of the note.
	Changes  []string // Changes has one line of text per change, up to a limit.
	More     int      // More is the number of changes that are not in Changes.
}

// Searcher is an index server: one replica of one shard of a service.
type Searcher struct {
	ID          string
	Address     string // Address is host:port, where host is an IP address.
	Zone        string // Zone is the id of its availability zone.
	Service     string // Service is the name of the index that it serves.
	Shard       string
	Group       string // Group is shared by searchers that have the same holders in a zone, so that one call to a holder reaches all of them; empty for none.
	Slots       int    // Slots is the limit of concurrent requests, over all VMs.
	Connections int    // Connections is the limit of open connections, over all VMs.
	Batch       int    // Batch is the limit of sub-queries in one request; 0 and 1 mean one.
	ColdSlots   int    // ColdSlots is the limit of concurrent requests during a cold start, over all VMs.
	WarmMillis  int    // WarmMillis is the duration of a cold start under light load, in milliseconds.
}

// Zone is an availability zone.
type Zone struct {
	ID     string
	Region string
	Out    bool // Out is true while the zone is taken out of service by operators.
}

// Rule holds the limits for the queries of one class of one tenant to a service.
type Rule struct {
	Tenant        string
	Class         string
	Service       string
	TimeoutMillis int     // TimeoutMillis is the default and the maximum timeout of a query, in milliseconds.
	Weight        int     // Weight is the share of the tenant under overload, relative to the other weights.
	LeastCoverage float64 // LeastCoverage is the smallest share of shards in a valid answer, 0 to 1.
	HedgeQuantile float64 // HedgeQuantile is the quantile of the latency after which a hedge is sent, 0 to 1; 0 disables hedges.
	HedgeShare    float64 // HedgeShare limits hedges, as a share of all sub-queries, 0 to 1.
	ShedRank      int     // ShedRank is the order of load shedding: the highest rank is shed first.
}

// Layout lists the shards of a service, from FirstSnapshot until the
// FirstSnapshot of the next layout of the service.
type Layout struct {
	Service       string
	FirstSnapshot uint64
	Shards        []string
}
