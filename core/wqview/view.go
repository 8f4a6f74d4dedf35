// Package wqview holds the state that the control goroutine publishes for the
// traffic goroutines.
//
// # Usage
//
// A process keeps one atomic pointer to a View. Traffic goroutines load it once
// for each decision and never change it:
//
//	v := node.View()
//	if v.RefusesRequests { ... }
//	for _, h := range v.Holders[searcherID] { ... }
package wqview

import (
	"time"

	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
)

// View is a consistent, immutable snapshot of the control state.
type View struct {
	Self            wqmember.Member
	Index           *wqtopology.Index
	Members         map[string]wqmember.Member // live VMs by id, this one included
	Holders         map[string][]Holder        // VMs that may open connections to a searcher, by searcher id, best first
	Targets         map[string]TargetState     // states of searchers by id; a missing searcher has the zero state
	Snapshots       map[string]uint64          // newest snapshot of a complete answer, by service; missing means unknown
	ConfirmedAt     time.Time                  // when a peer or the store last confirmed the control state
	RefusesRequests bool                       // true from the end of the balancer lag, after a graceful stop began or this VM's zone was taken out
	History         *wqhistory.History         // configuration in force with the latest release notes; nil before the first
	Isolated        bool                       // too few peers answer, so that this VM may not use its shares
	SharesUsable    bool                       // this VM may use its own shares; stays true once set
	StoreReachable  bool                       // the latest call to the store succeeded
}

// Holder is a VM that may connect to a searcher, with its share of the
// searcher's limits.
type Holder struct {
	MemberID    string
	Slots       int       // limit on requests in flight
	Connections int       // limit on open connections
	ColdSlots   int       // limit on requests in flight during the cold start of the searcher
	UsableFrom  time.Time // when the share may first be used: exact for this VM, an estimate for others; zero means now
}

// TargetState is the state of a searcher as this VM observes it.
type TargetState struct {
	Draining       bool          // the searcher reported that it is draining
	Down           bool          // connections to the searcher fail
	Cold           bool          // the searcher is in its cold start
	Incarnation    string        // last one that the searcher reported
	OldestSnapshot uint64        // oldest one that the searcher holds; 0 means unknown
	NewestSnapshot uint64        // newest one that the searcher holds; 0 means unknown
	Latency        time.Duration // EWMA of the latencies of its answers; 0 means unknown
}

// NotReadyReason returns why the load balancer should send no callers to this
// VM, or an empty text when it is ready.
func (v *View) NotReadyReason() string {
	switch {
	case v == nil || v.Index == nil || v.Index.Topology.Revision == 0:
		return "no configuration yet; it comes from the store or from a peer"
	case v.RefusesRequests || v.Self.State >= wqmember.Leaving:
		return "stopping"
	case v.Isolated:
		return "too few peers answer; check the network of this VM"
	case v.Index.ZoneOut(v.Self.Zone):
		return "the availability zone of this VM is out, or no release note names it"
	case !v.SharesUsable:
		return "this VM has just started and may not use its shares of the searchers yet; wait for the handover time"
	}
	return ""
}

// AcceptsRequests reports whether this VM takes new requests. A VM that is no
// longer ready still does so until the load balancer has noticed.
func (v *View) AcceptsRequests() bool {
	return v != nil && v.Index != nil && v.Index.Topology.Revision > 0 && !v.RefusesRequests && !v.Isolated
}

// OwnShare returns this VM's own share of a searcher, and false when this VM is
// not a holder of it.
func (v *View) OwnShare(searcherID string) (Holder, bool) {
	for _, h := range v.Holders[searcherID] {
		if h.MemberID == v.Self.ID {
			return h, true
		}
	}
	return Holder{}, false
}
