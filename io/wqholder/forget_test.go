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

// closing is a client that, like the real one, tells of lost connections while
// it closes them.
type closing struct {
	instant
	lost func(searcherID string)
}

func (c *closing) Disconnect(id string) {
	told := make(chan struct{})
	go func() {
		c.lost(id)
		close(told)
	}()
	<-told
}

func TestForgetMayTellOfLostConnections(t *testing.T) {
	c := &closing{}
	var view atomic.Pointer[wqview.View]
	h, closeHolder := wqholder.New(c, func() wqlimit.Fixed { return wqlimit.Fixed{} })
	t.Cleanup(closeHolder)
	c.lost = h.ConnectionLost
	v := viewOf(1)
	view.Store(v)
	h.View = view.Load
	h.ProbeInterval = time.Millisecond
	must.NoError(t, h.FanOut(t.Context(), fanRequest(v), func(*wqpb.FanPart) error { return nil }))
	withdrawn := viewOf(1)
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
		t.Fatal("the holder hangs when it forgets a searcher whose connections close")
	}
}
