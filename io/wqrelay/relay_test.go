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
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqretryquota"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqrelay"
)

// sender answers every send, or holds it until its context ends.
type sender struct {
	sends     *atomic.Int64
	cancelled *atomic.Int64
	hold      bool
}

func (s sender) Send(ctx context.Context, t *wqdirectory.Target, _ *wqcall.Call, _ time.Duration) wqsend.Result {
	s.sends.Add(1)
	if s.hold {
		<-ctx.Done()
		s.cancelled.Add(1)
		return wqsend.Result{Outcome: wqsend.Cancelled}
	}
	return wqsend.Result{Outcome: wqsend.Answered, Code: 200, Signature: t.Searcher.ID, Body: []byte("0123456789abcdef")}
}

// hubs answers each hub's calls with the given error, by id.
type hubs map[string]error

func (h hubs) FanOut(_ context.Context, hub *wqdirectory.Target, _ *wqcall.Call, _ *wqroute.Route) (wqcall.Reply, error) {
	return wqcall.Reply{Status: wqcall.Answered, Stamps: []string{hub.Searcher.ID}}, h[hub.Searcher.ID]
}

func target(id, zone string) *wqdirectory.Target {
	return &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: id, Zone: zone, Slots: 3}}
}

func newRelay(s sender, h hubs) (*wqrelay.Relay[sender], *wqplan.Plan) {
	routes := []wqroute.Route{
		{Name: "all", Host: "h", Prefix: "/all/", Idempotent: true, Shards: []string{"s1", "s2"}, Top: 5, LeastShare: 0.5, Attempts: 2, Timeout: time.Second, Objective: 100 * time.Millisecond},
		{Name: "one", Host: "h", Prefix: "/one/", Idempotent: true, Parts: []wqroute.Part{{Service: "s1", Weight: 1}}, Attempts: 2, Timeout: time.Second},
	}
	plan := &wqplan.Plan{
		Table: wqroute.NewTable(1, routes, nil, wqroute.Limits{BodyBytes: 100}), FleetSize: 14,
		Pools: wqdirectory.Pools{"s1": {target("x", "a")}, "s2": {target("y", "a")}},
	}
	return &wqrelay.Relay[sender]{
		Plan: func() *wqplan.Plan { return plan }, Sender: s, Tracker: wqselector.New(), Zone: "a", HubClient: h,
		RetryQuota: wqretryquota.New(wqretryquota.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, time.Now()),
		Log:        slog.New(slog.DiscardHandler),
	}, plan
}

func call(path string) *wqcall.Call {
	return &wqcall.Call{ID: "q", Method: "GET", Host: "h", Path: path, Arrived: time.Now(), Timeout: time.Second}
}

func newSender(hold bool) sender {
	return sender{sends: new(atomic.Int64), cancelled: new(atomic.Int64), hold: hold}
}

func TestNoConfigurationIsRefusedAsNotRun(t *testing.T) {
	r, _ := newRelay(newSender(false), nil)
	r.Plan = func() *wqplan.Plan { return &wqplan.Plan{} }
	reply := r.Serve(t.Context(), call("/all/x"))
	must.Eq(t, wqcall.NotRun, reply.Status)
	must.Positive(t, reply.RetryAfter)
}

func TestRequestWaitsForTheFirstConfigurationWhileOneIsExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, plan := newRelay(newSender(false), nil)
		var known atomic.Pointer[wqplan.Plan]
		known.Store(&wqplan.Plan{})
		configured, expected := make(chan struct{}), false
		r.Plan = known.Load
		r.StartupWait = wqrelay.StartupWait{Configured: configured, ConfigExpected: func() bool { return expected }}
		began := time.Now()
		must.Eq(t, wqcall.NotRun, r.Serve(t.Context(), call("/all/x")).Status)
		must.Eq(t, 0, time.Since(began), must.Sprint("none is expected, so the caller is told at once"))
		expected = true
		must.Eq(t, wqcall.NotRun, r.Serve(t.Context(), call("/all/x")).Status)
		must.Eq(t, 100*time.Millisecond, time.Since(began), must.Sprint("the wait is bounded"))
		time.AfterFunc(10*time.Millisecond, func() {
			known.Store(plan)
			close(configured)
		})
		must.Eq(t, wqcall.Answered, r.Serve(t.Context(), call("/all/x")).Status)
		must.Eq(t, 110*time.Millisecond, time.Since(began))
	})
}

func TestFanOutMergesThePartsNamed(t *testing.T) {
	s := newSender(false)
	r, _ := newRelay(s, nil)
	reply := r.Serve(t.Context(), call("/all/x"))
	must.Eq(t, wqcall.Answered, reply.Status)
	must.SliceContainsAll(t, []string{"x", "y"}, reply.Stamps)
	must.Eq(t, 32, len(reply.Body))
	must.Eq(t, 0, reply.Missing)
	must.Eq(t, wqcall.Sends{All: 2}, reply.Sends)
}

func TestSendsEndWhenTheCallerLeaves(t *testing.T) {
	s := newSender(true)
	r, _ := newRelay(s, nil)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, leave)
	must.Eq(t, wqcall.CallerGone, r.Serve(ctx, call("/all/x")).Status)
	time.Sleep(50 * time.Millisecond)
	must.Eq(t, s.sends.Load(), s.cancelled.Load())
}

func TestFanOutGoesThroughAHubOfTheOwnZone(t *testing.T) {
	s := newSender(false)
	r, plan := newRelay(s, hubs{})
	plan.Hubs = []*wqdirectory.Target{target("far", "b"), target("near", "a")}
	must.Eq(t, []string{"near"}, r.Serve(t.Context(), call("/all/x")).Stamps)
	must.Eq(t, 0, s.sends.Load())
	must.Eq(t, wqcall.Answered, r.Serve(t.Context(), call("/one/x")).Status)
	must.Eq(t, 1, s.sends.Load(), must.Sprint("requests to one searcher need no hub"))
}

func TestHubThatTakesNothingIsReplaced(t *testing.T) {
	s := newSender(false)
	r, plan := newRelay(s, hubs{"near": wqrelay.ErrHubRefused})
	plan.Hubs = []*wqdirectory.Target{target("far", "b"), target("near", "a")}
	must.Eq(t, []string{"far"}, r.Serve(t.Context(), call("/all/x")).Stamps)

	r.HubClient = hubs{"near": wqrelay.ErrHubRefused, "far": wqrelay.ErrHubRefused}
	must.SliceContainsAll(t, []string{"x", "y"}, r.Serve(t.Context(), call("/all/x")).Stamps)
}

// A hub that may have begun has used an unknown number of the attempts that a
// route allows, so nobody else may begin.
func TestRequestThatAHubMayHaveBegunIsNotBegunAgain(t *testing.T) {
	s := newSender(false)
	r, plan := newRelay(s, hubs{"near": errors.New("connection reset")})
	plan.Hubs = []*wqdirectory.Target{target("far", "b"), target("near", "a")}
	must.Eq(t, wqcall.Unavailable, r.Serve(t.Context(), call("/all/x")).Status)
	must.Eq(t, 0, s.sends.Load())
}

// failing answers every send with a searcher's own failure.
type failing int

func (f failing) Send(context.Context, *wqdirectory.Target, *wqcall.Call, time.Duration) wqsend.Result {
	return wqsend.Result{Outcome: wqsend.Failed, Code: int(f), Signature: "s", Reason: "failed"}
}

// A failure of a searcher that ran the request must not reach the caller under a
// status that says it has not run.
func TestFailureAfterARunIsNotPassedOnAsNotRun(t *testing.T) {
	for code, want := range map[int]wqcall.Status{500: wqcall.Answered, 504: wqcall.Answered, 503: wqcall.Unavailable, 429: wqcall.Unavailable, 408: wqcall.Unavailable} {
		sound, _ := newRelay(newSender(false), nil)
		r := &wqrelay.Relay[failing]{
			Plan: sound.Plan, Sender: failing(code), Tracker: sound.Tracker, Zone: "a", RetryQuota: sound.RetryQuota, Log: sound.Log,
		}
		must.Eq(t, want, r.Serve(t.Context(), call("/one/x")).Status, must.Sprint(code))
	}
}
