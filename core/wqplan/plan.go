// Package wqplan holds the state that the control goroutine publishes for the
// traffic goroutines: the routing configuration in force and the searchers that
// may be used.
//
// # Usage
//
// A process keeps one atomic pointer to a Plan. Traffic goroutines load it for
// each decision and never change it:
//
//	p := plan.Load()
//	if !p.Ready() { ... refuse as not run ... }
//	route := p.Match(host, path)
package wqplan

import (
	"slices"
	"strings"
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqroute"
)

// Plan is a consistent, immutable snapshot of the control state.
type Plan struct {
	Table         *wqroute.Table        // configuration in force; nil until the first one has arrived
	Pools         wqdirectory.Pools     // usable searchers, by service
	FleetSize     int                   // live VMs that share the limits of the searchers, this one included
	LiveVMs       []VM                  // VMs that answer heartbeats or may still do so, this one included, by id
	Hubs          []*wqdirectory.Target // VMs that run fan-outs for others; empty when every VM runs its own
	IsHub         bool                  // this VM is one of Hubs
	Rollouts      wqrollout.Directives  // rollouts of searcher versions, by service; nil when there is none
	Stopping      bool                  // true from SIGTERM on
	StoreRevision uint64                // latest revision of the store that the plan includes
	ConfirmedBy   string                // source of the latest confirmation: the store or a peer id; empty before the first
	ConfirmedAt   time.Time             // time of the latest confirmation; zero before the first
}

// VM is a live VM of the fleet.
type VM struct {
	ID       string
	Address  string // host:port of its peer listener
	Zone     string
	Epoch    uint64 // start of its process in Unix milliseconds
	Capacity int    // in thousandths of a core; 0 is unknown
}

// LimitSharers returns how many VMs share the limits of the searchers of
// fan-outs, and whether this VM is one of them.
func (p *Plan) LimitSharers() (int, bool) {
	if len(p.Hubs) == 0 {
		return max(p.FleetSize, 1), true
	}
	return len(p.Hubs), p.IsHub
}

// Match returns the route of a request, or nil when there is no route or no
// configuration yet.
func (p *Plan) Match(host, path string) *wqroute.Route {
	if p.Table == nil {
		return nil
	}
	return p.Table.Match(host, path)
}

// MaySend reports whether a request for which t was picked, maybe from an earlier plan,
// may still be sent to it. It may not once the searcher has left its pool, has restarted
// or has become cold: the request has to be placed again.
func (p *Plan) MaySend(now time.Time, t *wqdirectory.Target) bool {
	pool := p.Pools[t.Searcher.Service]
	i, ok := slices.BinarySearchFunc(pool, t.Searcher.ID, func(t *wqdirectory.Target, id string) int { return strings.Compare(t.Searcher.ID, id) })
	if !ok {
		return false
	}
	current := pool[i]
	becameCold := current.ColdStartRate > 0 && now.Before(current.ColdStartEnd) && !now.Before(t.ColdStartEnd)
	return current.Searcher.Address == t.Searcher.Address && current.Incarnation == t.Incarnation && !becameCold && p.rolloutAllows(now, pool, current)
}

// Ready reports whether the load balancer should send callers to this VM.
func (p *Plan) Ready() bool { return p != nil && p.Table != nil && !p.Stopping }
