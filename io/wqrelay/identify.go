package wqrelay

import (
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtenant"
)

// identify determines the client account of a call under a configuration and removes the
// key from the call. It returns false, and the reply, if the caller may not be served.
func identify(c *wqcall.Call, table *wqroute.Table, route *wqroute.Route) (wqcall.Reply, bool) {
	c.Priority = route.Priority
	if table.Tenants.Len() == 0 {
		return wqcall.Reply{}, true
	}
	t, digest, verdict := table.Tenants.Identify(c.Authorization)
	c.Identified, c.Authorization = true, nil
	switch verdict {
	case wqtenant.Known:
		c.Tenant, c.Key = t.Name, wqcall.KeyUse{Digest: digest, Version: table.Version}
		if t.HasPriority {
			c.Priority = t.Priority
		}
	case wqtenant.NoKey:
		if !route.AllowAnonymous {
			return unauthorized("the request has no key"), false
		}
	case wqtenant.Malformed:
		return unauthorized("the field Authorization is not one bearer key"), false
	default:
		return unauthorized("the key is unknown"), false
	}
	return wqcall.Reply{}, true
}

func unauthorized(reason string) wqcall.Reply {
	return wqcall.Reply{Status: wqcall.Unauthorized, Reason: reason}
}

// Permits reports whether the caller of a call may still be served: the configuration in
// force has not withdrawn its key, and has not introduced client accounts since the call
// was accepted without one. It does not block.
func Permits(c *wqcall.Call, plan *wqplan.Plan) bool {
	if plan.Table == nil {
		return true
	}
	if !c.Identified {
		return plan.Table.Tenants.Len() == 0
	}
	return !c.Key.Withdrawn(plan.Table.Version, plan.Table.Tenants)
}

// endIfNotPermitted ends all further sends of a request whose caller may no longer be
// served.
func (d *driver[S, P]) endIfNotPermitted() {
	if d.gather.LastSendAt.IsZero() && !Permits(d.call, d.relay.Plan()) {
		d.gather.LastSendAt = time.Now()
	}
}

// replyToWithdrawn returns the reply to a request that did not run because its key was
// withdrawn while it waited, and any other reply unchanged.
func (d *driver[S, P]) replyToWithdrawn(reply wqcall.Reply) wqcall.Reply {
	switch {
	case reply.Status != wqcall.NotRun || Permits(d.call, d.relay.Plan()):
		return reply
	case d.call.Identified:
		return unauthorized("the key was withdrawn while the request waited")
	}
	reply.Reason = "client accounts were introduced while the request waited"
	return reply
}
