package wqcontrol

import (
	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqobservation"
)

// Event is an input of Control.Handle.
type Event interface{ event() }

// VMListReceived carries the VM list that was read from the platform.
type VMListReceived struct{ VMs []wqmember.ListedVM }

// HeartbeatReceived carries a heartbeat of a peer, which has to be sent the
// HeartbeatReply of the Output.
type HeartbeatReceived struct{ Message wqmember.Message }

// HeartbeatAnswered carries the reply to a heartbeat that this VM sent.
type HeartbeatAnswered struct {
	Sent  wqmember.Envelope
	Reply wqmember.Message
}

// HeartbeatFailed carries a heartbeat that could not be sent or got no valid
// reply in time.
type HeartbeatFailed struct{ Sent wqmember.Envelope }

// ConfigurationEvent carries an event of the configuration: from the store, a
// peer or an operator.
type ConfigurationEvent struct{ Event wqconfig.Event }

// TargetObserved carries one observation of a searcher.
type TargetObserved struct{ Report wqobservation.Observation }

// SnapshotObserved carries the snapshot of a complete answer that this VM has
// returned.
type SnapshotObserved struct {
	Service  string
	Snapshot uint64
}

// LeaveRequested starts the graceful stop: this VM announces to its peers that
// it leaves, and fails its readiness check.
type LeaveRequested struct{}

// RefusalRequested means that new requests are refused from now on.
type RefusalRequested struct{}

// LeaveFinished ends the graceful stop, after all requests in progress are
// done.
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
