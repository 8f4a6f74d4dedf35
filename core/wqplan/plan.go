// Package wqplan holds what the control goroutine publishes for traffic to read:
// the routing configuration in force and the searchers that may be used.
//
// # Usage
//
// A process keeps one atomic pointer to a Plan. Traffic goroutines load it for
// each decision and never change it:
//
//	p := plan.Load()
//	if !p.Ready() { ... refuse as not run ... }
//	route := p.Table.Match(host, path)
package wqplan

import (
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqroute"
)

// Plan is one consistent picture of the control state.
type Plan struct {
	Table         *wqroute.Table        // Table is the configuration in force; nil until one is known.
	Pools         wqdirectory.Pools     // Pools are the searchers that may be used, by service.
	FleetSize     int                   // FleetSize is how many VMs share what holds for all of them, this one included.
	Hubs          []*wqdirectory.Target // Hubs are the VMs that run fan-outs for others; none when every VM runs its own.
	IsHub         bool                  // IsHub is true when this VM is one of them.
	Stopping      bool                  // Stopping is true from SIGTERM on.
	StoreRevision uint64                // StoreRevision is the store's revision that the plan includes.
	ConfirmedBy   string                // ConfirmedBy names who last said so: the store, or a peer's id; empty while nothing is known.
	ConfirmedAt   time.Time             // ConfirmedAt is when that was; zero while nothing is known.
}

// LimitSharers returns how many VMs share what holds for the searchers of fan-outs,
// and whether this VM is one of them.
func (p *Plan) LimitSharers() (int, bool) {
	if len(p.Hubs) == 0 {
		return max(p.FleetSize, 1), true
	}
	return len(p.Hubs), p.IsHub
}

// Match returns the route of a request, nil when there is none or no
// configuration is known.
func (p *Plan) Match(host, path string) *wqroute.Route {
	if p.Table == nil {
		return nil
	}
	return p.Table.Match(host, path)
}

// Ready reports whether callers should be sent to this VM.
func (p *Plan) Ready() bool { return p != nil && p.Table != nil && !p.Stopping }
