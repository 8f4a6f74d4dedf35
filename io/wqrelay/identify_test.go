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
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtenant"
	"wisteriaquay/io/wqrelay"
)

// withTenants returns a plan with another version of the configuration, whose only client
// account has this key.
func withTenants(plan *wqplan.Plan, version uint64, key string) *wqplan.Plan {
	changed, table := *plan, *plan.Table
	table.Version = version
	table.Tenants = wqtenant.New([]wqtenant.Tenant{{Name: "shop", KeyDigests: []wqtenant.Digest{wqtenant.DigestOf(key)}, Priority: 1, HasPriority: true}})
	changed.Table = &table
	return &changed
}

// Guards against callers without a valid key that are served, on each kind of route, and
// against a key that stays in the call.
func TestCallersAreServedByTheirKey(t *testing.T) {
	for _, c := range []struct {
		authorization []string
		anonymous     bool
		want          wqcall.Status
		tenant        string
	}{
		{[]string{"Bearer k"}, false, wqcall.Answered, "shop"},
		{[]string{"Bearer k"}, true, wqcall.Answered, "shop"},
		{nil, false, wqcall.Unauthorized, ""},
		{nil, true, wqcall.Answered, ""},
		{[]string{"Bearer other"}, false, wqcall.Unauthorized, ""},
		{[]string{"Bearer other"}, true, wqcall.Unauthorized, ""},
		{[]string{"Basic k"}, true, wqcall.Unauthorized, ""},
	} {
		for _, path := range []string{"/one/x", "/all/x"} {
			s := newFakeSender(false)
			r, plan := newRelay(s, nil)
			plan = withTenants(plan, 2, "k")
			plan.Table.Match("h", path).AllowAnonymous = c.anonymous
			r.Plan = func() *wqplan.Plan { return plan }
			call := newCall(path)
			call.Authorization = c.authorization
			must.Eq(t, c.want, r.Serve(t.Context(), call).Status, must.Sprint(c))
			must.Eq(t, c.tenant, call.Tenant)
			must.True(t, call.Identified)
			must.SliceEmpty(t, call.Authorization)
			must.Eq(t, c.want == wqcall.Answered, s.sends.Load() > 0)
		}
	}
}

func TestWithoutTenantsAnyCallerIsServedAndKeepsItsHeader(t *testing.T) {
	r, _ := newRelay(newFakeSender(false), nil)
	call := newCall("/one/x")
	call.Authorization = []string{"Bearer k"}
	must.Eq(t, wqcall.Answered, r.Serve(t.Context(), call).Status)
	must.False(t, call.Identified)
	must.Eq(t, []string{"Bearer k"}, call.Authorization)
}

// guardedSender waits for a connection until the caller may no longer be served.
type guardedSender struct {
	plan  *atomic.Pointer[wqplan.Plan]
	calls *atomic.Int64
}

func (s guardedSender) Send(ctx context.Context, _ *wqdirectory.Target, c *wqcall.Call, _ time.Duration) wqsend.Result {
	s.calls.Add(1)
	for wqrelay.Permits(c, s.plan.Load()) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return wqsend.Result{Outcome: wqsend.Withheld}
}

// Guards against a request that reaches a searcher seconds after its key was withdrawn,
// and against one that is refused although a later configuration still has its key.
func TestWithdrawnKeyEndsARequestThatWaits(t *testing.T) {
	for _, path := range []string{"/one/x", "/all/x"} {
		synctest.Test(t, func(t *testing.T) {
			healthy, plan := newRelay(newFakeSender(false), nil)
			var current atomic.Pointer[wqplan.Plan]
			current.Store(withTenants(plan, 2, "k"))
			s := guardedSender{&current, new(atomic.Int64)}
			r := withSender(healthy, s)
			r.Plan = current.Load
			call := newCall(path)
			call.Authorization = []string{"Bearer k"}
			time.AfterFunc(100*time.Millisecond, func() { current.Store(withTenants(plan, 3, "k")) })
			time.AfterFunc(200*time.Millisecond, func() { current.Store(withTenants(plan, 4, "new")) })
			start := time.Now()
			must.Eq(t, wqcall.Unauthorized, r.Serve(t.Context(), call).Status)
			must.Between(t, 200*time.Millisecond, time.Since(start), 210*time.Millisecond)
			sends := s.calls.Load()
			must.Eq(t, wqcall.Unauthorized, r.Serve(t.Context(), &wqcall.Call{ID: "q", Host: "h", Path: path, Authorization: []string{"Bearer k"}, Arrived: time.Now()}).Status)
			must.Eq(t, sends, s.calls.Load())
		})
	}
}

func TestVersionOlderThanTheKeyWithdrawsNothing(t *testing.T) {
	_, plan := newRelay(newFakeSender(false), nil)
	use := &wqcall.Call{Identified: true, Key: wqcall.KeyUse{Digest: wqtenant.DigestOf("k"), Version: 5}}
	must.True(t, wqrelay.Permits(use, withTenants(plan, 4, "old")))
	must.False(t, wqrelay.Permits(use, withTenants(plan, 6, "new")))
	must.True(t, wqrelay.Permits(use, plan), must.Sprint("a configuration without client accounts serves any caller"))
	must.False(t, wqrelay.Permits(&wqcall.Call{}, withTenants(plan, 4, "old")), must.Sprint("accepted with its key in the header"))
	must.True(t, (&wqroute.Table{}).Tenants.Len() == 0)
}
