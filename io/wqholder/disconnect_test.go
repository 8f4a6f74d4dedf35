package wqholder_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqholder"
	"wisteriaquay/io/wqpb"
)

// reportingClient calls onConnectionLost while it disconnects, as wqtarget.Client
// does.
type reportingClient struct {
	instantClient
	onConnectionLost func(searcherID string)
}

func (c *reportingClient) Disconnect(id string) {
	reported := make(chan struct{})
	go func() {
		c.onConnectionLost(id)
		close(reported)
	}()
	<-reported
}

// Disconnect may call back into the holder, so the holder must not hold its lock
// during the call.
func TestDisconnectMayReportLostConnections(t *testing.T) {
	c := &reportingClient{}
	var view atomic.Pointer[wqview.View]
	h, closeHolder := wqholder.New(c, func() wqlimit.Fixed { return wqlimit.Fixed{} })
	t.Cleanup(closeHolder)
	c.onConnectionLost = h.ConnectionLost
	v := viewWithSearchers(1)
	view.Store(v)
	h.View = view.Load
	h.ProbeInterval = time.Millisecond
	must.NoError(t, h.FanOut(t.Context(), fanRequest(v), func(*wqpb.FanPart) error { return nil }))
	withdrawn := viewWithSearchers(1)
	withdrawn.Holders = nil
	view.Store(withdrawn)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.Run(ctx)
	}()
	time.Sleep(20 * time.Millisecond)
	cancel()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the holder deadlocks when it disconnects a searcher whose connections are reported as lost")
	}
}
