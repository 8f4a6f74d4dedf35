// Package wqheartbeat converts membership messages between wqmember and their
// protocol buffers. Decode validates a message before it reaches the control
// goroutine: the number of changes, the length of each string and the values of
// states.
//
// # Usage
//
//	reply, err := client.Heartbeat(ctx, wqheartbeat.Encode(m))
//	replyMessage, err := wqheartbeat.Decode(reply)
//
// Limit the bodies of requests and replies to MaxBytes before decoding them.
package wqheartbeat

import (
	"fmt"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/io/wqpb"
)

// MaxBytes is the maximal size of an encoded message, in bytes.
const MaxBytes = 1 << 20

const (
	maxChanges     = 4096 // maxChanges bounds the changes in one message.
	maxStringBytes = 128  // maxStringBytes bounds each id, address, zone and region, in bytes.
)

// Encode returns the protocol buffer message for m.
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

// Decode returns the message in h, or a BadInput fault when h is malformed or
// exceeds a limit.
func Decode(h *wqpb.HeartbeatMessage) (wqmember.Message, error) {
	if len(h.GetChanges()) > maxChanges || len(h.GetProbe()) > maxStringBytes {
		return wqmember.Message{}, malformed("too many changes, or the probe's id is too long")
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
		return wqmember.Member{}, malformed("a VM has no id")
	}
	if c.GetState() > uint32(wqmember.Left) {
		return wqmember.Member{}, malformed(fmt.Sprintf("state %d is unknown", c.GetState()))
	}
	for _, name := range []string{c.GetId(), c.GetAddress(), c.GetZone(), c.GetRegion()} {
		if len(name) > maxStringBytes {
			return wqmember.Member{}, malformed(fmt.Sprintf("an id, address, zone or region has %d bytes", len(name)))
		}
	}
	return wqmember.Member{
		ID: c.GetId(), Address: c.GetAddress(), Zone: c.GetZone(), Region: c.GetRegion(),
		Incarnation: c.GetIncarnation(), Epoch: c.GetEpoch(), State: wqmember.State(c.GetState()),
		Revision: c.GetRevision(), Isolated: c.GetIsolated(), Capacity: int(c.GetCapacity()),
	}, nil
}

func malformed(reason string) error {
	return wqfault.New(wqfault.BadInput, "malformed heartbeat: "+reason, "run the same release on all VMs")
}
