// Package wqheartbeat translates membership messages between core and the
// messages of the peers' protocol.
//
// # Usage
//
//	reply, err := client.Heartbeat(ctx, wqheartbeat.Encode(m))
//	answer, err := wqheartbeat.Decode(reply)
package wqheartbeat

import (
	"wisteriaquay/core/wqmember"
	"wisteriaquay/io/wqpb"
)

// Encode returns the protocol's form of a message.
func Encode(m wqmember.Message) *wqpb.HeartbeatMessage {
	h := &wqpb.HeartbeatMessage{From: encodeMember(m.From), Probe: m.Probe, Joining: m.Joining, Whole: m.Whole, Digest: m.Digest}
	for _, c := range m.Changes {
		h.Changes = append(h.Changes, encodeMember(c))
	}
	return h
}

// Decode returns the message that h stands for.
func Decode(h *wqpb.HeartbeatMessage) (wqmember.Message, error) {
	m := wqmember.Message{From: decodeMember(h.GetFrom()), Probe: h.GetProbe(), Joining: h.GetJoining(), Whole: h.GetWhole(), Digest: h.GetDigest()}
	for _, c := range h.GetChanges() {
		m.Changes = append(m.Changes, decodeMember(c))
	}
	return m, nil
}

func encodeMember(m wqmember.Member) *wqpb.MemberChange {
	return &wqpb.MemberChange{
		Id: m.ID, Address: m.Address, Zone: m.Zone, Region: m.Region,
		Incarnation: m.Incarnation, Epoch: m.Epoch, State: uint32(m.State), Revision: m.Revision,
	}
}

func decodeMember(c *wqpb.MemberChange) wqmember.Member {
	return wqmember.Member{
		ID: c.GetId(), Address: c.GetAddress(), Zone: c.GetZone(), Region: c.GetRegion(),
		Incarnation: c.GetIncarnation(), Epoch: c.GetEpoch(), State: wqmember.State(c.GetState()), Revision: c.GetRevision(),
	}
}
