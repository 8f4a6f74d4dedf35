package wqroute

import (
	"fmt"
	"math"
	"time"
)

// The largest values of a configuration that can be served.
const (
	maxDuration = 24 * time.Hour
	maxAttempts = 1 << 10
	maxTop      = 1 << 20 // records
	maxWeight   = 1e9
	maxRate     = 1e9 // requests per second
)

// Problem returns why a table can't be served, empty if it can.
func (t *Table) Problem() string {
	for _, routes := range t.byHost {
		for _, r := range routes {
			if problem := r.Problem(); problem != "" {
				return fmt.Sprintf("route %q: %s", r.Name, problem)
			}
		}
	}
	for _, s := range t.Services {
		if problem := s.problem(); problem != "" {
			return fmt.Sprintf("service %q: %s", s.Name, problem)
		}
	}
	l := t.Limits
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || !durationInRange(l.HeaderTimeout) || !durationInRange(l.IdleTimeout) {
		return "a limit is out of range"
	}
	return t.Tenants.Problem()
}

// Problem returns why a route can't be served, empty if it can.
func (r *Route) Problem() string {
	switch {
	case r.Attempts < 0 || r.Attempts > maxAttempts:
		return fmt.Sprintf("%d attempts are out of range", r.Attempts)
	case r.Top < 0 || r.Top > maxTop:
		return fmt.Sprintf("%d records are out of range", r.Top)
	case !inRange(r.LeastShare, 1):
		return fmt.Sprintf("the least share %v is out of range", r.LeastShare)
	case !durationInRange(r.Timeout) || !durationInRange(r.Objective):
		return "a timeout or an objective is out of range"
	}
	if shard := repeated(r.Shards); shard != "" {
		return fmt.Sprintf("shard %q is named twice", shard)
	}
	for _, p := range r.Parts {
		if !inRange(p.Weight, maxWeight) {
			return fmt.Sprintf("the weight %v of service %q is out of range", p.Weight, p.Service)
		}
	}
	return ""
}

func (s *Service) problem() string {
	switch {
	case s.MaxConnections < 0 || s.MaxConnections > math.MaxInt32:
		return fmt.Sprintf("%d connections are out of range", s.MaxConnections)
	case !inRange(s.ColdStartRate, maxRate):
		return fmt.Sprintf("the cold start rate %v is out of range", s.ColdStartRate)
	case !durationInRange(s.ColdStartDuration):
		return "the cold start is out of range"
	}
	return ""
}

// inRange reports whether v is between 0 and limit; NaN is not.
func inRange(v, limit float64) bool { return v >= 0 && v <= limit }

func durationInRange(d time.Duration) bool { return d >= 0 && d <= maxDuration }

// repeated returns a name that occurs more than once, empty if there is none.
func repeated(names []string) string {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		if seen[n] {
			return n
		}
		seen[n] = true
	}
	return ""
}
