package wqrelay

import (
	"context"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtenant"
)

// Quota decides on the requests of client accounts. With the zero value, none is counted.
type Quota struct {
	// Charge counts a call against the quota of its account. It returns false, and the
	// reply, if the quota refuses the call.
	Charge func(ctx context.Context, c *wqcall.Call, t *wqtenant.Tenant) (wqcall.Reply, bool)
	// Return takes back a call that has not run, if it was charged.
	Return func(c *wqcall.Call)
}

// admit identifies the caller of a call and charges the call. It returns false, and the
// reply, if the call may not be served.
func (r *Relay[S, P]) admit(ctx context.Context, c *wqcall.Call, table *wqroute.Table, route *wqroute.Route) (wqcall.Reply, bool) {
	reply, ok := identify(c, table, route)
	if !ok || c.Tenant == "" || r.Quota.Charge == nil {
		return reply, ok
	}
	c.Late = isLate(c, route)
	return r.Quota.Charge(ctx, c, table.Tenants.Tenant(c.Tenant))
}

// isLate reports whether a call has used up half of its route's objective before it
// arrived. Callers wait as long as the route allows, so less is left to one that comes
// back after a refusal.
func isLate(c *wqcall.Call, route *wqroute.Route) bool {
	return c.Timeout > 0 && route.Objective > 0 && route.Timeout-c.Timeout > route.Objective/2
}

// returnCredit takes back the charge of a call whose reply proves that it has not run.
func (r *Relay[S, P]) returnCredit(c *wqcall.Call, reply *wqcall.Reply) {
	notRun := reply.Status == wqcall.NotRun || reply.Status == wqcall.Unauthorized
	if notRun && c.Tenant != "" && r.Quota.Return != nil {
		r.Quota.Return(c)
	}
}
