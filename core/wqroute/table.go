// Package wqroute holds one version of the operators' routing configuration,
// matches requests to routes, and distributes requests over weighted services.
//
// # Usage
//
// A Table is immutable once it is shared:
//
//	t := wqroute.NewTable(7, routes, services, limits)
//	r := t.Match("shop.example", "/parts/2f")
//	if r == nil { ... no route ... }
//
// Of the routes of a host, the one with the longest matching prefix is used. A
// route with several weighted parts gets the service of each request from a
// WeightedRoundRobin:
//
//	var w wqroute.WeightedRoundRobin
//	service := w.NextService(r)
package wqroute

import (
	"slices"
	"strings"
	"time"

	"wisteriaquay/core/wqtenant"
)

// Table is one version of the routing configuration.
type Table struct {
	Version  uint64
	Services map[string]Service // Services that routes refer to, by name.
	Limits   Limits
	Tenants  *wqtenant.Registry // Tenants are the client accounts; nil for a configuration without, where any caller is served.

	byHost        map[string][]*Route // routes of each host, longest prefix first.
	shardServices map[string]bool
}

// Service is a set of interchangeable searchers.
type Service struct {
	Name              string
	HealthPath        string
	MaxConnections    int           // MaxConnections is the limit of one searcher, over all VMs.
	ColdStartRate     float64       // ColdStartRate limits the requests per second to a searcher in cold start, over all VMs; 0 is no limit.
	ColdStartDuration time.Duration // ColdStartDuration is counted from the start of the searcher.
}

// Limits apply to the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // HeaderTimeout is the longest time for a caller to send the header of a request.
	IdleTimeout    time.Duration // IdleTimeout is the longest time that a connection may stay open without a request.
}

// Route is the configuration for the requests under one path prefix of a host.
type Route struct {
	Name       string
	Host       string
	Prefix     string        // Prefix begins and ends with a slash.
	Idempotent bool          // Idempotent allows a request to run more than once.
	Parts      []Part        // Parts are the weighted services of a route whose requests go to one searcher.
	Shards     []string      // Shards are the services that each receive every request of a fan-out route.
	Top        int           // Top is the number of highest-ranked records in a merged answer.
	LeastShare float64       // LeastShare is the smallest share of shards that must be in a merged answer, 0 to 1.
	Attempts   int           // Attempts is the largest number of searchers that may run one request, per shard.
	Timeout    time.Duration // Timeout is the longest time for an answer.
	Objective  time.Duration // Objective is the latency target of an answer.
	Priority   int           // Priority is the rank of the route; 0 is the highest priority.

	AllowAnonymous bool // AllowAnonymous admits callers without a key although the configuration has client accounts.
}

// Part is one weighted service of a route.
type Part struct {
	Service string
	Weight  float64
}

// NewTable returns a table of these routes. It keeps the slice and the map, which
// must not change afterwards.
func NewTable(version uint64, routes []Route, services map[string]Service, limits Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, byHost: make(map[string][]*Route), shardServices: make(map[string]bool)}
	for i := range routes {
		r := &routes[i]
		for _, s := range r.Shards {
			t.shardServices[s] = true
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, hosted := range t.byHost {
		slices.SortStableFunc(hosted, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route for a request, nil when there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ShardServices returns the names of the services that are a shard of a route.
func (t *Table) ShardServices() map[string]bool { return t.shardServices }

// RouteCount returns the number of routes of all hosts.
func (t *Table) RouteCount() int {
	n := 0
	for _, routes := range t.byHost {
		n += len(routes)
	}
	return n
}

// FanOut reports whether each request of the route goes to every shard.
func (r *Route) FanOut() bool { return len(r.Shards) > 0 }
