package wqrelay_test

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplacement"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqretryquota"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqrelay"
)

// fakeSender answers every send, or blocks until its context ends if hangs is set.
type fakeSender struct {
	sends     *atomic.Int64
	cancelled *atomic.Int64
	hangs     bool
}

func (s fakeSender) Send(ctx context.Context, t *wqdirectory.Target, _ *wqcall.Call, _ time.Duration) wqsend.Result {
	s.sends.Add(1)
	if s.hangs {
		<-ctx.Done()
		s.cancelled.Add(1)
		return wqsend.Result{Outcome: wqsend.Cancelled}
	}
	return wqsend.Result{Outcome: wqsend.Answered, Code: 200, Signature: t.Searcher.ID, Body: []byte("0123456789abcdef")}
}

// fakeHubs maps the ID of a hub to the error of its calls.
type fakeHubs map[string]error

func (h fakeHubs) FanOut(_ context.Context, hub *wqdirectory.Target, _ *wqcall.Call, _ *wqroute.Route) (wqcall.Reply, error) {
	return wqcall.Reply{Status: wqcall.Answered, Stamps: []string{hub.Searcher.ID}}, h[hub.Searcher.ID]
}

func newTarget(id, zone string) *wqdirectory.Target {
	return &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: id, Zone: zone, Slots: 3}}
}

func newRelay(s fakeSender, h fakeHubs) (*wqrelay.Relay[fakeSender, wqplacement.NearestShards], *wqplan.Plan) {
	routes := []wqroute.Route{
		{Name: "all", Host: "h", Prefix: "/all/", Idempotent: true, Shards: []string{"s1", "s2"}, Top: 5, LeastShare: 0.5, Attempts: 2, Timeout: time.Second, Objective: 100 * time.Millisecond},
		{Name: "one", Host: "h", Prefix: "/one/", Idempotent: true, Parts: []wqroute.Part{{Service: "s1", Weight: 1}}, Attempts: 2, Timeout: time.Second},
	}
	plan := &wqplan.Plan{
		Table: wqroute.NewTable(1, routes, nil, wqroute.Limits{MaxBodyBytes: 100}), FleetSize: 14,
		Pools: wqdirectory.Pools{"s1": {newTarget("x", "a")}, "s2": {newTarget("y", "a")}},
	}
	return &wqrelay.Relay[fakeSender, wqplacement.NearestShards]{
		Plan: func() *wqplan.Plan { return plan }, Sender: s, Tracker: wqselector.New(), Zone: "a", HubClient: h, Placement: wqplacement.NearestShards{Zone: "a", MinSavedShare: 0.25},
		RetryQuota: wqretryquota.New(wqretryquota.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, time.Now()),
		Log:        slog.New(slog.DiscardHandler),
	}, plan
}

func newCall(path string) *wqcall.Call {
	return &wqcall.Call{ID: "q", Method: "GET", Host: "h", Path: path, Arrived: time.Now(), Timeout: time.Second}
}

func newFakeSender(hangs bool) fakeSender {
	return fakeSender{sends: new(atomic.Int64), cancelled: new(atomic.Int64), hangs: hangs}
}

func TestNoConfigurationIsRefusedAsNotRun(t *testing.T) {
	r, _ := newRelay(newFakeSender(false), nil)
	r.Plan = func() *wqplan.Plan { return &wqplan.Plan{} }
	reply := r.Serve(t.Context(), newCall("/all/x"))
	must.Eq(t, wqcall.NotRun, reply.Status)
	must.Positive(t, reply.RetryAfter)
}

func TestRequestWaitsForTheFirstConfigurationWhileOneIsExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, plan := newRelay(newFakeSender(false), nil)
		var current atomic.Pointer[wqplan.Plan]
		current.Store(&wqplan.Plan{})
		configured, expected := make(chan struct{}), false
		r.Plan = current.Load
		r.StartupWait = wqrelay.StartupWait{Configured: configured, ConfigExpected: func() bool { return expected }}
		start := time.Now()
		must.Eq(t, wqcall.NotRun, r.Serve(t.Context(), newCall("/all/x")).Status)
		must.Eq(t, 0, time.Since(start), must.Sprint("no configuration is expected, so the request does not wait"))
		expected = true
		must.Eq(t, wqcall.NotRun, r.Serve(t.Context(), newCall("/all/x")).Status)
		must.Eq(t, 100*time.Millisecond, time.Since(start), must.Sprint("the wait is bounded"))
		time.AfterFunc(10*time.Millisecond, func() {
			current.Store(plan)
			close(configured)
		})
		must.Eq(t, wqcall.Answered, r.Serve(t.Context(), newCall("/all/x")).Status)
		must.Eq(t, 110*time.Millisecond, time.Since(start))
	})
}

func TestFanOutMergesAllParts(t *testing.T) {
	s := newFakeSender(false)
	r, _ := newRelay(s, nil)
	reply := r.Serve(t.Context(), newCall("/all/x"))
	must.Eq(t, wqcall.Answered, reply.Status)
	must.SliceContainsAll(t, []string{"x", "y"}, reply.Stamps)
	must.Eq(t, 32, len(reply.Body))
	must.Eq(t, 0, reply.Missing)
	must.Eq(t, wqcall.Sends{All: 2}, reply.Sends)
}

func TestSendsAreCancelledWhenTheCallerDisconnects(t *testing.T) {
	s := newFakeSender(true)
	r, _ := newRelay(s, nil)
	ctx, disconnect := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, disconnect)
	must.Eq(t, wqcall.CallerGone, r.Serve(ctx, newCall("/all/x")).Status)
	time.Sleep(50 * time.Millisecond)
	must.Eq(t, s.sends.Load(), s.cancelled.Load())
}

func TestFanOutGoesThroughAHubOfTheOwnZone(t *testing.T) {
	s := newFakeSender(false)
	r, plan := newRelay(s, fakeHubs{})
	plan.Hubs = []*wqdirectory.Target{newTarget("far", "b"), newTarget("near", "a")}
	must.Eq(t, []string{"near"}, r.Serve(t.Context(), newCall("/all/x")).Stamps)
	must.Eq(t, 0, s.sends.Load())
	must.Eq(t, wqcall.Answered, r.Serve(t.Context(), newCall("/one/x")).Status)
	must.Eq(t, 1, s.sends.Load(), must.Sprint("requests to one searcher need no hub"))
}

func TestFanOutGoesToTheZoneOfTheSearchers(t *testing.T) {
	s := newFakeSender(false)
	r, plan := newRelay(s, fakeHubs{})
	r.Zone, r.Placement.Zone = "b", "b"
	plan.Hubs = []*wqdirectory.Target{newTarget("own", "b"), newTarget("near-searchers", "a")}
	for _, plan.IsHub = range []bool{false, true} {
		reply := r.Serve(t.Context(), newCall("/all/x"))
		must.Eq(t, []string{"near-searchers"}, reply.Stamps)
		must.Eq(t, "a", reply.HubZone)
	}
	must.Eq(t, 0, s.sends.Load())
}

func TestHubsOfTheOwnZoneRunFanOutsWhenTheSearchersZoneIsCutOff(t *testing.T) {
	s := newFakeSender(false)
	r, plan := newRelay(s, fakeHubs{"near-1": wqrelay.ErrHubRefused, "near-2": wqrelay.ErrHubRefused})
	r.Zone, r.Placement.Zone = "b", "b"
	plan.Hubs = []*wqdirectory.Target{newTarget("near-1", "a"), newTarget("near-2", "a"), newTarget("own", "b")}
	must.Eq(t, []string{"own"}, r.Serve(t.Context(), newCall("/all/x")).Stamps)
	plan.IsHub = true // A hub that finds none in the preferred zone runs the fan-out itself.
	must.SliceContainsAll(t, []string{"x", "y"}, r.Serve(t.Context(), newCall("/all/x")).Stamps)
}

func TestHubRunsFanOutsOfItsZoneItself(t *testing.T) {
	s := newFakeSender(false)
	r, plan := newRelay(s, fakeHubs{})
	plan.Hubs, plan.IsHub = []*wqdirectory.Target{newTarget("own", "a"), newTarget("other", "b")}, true
	reply := r.Serve(t.Context(), newCall("/all/x"))
	must.SliceContainsAll(t, []string{"x", "y"}, reply.Stamps)
	must.Eq(t, "", reply.Hub)
}

func TestAnotherHubIsTriedAfterARefusal(t *testing.T) {
	s := newFakeSender(false)
	r, plan := newRelay(s, fakeHubs{"near": wqrelay.ErrHubRefused})
	plan.Hubs = []*wqdirectory.Target{newTarget("far", "b"), newTarget("near", "a")}
	must.Eq(t, []string{"far"}, r.Serve(t.Context(), newCall("/all/x")).Stamps)

	r.HubClient = fakeHubs{"near": wqrelay.ErrHubRefused, "far": wqrelay.ErrHubRefused}
	must.SliceContainsAll(t, []string{"x", "y"}, r.Serve(t.Context(), newCall("/all/x")).Stamps)
}

// After the connection to a hub breaks, the hub may have used any number of the
// attempts that the route allows, so no other VM may start the request.
func TestRequestThatAHubMayHaveStartedIsNotRepeated(t *testing.T) {
	s := newFakeSender(false)
	r, plan := newRelay(s, fakeHubs{"near": errors.New("connection reset")})
	plan.Hubs = []*wqdirectory.Target{newTarget("far", "b"), newTarget("near", "a")}
	must.Eq(t, wqcall.Unavailable, r.Serve(t.Context(), newCall("/all/x")).Status)
	must.Eq(t, 0, s.sends.Load())
}

// panickingSender panics at every send.
type panickingSender struct{}

func (panickingSender) Send(context.Context, *wqdirectory.Target, *wqcall.Call, time.Duration) wqsend.Result {
	panic("unexpected")
}

func TestPanicWhileSendingEndsOneRequest(t *testing.T) {
	r, plan := newRelay(newFakeSender(false), nil)
	panicking := &wqrelay.Relay[panickingSender, wqplacement.NearestShards]{
		Plan: func() *wqplan.Plan { return plan }, Tracker: r.Tracker, Zone: r.Zone, Log: r.Log,
		RetryQuota: wqretryquota.New(wqretryquota.Limits{Slack: 1000, Window: 10 * time.Second}, time.Now().Add(-time.Minute)), // Allows all attempts.
	}
	must.Eq(t, wqcall.Unavailable, panicking.Serve(t.Context(), newCall("/one/x")).Status)
	must.Eq(t, wqcall.Unavailable, panicking.Serve(t.Context(), newCall("/all/x")).Status)
}

// failingSender answers every send with a searcher's own error response; its value
// is the HTTP status code.
type failingSender int

func (f failingSender) Send(context.Context, *wqdirectory.Target, *wqcall.Call, time.Duration) wqsend.Result {
	return wqsend.Result{Outcome: wqsend.Failed, Code: int(f), Signature: "s", Reason: "failed"}
}

// Some HTTP status codes tell callers that the request was not run. A searcher's
// error response with such a code must not reach the caller, because the searcher
// ran the request.
func TestFailureAfterARunIsNotPassedOnAsNotRun(t *testing.T) {
	for code, want := range map[int]wqcall.Status{500: wqcall.Answered, 504: wqcall.Answered, 503: wqcall.Unavailable, 429: wqcall.Unavailable, 408: wqcall.Unavailable} {
		healthy, _ := newRelay(newFakeSender(false), nil)
		r := &wqrelay.Relay[failingSender, wqplacement.NearestShards]{
			Plan: healthy.Plan, Sender: failingSender(code), Tracker: healthy.Tracker, Zone: "a", RetryQuota: healthy.RetryQuota, Log: healthy.Log,
		}
		must.Eq(t, want, r.Serve(t.Context(), newCall("/one/x")).Status, must.Sprint(code))
	}
}

// waitingSender never sends: each call waits for a connection until its context ends.
type waitingSender struct{ calls *atomic.Int64 }

func (s waitingSender) Send(ctx context.Context, _ *wqdirectory.Target, _ *wqcall.Call, _ time.Duration) wqsend.Result {
	s.calls.Add(1)
	<-ctx.Done()
	return wqsend.Result{Outcome: wqsend.Withheld}
}

// Guards against a stop that cuts requests: each gets a reply when requests have to end,
// and one that was never sent is refused as not run.
func TestEndedRequestsGetAReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hanging, _ := newRelay(newFakeSender(true), nil)
		waiting := withSender(hanging, waitingSender{new(atomic.Int64)})
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, hanging.EndRequests)
		must.Eq(t, wqcall.Unavailable, hanging.Serve(t.Context(), newCall("/one/x")).Status)
		time.AfterFunc(100*time.Millisecond, waiting.EndRequests)
		refused := waiting.Serve(t.Context(), newCall("/one/x"))
		must.Eq(t, wqcall.NotRun, refused.Status)
		must.Positive(t, refused.RetryAfter)
		must.Eq(t, 200*time.Millisecond, time.Since(start))
	})
}

func TestNothingIsSentAfterEndSends(t *testing.T) {
	s := newFakeSender(false)
	r, _ := newRelay(s, nil)
	r.EndSends()
	for _, path := range []string{"/one/x", "/all/x"} {
		reply := r.Serve(t.Context(), newCall(path))
		must.Eq(t, wqcall.NotRun, reply.Status)
		must.Positive(t, reply.RetryAfter)
	}
	must.Eq(t, 0, s.sends.Load())
}

// Guards against requests that wait for a connection until the deadline and are reported
// as if they may have run.
func TestRequestThatWaitedUntilTheDeadlineHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newRelay(newFakeSender(false), nil)
		calls := new(atomic.Int64)
		must.Eq(t, wqcall.NotRun, withSender(r, waitingSender{calls}).Serve(t.Context(), newCall("/one/x")).Status)
		must.Positive(t, calls.Load())
	})
}

// withSender returns a relay with the settings of r and another sender.
func withSender[S wqrelay.Sender](r *wqrelay.Relay[fakeSender, wqplacement.NearestShards], s S) *wqrelay.Relay[S, wqplacement.NearestShards] {
	return &wqrelay.Relay[S, wqplacement.NearestShards]{
		Plan: r.Plan, Sender: s, Tracker: r.Tracker, Zone: r.Zone, HubClient: r.HubClient, Placement: r.Placement, RetryQuota: r.RetryQuota, Log: r.Log,
	}
}
