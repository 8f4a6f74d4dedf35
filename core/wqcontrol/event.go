package wqcontrol

import (
	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqobservation"
)

// Event is what a Control takes in.
type Event interface{ event() }

// VMListReceived carries the VM list.
type VMListReceived struct{ VMs []wqmember.ListedVM }

// HeartbeatReceived carries a peer's message, which wants a reply.
type HeartbeatReceived struct{ Message wqmember.Message }

// HeartbeatAnswered carries the reply to a heartbeat that this VM sent.
type HeartbeatAnswered struct {
	Sent  wqmember.Envelope
	Reply wqmember.Message
}

// HeartbeatFailed carries a heartbeat that was not answered in time.
type HeartbeatFailed struct{ Sent wqmember.Envelope }

// ConfigurationEvent carries what the store, a peer or an operator told of the
// configuration.
type ConfigurationEvent struct{ Event wqconfig.Event }

// TargetObserved carries one observation of a searcher.
type TargetObserved struct{ Report wqobservation.Observation }

// SnapshotObserved names a snapshot that a whole answer of this VM came from.
type SnapshotObserved struct {
	Service  string
	Snapshot uint64
}

// LeaveRequested starts the graceful stop: peers and the balancer are told.
type LeaveRequested struct{}

// RefusalRequested ends the taking of new requests.
type RefusalRequested struct{}

// LeaveFinished ends the graceful stop: all work is done.
type LeaveFinished struct{}

func (VMListReceived) event()     {}
func (HeartbeatReceived) event()  {}
func (HeartbeatAnswered) event()  {}
func (HeartbeatFailed) event()    {}
func (ConfigurationEvent) event() {}
func (TargetObserved) event()     {}
func (SnapshotObserved) event()   {}
func (LeaveRequested) event()     {}
func (RefusalRequested) event()   {}
func (LeaveFinished) event()      {}
