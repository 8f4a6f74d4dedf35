// Package wqheartbeat translates membership messages between core and the
// messages of the peers' protocol. What comes in is bounded before it reaches
// the control goroutine: the number of changes, the length of each name, and
// the values that a state can take.
//
// # Usage
//
//	reply, err := client.Heartbeat(ctx, wqheartbeat.Encode(m))
//	answer, err := wqheartbeat.Decode(reply)
//
// Bound the bodies of requests and replies by MaxBytes before they are read.
package wqheartbeat

import (
	"fmt"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/io/wqpb"
)

// MaxBytes is the longest encoded message, in bytes.
const MaxBytes = 1 << 20

const (
	maxChanges = 4096 // maxChanges is the most changes in one message.
	maxName    = 128  // maxName is the longest id, address, zone or region, in bytes.
)

// Encode returns the protocol's form of a message.
func Encode(m wqmember.Message) *wqpb.HeartbeatMessage {
	h := &wqpb.HeartbeatMessage{
		From: encodeMember(m.From), Probe: m.ProbeID, Joining: m.RequestsList, Whole: m.Full, Digest: m.Digest,
		Changes: make([]*wqpb.MemberChange, 0, len(m.Changes)),
	}
	for _, c := range m.Changes {
		h.Changes = append(h.Changes, encodeMember(c))
	}
	return h
}

// Decode returns the message that h stands for, or a BadInput fault when h
// breaks a bound.
func Decode(h *wqpb.HeartbeatMessage) (wqmember.Message, error) {
	if len(h.GetChanges()) > maxChanges || len(h.GetProbe()) > maxName {
		return wqmember.Message{}, refused("it has too many changes or too long a probe")
	}
	from, err := decodeMember(h.GetFrom())
	if err != nil {
		return wqmember.Message{}, err
	}
	m := wqmember.Message{
		From: from, ProbeID: h.GetProbe(), RequestsList: h.GetJoining(), Full: h.GetWhole(), Digest: h.GetDigest(),
		Changes: make([]wqmember.Member, 0, len(h.GetChanges())),
	}
	for _, c := range h.GetChanges() {
		change, err := decodeMember(c)
		if err != nil {
			return wqmember.Message{}, err
		}
		m.Changes = append(m.Changes, change)
	}
	return m, nil
}

func encodeMember(m wqmember.Member) *wqpb.MemberChange {
	return &wqpb.MemberChange{
		Id: m.ID, Address: m.Address, Zone: m.Zone, Region: m.Region,
		Incarnation: m.Incarnation, Epoch: m.Epoch, State: uint32(m.State), Revision: m.Revision, Isolated: m.Isolated,
		Capacity: uint32(max(m.Capacity, 0)),
	}
}

func decodeMember(c *wqpb.MemberChange) (wqmember.Member, error) {
	if c.GetId() == "" {
		return wqmember.Member{}, refused("it has a VM without an id")
	}
	if c.GetState() > uint32(wqmember.Left) {
		return wqmember.Member{}, refused(fmt.Sprintf("it has the unknown state %d", c.GetState()))
	}
	for _, name := range []string{c.GetId(), c.GetAddress(), c.GetZone(), c.GetRegion()} {
		if len(name) > maxName {
			return wqmember.Member{}, refused(fmt.Sprintf("it has a name of %d bytes", len(name)))
		}
	}
	return wqmember.Member{
		ID: c.GetId(), Address: c.GetAddress(), Zone: c.GetZone(), Region: c.GetRegion(),
		Incarnation: c.GetIncarnation(), Epoch: c.GetEpoch(), State: wqmember.State(c.GetState()),
		Revision: c.GetRevision(), Isolated: c.GetIsolated(), Capacity: int(c.GetCapacity()),
	}, nil
}

func refused(why string) error {
	return wqfault.New(wqfault.BadInput, "a heartbeat breaks the protocol: "+why, "run the same release on all VMs")
}
