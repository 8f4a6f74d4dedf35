// Package wqview holds the immutable state that the control goroutine
// publishes and the traffic goroutines read.
//
// # Usage
//
// A process keeps one atomic pointer to a View. Traffic goroutines load it once
// for each decision and never change it:
//
//	v := node.View()
//	if v.Stopping { ... }
//	for _, h := range v.Holders[searcherID] { ... }
package wqview

import (
	"time"

	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
)

// View is one consistent picture of the control state.
type View struct {
	Self            wqmember.Member
	Index           *wqtopology.Index
	Members         map[string]wqmember.Member // Members are the VMs that may be sent work, by id, this one included.
	Holders         map[string][]Holder        // Holders are the VMs that may open connections to a searcher, by searcher id, best first.
	Targets         map[string]TargetState     // Targets holds what is known of a searcher beyond the topology, by id; absent means nothing.
	Snapshots       map[string]uint64          // Snapshots is the newest snapshot seen whole of a service, by name; absent means unknown.
	ConfirmedAt     time.Time                  // ConfirmedAt is when the control state was last confirmed by a peer or the store.
	RefusesRequests bool                       // RefusesRequests is true while new requests are refused: late in a graceful stop, or with this VM's zone out.
	History         *wqhistory.History         // History is the configuration in force with the latest notes; nil for none.
	Isolated        bool                       // Isolated is true while too few peers answer to use the shares held.
	SharesUsable    bool                       // SharesUsable is true once this VM may use its own shares.
	StoreReachable  bool                       // StoreReachable is true when the latest call to the store was answered.
}

// Holder is a VM's right to use a share of a searcher.
type Holder struct {
	MemberID    string
	Slots       int       // Slots is how many requests at once this VM may send.
	Connections int       // Connections is how many connections this VM may open.
	ColdSlots   int       // ColdSlots is how many requests at once this VM may send in cold start.
	UsableFrom  time.Time // UsableFrom is when the share may be used: exact for this VM's own share, a guess for others; zero means already.
}

// TargetState is what the control state knows of a searcher.
type TargetState struct {
	Draining       bool          // Draining is true once the searcher said that it drains.
	Down           bool          // Down is true while connections to it fail.
	Cold           bool          // Cold is true during its cold start.
	Incarnation    string        // Incarnation is the last one that it named.
	OldestSnapshot uint64        // OldestSnapshot is the oldest snapshot that it holds; 0 means unknown.
	NewestSnapshot uint64        // NewestSnapshot is the newest snapshot that it holds; 0 means unknown.
	Latency        time.Duration // Latency is a recent typical time of its answers; 0 means unknown.
}

// NotReadyReason returns why the balancer should send no callers to this VM, empty
// when it should.
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
		return "the searchers' shares rest after the start; they are used within the handover time"
	}
	return ""
}

// AcceptsRequests reports whether this VM takes requests, which it does for the
// balancer's lag after it has become not ready.
func (v *View) AcceptsRequests() bool {
	return v != nil && v.Index != nil && v.Index.Topology.Revision > 0 && !v.RefusesRequests && !v.Isolated
}

// OwnShare returns this VM's own right on a searcher, false when it holds none.
func (v *View) OwnShare(searcherID string) (Holder, bool) {
	for _, h := range v.Holders[searcherID] {
		if h.MemberID == v.Self.ID {
			return h, true
		}
	}
	return Holder{}, false
}
