package wqrelay_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqtenant"
	"wisteriaquay/io/wqrelay"
)

// Guards against requests over a quota that are sent, requests of other callers that are
// charged, and credit that is lost, or given back for a request that may have run.
func TestQuotaIsChargedOnceAndReturnedOnlyIfNothingRan(t *testing.T) {
	for name, c := range map[string]struct {
		path, key        string
		refuses, hasNone bool
		want             wqcall.Status
		charged          int
		returned         int
	}{
		"answered":    {"/one/x", "k", false, false, wqcall.Answered, 1, 0},
		"fan-out":     {"/all/x", "k", false, false, wqcall.Answered, 1, 0},
		"over quota":  {"/one/x", "k", true, false, wqcall.OverQuota, 1, 0},
		"not run":     {"/one/x", "k", false, true, wqcall.NotRun, 1, 1},
		"unknown key": {"/one/x", "other", false, false, wqcall.Unauthorized, 0, 0},
		"no route":    {"/none/x", "k", false, false, wqcall.NoRoute, 0, 0},
	} {
		s := newFakeSender(false)
		r, plan := newRelay(s, nil)
		plan = withTenants(plan, 2, "k")
		if c.hasNone {
			plan.Pools = nil
		}
		r.Plan = func() *wqplan.Plan { return plan }
		charged, returned := 0, 0
		r.Quota = wqrelay.Quota{
			Charge: func(_ context.Context, call *wqcall.Call, tenant *wqtenant.Tenant) (wqcall.Reply, bool) {
				charged++
				must.Eq(t, "shop", tenant.Name)
				if c.refuses {
					return wqcall.Reply{Status: wqcall.OverQuota, RetryAfter: time.Second}, false
				}
				call.ChargedAt = time.Now()
				return wqcall.Reply{}, true
			},
			Return: func(*wqcall.Call) { returned++ },
		}
		call := newCall(c.path)
		call.Authorization = []string{"Bearer " + c.key}
		must.Eq(t, c.want, r.Serve(t.Context(), call).Status, must.Sprint(name))
		must.Eq(t, c.charged, charged, must.Sprint(name))
		must.Eq(t, c.returned, returned, must.Sprint(name))
		must.Eq(t, c.want == wqcall.Answered, s.sends.Load() > 0, must.Sprint(name))
	}
}
