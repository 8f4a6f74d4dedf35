package wqrelay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplacement"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/io/wqrelay"
)

// timedSender answers after a time that the path of the request names.
type timedSender struct {
	times map[string]time.Duration
	sends chan string // ids of the searchers, as far as it has room
}

func (s timedSender) Send(ctx context.Context, t *wqdirectory.Target, c *wqcall.Call, _ time.Duration) wqsend.Result {
	select {
	case s.sends <- t.Searcher.ID:
	default:
	}
	select {
	case <-time.After(s.times[c.Path]):
		return wqsend.Result{Outcome: wqsend.Answered, Code: 200, Signature: t.Searcher.ID}
	case <-ctx.Done():
		return wqsend.Result{Outcome: wqsend.Cancelled}
	}
}

// Guards against a placement by cost that counts requests: two dear requests run on one
// searcher, so cheap ones go to the other.
func TestPlacementByCostAvoidsTheSearcherWithTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base, plan := newRelay(newFakeSender(false), nil)
		s := timedSender{times: map[string]time.Duration{"/one/cheap/x": 5 * time.Millisecond, "/one/dear/x": 500 * time.Millisecond}, sends: make(chan string, 1)}
		r := &wqrelay.Relay[timedSender, wqplacement.NearestShards]{
			Plan: base.Plan, Sender: s, Tracker: base.Tracker, Zone: "a", RetryQuota: base.RetryQuota, Log: base.Log, CostPlacement: wqrelay.NewCostPlacement(),
		}
		plan.Pools = wqdirectory.Pools{"s1": {newTarget("x", "a"), newTarget("y", "b")}}
		call := func(path string) {
			c := newCall(path)
			c.Tenant = path
			must.Eq(t, wqcall.Answered, r.Serve(t.Context(), c).Status)
		}
		for range 40 {
			call("/one/cheap/x")
			call("/one/dear/x")
		}
		plan.Pools = wqdirectory.Pools{"s1": {newTarget("x", "a")}}
		for range 2 {
			go call("/one/dear/x")
			synctest.Wait()
		}
		plan.Pools = wqdirectory.Pools{"s1": {newTarget("x", "a"), newTarget("y", "b")}}
		<-s.sends
		call("/one/cheap/x")
		must.Eq(t, "y", <-s.sends)
		time.Sleep(time.Second)
	})
}
