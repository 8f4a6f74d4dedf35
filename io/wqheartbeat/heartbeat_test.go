package wqheartbeat_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqpb"
)

func exampleMessage() wqmember.Message {
	m := wqmember.Member{
		ID: "vm-1", Address: "10.0.0.1:7000", Zone: "a", Region: "cuyo",
		Incarnation: 1_700_000_000_001, Epoch: 1_700_000_000_000, State: wqmember.Leaving, Revision: 9, Isolated: true,
	}
	return wqmember.Message{
		From: m, Changes: []wqmember.Member{m, {ID: "vm-2", State: wqmember.Left}},
		ProbeID: "vm-3", RequestsList: true, Full: true, Digest: 1 << 63,
	}
}

func TestMessageRoundTrips(t *testing.T) {
	body, err := proto.Marshal(wqheartbeat.Encode(exampleMessage()))
	must.NoError(t, err)
	var h wqpb.HeartbeatMessage
	must.NoError(t, proto.Unmarshal(body, &h))
	m, err := wqheartbeat.Decode(&h)
	must.NoError(t, err)
	must.Eq(t, exampleMessage(), m)
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	for name, corrupt := range map[string]func(h *wqpb.HeartbeatMessage){
		"no sender":        func(h *wqpb.HeartbeatMessage) { h.From = nil },
		"nameless change":  func(h *wqpb.HeartbeatMessage) { h.Changes[1].Id = "" },
		"unknown state":    func(h *wqpb.HeartbeatMessage) { h.Changes[0].State = 5 },
		"long id":          func(h *wqpb.HeartbeatMessage) { h.Changes[0].Id = strings.Repeat("x", 129) },
		"long probe":       func(h *wqpb.HeartbeatMessage) { h.Probe = strings.Repeat("x", 129) },
		"too many changes": func(h *wqpb.HeartbeatMessage) { h.Changes = make([]*wqpb.MemberChange, 4097) },
	} {
		h := wqheartbeat.Encode(exampleMessage())
		corrupt(h)
		_, err := wqheartbeat.Decode(h)
		must.Error(t, err, must.Sprint(name))
		must.EqOp(t, wqfault.BadInput, wqfault.KindOf(err))
	}
}

func FuzzDecode(f *testing.F) {
	body, _ := proto.Marshal(wqheartbeat.Encode(exampleMessage()))
	f.Add(body)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		var h wqpb.HeartbeatMessage
		if proto.Unmarshal(body, &h) != nil {
			return
		}
		m, err := wqheartbeat.Decode(&h)
		if err != nil {
			return
		}
		roundTripped, err := wqheartbeat.Decode(wqheartbeat.Encode(m))
		must.NoError(t, err)
		must.Eq(t, m, roundTripped)
	})
}
