// Package wqroute holds one version of the operators' routing configuration and
// finds the route of a request.
//
// # Usage
//
// A Table is plain data that never changes once it is shared:
//
//	t := wqroute.NewTable(7, routes, services, limits)
//	r := t.Match("shop.example", "/parts/2f")
//	if r == nil { ... no route ... }
//
// The route with the longest prefix of the host's routes wins.
package wqroute

import (
	"slices"
	"strings"
	"time"
)

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]Service // Services are those that routes name, by name.
	Limits   Limits

	byHost map[string][]*Route // byHost holds the routes of each host, longest prefix first.
	shards map[string]bool
}

// Service is a set of searchers that answer equally well.
type Service struct {
	Name              string
	HealthPath        string
	Connections       int           // Connections is how many one searcher accepts, over all VMs.
	ColdStartRate     float64       // ColdStartRate is the requests a second that a cold searcher bears, over all VMs; 0 states no limit.
	ColdStartDuration time.Duration // ColdStartDuration is how long a searcher stays cold after its start.
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // HeaderTimeout is the longest that a caller may take to send its header.
	IdleTimeout   time.Duration // IdleTimeout is the longest that a connection may carry no request.
}

// Route says what becomes of the requests under one prefix of a host.
type Route struct {
	Name       string
	Host       string
	Prefix     string // Prefix begins and ends with a slash.
	Idempotent bool   // Idempotent is true when a request may run more than once.
	Parts      []Part // Parts share the requests of a route to single searchers.
	Shards     []string
	Top        int     // Top is how many of the greatest records a merged answer holds.
	LeastShare float64 // LeastShare is the least share of shards in a merged answer, 0 to 1.
	Attempts   int     // Attempts is how many searchers may run one request, for each shard.
	Timeout    time.Duration
	Objective  time.Duration // Objective is the time within which an answer is worth most.
	Priority   int           // Priority is the rank of the route; 0 is the most urgent.
}

// Part is a service's share of a route.
type Part struct {
	Service string
	Weight  float64
}

// NewTable returns a table over these routes.
func NewTable(version uint64, routes []Route, services map[string]Service, limits Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, byHost: make(map[string][]*Route), shards: make(map[string]bool)}
	for i := range routes {
		r := &routes[i]
		for _, s := range r.Shards {
			t.shards[s] = true
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rows := range t.byHost {
		slices.SortStableFunc(rows, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of a request, nil when there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ShardServices returns the services that are a shard of some route.
func (t *Table) ShardServices() map[string]bool { return t.shards }

// RouteCount counts the routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, rows := range t.byHost {
		n += len(rows)
	}
	return n
}

// FanOut reports whether requests of the route go to every shard.
func (r *Route) FanOut() bool { return len(r.Shards) > 0 }
