package wqcontrol

import (
	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqobservation"
)

// Event is what a Control takes in.
type Event interface{ event() }

// ListSeen carries the VM list.
type ListSeen struct{ List []wqmember.ListedVM }

// HeartbeatSeen carries a peer's message, which wants a reply.
type HeartbeatSeen struct{ Message wqmember.Message }

// HeartbeatAnswered carries the reply to a heartbeat that this VM sent.
type HeartbeatAnswered struct {
	Sent  wqmember.Envelope
	Reply wqmember.Message
}

// HeartbeatFailed carries a heartbeat that was not answered in time.
type HeartbeatFailed struct{ Sent wqmember.Envelope }

// ConfigurationSeen carries what the store, a peer or an operator told of the
// configuration.
type ConfigurationSeen struct{ Event wqconfig.Event }

// TargetSeen carries one observation of a searcher.
type TargetSeen struct{ Report wqobservation.Observation }

// SnapshotSeen names a snapshot that a whole answer of this VM came from.
type SnapshotSeen struct {
	Service  string
	Snapshot uint64
}

// LeaveAsked starts the graceful stop: peers and the balancer are told.
type LeaveAsked struct{}

// RefuseAsked ends the taking of new requests.
type RefuseAsked struct{}

// LeaveFinished ends the graceful stop: all work is done.
type LeaveFinished struct{}

func (ListSeen) event()          {}
func (HeartbeatSeen) event()     {}
func (HeartbeatAnswered) event() {}
func (HeartbeatFailed) event()   {}
func (ConfigurationSeen) event() {}
func (TargetSeen) event()        {}
func (SnapshotSeen) event()      {}
func (LeaveAsked) event()        {}
func (RefuseAsked) event()       {}
func (LeaveFinished) event()     {}
