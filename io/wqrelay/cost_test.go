package wqrelay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplacement"
	"wisteriaquay/core/wqplacer"
	"wisteriaquay/core/wqroute"
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
		s := timedSender{times: map[string]time.Duration{"/one/cheap/x": 25 * time.Millisecond, "/one/dear/x": 500 * time.Millisecond}, sends: make(chan string, 1)}
		r := &wqrelay.Relay[timedSender, wqplacement.NearestShards]{
			Plan: base.Plan, Sender: s, Tracker: base.Tracker, Zone: "a", RetryQuota: base.RetryQuota, Log: base.Log, CostPlacement: wqrelay.NewCostPlacement(),
		}
		r.CostPlacement.Plan = base.Plan
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

// fakePlacer advises y, or does not answer while it hangs, and keeps the reports.
type fakePlacer struct {
	hangs   atomic.Bool
	asked   atomic.Int64
	refuses atomic.Bool
	reports chan wqplacer.Report
}

func (p *fakePlacer) Place(ctx context.Context, _ *wqdirectory.Target, m wqplacer.Message) (wqplacer.Advice, error) {
	if m.Request != nil {
		p.asked.Add(1)
	}
	if p.hangs.Load() {
		<-ctx.Done()
		return wqplacer.Advice{}, ctx.Err()
	}
	for _, r := range m.Reports {
		p.reports <- r
	}
	if p.refuses.Load() {
		return wqplacer.Advice{Refuse: true, Wait: time.Second}, nil
	}
	return wqplacer.Advice{Searcher: "y", Cost: 60 * time.Millisecond}, nil
}

// newPlacedRelay returns a relay of a VM that is no hub, whose placing VM is p.
func newPlacedRelay(p *fakePlacer) (*wqrelay.Relay[timedSender, wqplacement.NearestShards], timedSender) {
	base, plan := newRelay(newFakeSender(false), nil)
	plan.Hubs = []*wqdirectory.Target{newTarget("hub", "a")}
	plan.Pools = wqdirectory.Pools{"s1": {newTarget("x", "a"), newTarget("y", "b")}}
	s := timedSender{times: map[string]time.Duration{"/one/x": 60 * time.Millisecond}, sends: make(chan string, 100)}
	r := &wqrelay.Relay[timedSender, wqplacement.NearestShards]{
		Plan: base.Plan, Sender: s, Tracker: base.Tracker, Zone: "a", RetryQuota: base.RetryQuota, Log: base.Log, CostPlacement: wqrelay.NewCostPlacement(),
	}
	r.CostPlacement.VM, r.CostPlacement.Plan, r.CostPlacement.Client, r.CostPlacement.Log = "self", base.Plan, p, base.Log
	return r, s
}

func TestAdviceIsFollowedAndTheEndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlacer{reports: make(chan wqplacer.Report, 10)}
		r, s := newPlacedRelay(p)
		reply := r.Serve(t.Context(), newCall("/one/x"))
		must.Eq(t, "y", <-s.sends, must.Sprint("x is in the own zone"))
		must.Eq(t, "hub", reply.Placement.By)
		report := <-p.reports
		must.True(t, report.Ended)
		must.Eq(t, wqsend.Answered, report.Outcome)
	})
}

func TestRefusedRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlacer{}
		p.refuses.Store(true)
		r, s := newPlacedRelay(p)
		reply := r.Serve(t.Context(), newCall("/one/x"))
		must.Eq(t, wqcall.NotRun, reply.Status)
		must.Between(t, 500*time.Millisecond, reply.RetryAfter, 1500*time.Millisecond)
		must.Eq(t, 0, len(s.sends))
	})
}

// Guards against a frozen placing VM that delays every request of the fleet.
func TestPlacingVMThatDoesNotAnswerDelaysFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlacer{reports: make(chan wqplacer.Report, 100)}
		p.hangs.Store(true)
		r, s := newPlacedRelay(p)
		for range 30 { // 3 s
			start := time.Now()
			must.Eq(t, wqcall.Answered, r.Serve(t.Context(), newCall("/one/x")).Status)
			must.LessEq(t, 90*time.Millisecond, time.Since(start))
			must.SliceContains(t, []string{"x", "y"}, <-s.sends, must.Sprint("the choice of one VM alone is partly random"))
			time.Sleep(40 * time.Millisecond)
		}
		must.Between(t, 1, p.asked.Load(), 4)
		p.hangs.Store(false)
		time.Sleep(10 * time.Second) // longer than it is left alone
		r.Serve(t.Context(), newCall("/one/x"))
		must.Eq(t, "y", <-s.sends, must.Sprint("it is asked again"))
		time.Sleep(time.Second)
	})
}

// Guards against a choice of hubs that ignores the fan-outs in progress there.
func TestHubsAreComparedByWhatTheirFanOutsCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newPlacedRelay(&fakePlacer{reports: make(chan wqplacer.Report, 100)})
		plan := r.Plan()
		plan.Hubs = []*wqdirectory.Target{newTarget("h1", "a"), newTarget("h2", "a")}
		for _, h := range plan.Hubs {
			h.Searcher.Slots = 800
		}
		hubs := &slowHubs{used: make(chan string, 100)}
		r.HubClient = hubs
		for range 20 {
			must.Eq(t, wqcall.Answered, r.Serve(t.Context(), newCall("/all/x")).Status)
			<-hubs.used
		}
		counts := make(map[string]int)
		for range 12 {
			go r.Serve(t.Context(), newCall("/all/x"))
			counts[<-hubs.used]++
		}
		time.Sleep(time.Second)
		must.Between(t, 4, counts["h1"], 8, must.Sprint("fan-outs in progress count"))
	})
}

// slowHubs are hubs that need 150 ms for a fan-out.
type slowHubs struct{ used chan string }

func (h *slowHubs) FanOut(_ context.Context, hub *wqdirectory.Target, _ *wqcall.Call, _ *wqroute.Route) (wqcall.Reply, error) {
	h.used <- hub.Searcher.ID
	time.Sleep(150 * time.Millisecond)
	return wqcall.Reply{Status: wqcall.Answered}, nil
}
