package wqrelay

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqretryafter"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqsend"
)

// ErrHubRefused is the error of a hub that did not start a request.
var ErrHubRefused = errors.New("the hub did not accept the request; try another hub")

const (
	maxHubAttempts    = 2                      // hubs tried for one request
	assumedHubLatency = 100 * time.Millisecond // mean latency of a fan-out, assumed when hubs are compared by latency, and before there are observations
)

// HubClient sends requests to hubs, the VMs that run fan-outs for other VMs.
type HubClient interface {
	// FanOut returns a hub's reply. With ErrHubRefused, nothing was sent to any
	// searcher. With any other error, the hub may have sent the request.
	FanOut(ctx context.Context, hub *wqdirectory.Target, c *wqcall.Call, route *wqroute.Route) (wqcall.Reply, error)
}

// Placement chooses the hubs that may run a fan-out.
type Placement interface {
	// Candidates returns the hubs that may run a fan-out to shards, in any order.
	Candidates(shards []string, pools wqdirectory.Pools, hubs []*wqdirectory.Target) []*wqdirectory.Target
}

// runFanOut runs a fan-out: on this VM if it is one of the hubs in the zone that
// Placement prefers, or if no hub accepts it, else on a hub. A request that a hub may
// have started is not started again, because the number of attempts that the hub has
// used is unknown. The caller may retry it at once.
func (r *Relay[S, P]) runFanOut(ctx context.Context, c *wqcall.Call, plan *wqplan.Plan, route *wqroute.Route) wqcall.Reply {
	candidates := r.Placement.Candidates(route.Shards, plan.Pools, plan.Hubs)
	if len(plan.Hubs) == 0 || plan.IsHub && slices.ContainsFunc(candidates, r.isInOwnZone) {
		return r.runHere(ctx, c, plan, route)
	}
	hubCtx, cancel := context.WithDeadline(ctx, c.Arrived.Add(maxDuration(c, route)))
	defer cancel()
	hubCtx, release := r.stopping.withEnd(hubCtx)
	defer release()
	picker := r.newHubPicker(c, route)
	var tried []string
	for range maxHubAttempts {
		hub := picker.pick(candidates, tried)
		if hub == nil {
			hub = picker.pick(r.preferOwnZone(plan.Hubs, tried), tried)
		}
		if hub == nil {
			break
		}
		tried = append(tried, hub.Searcher.ID)
		if reply, ended := r.runOnHub(hubCtx, picker, hub, c, route); ended {
			reply.Hub, reply.HubZone = hub.Searcher.ID, hub.Searcher.Zone
			r.countFanOut(hub.Searcher.Zone)
			return reply
		}
		if plan.IsHub {
			break
		}
		candidates = r.preferOwnZone(plan.Hubs, tried) // The preferred zone may be cut off.
	}
	return r.runHere(ctx, c, plan, route)
}

// runHere runs a fan-out on this VM.
func (r *Relay[S, P]) runHere(ctx context.Context, c *wqcall.Call, plan *wqplan.Plan, route *wqroute.Route) wqcall.Reply {
	r.countFanOut(r.Zone)
	return r.run(ctx, c, plan, route, route.Shards)
}

func (r *Relay[S, P]) countFanOut(hubZone string) {
	if r.Metrics != nil {
		r.Metrics.CountFanOut(r.Zone, hubZone)
	}
}

func (r *Relay[S, P]) isInOwnZone(hub *wqdirectory.Target) bool { return hub.Searcher.Zone == r.Zone }

// runOnHub has a hub run a fan-out. It returns false if the hub has not started it,
// and another VM may run it.
func (r *Relay[S, P]) runOnHub(ctx context.Context, picker hubPicker, hub *wqdirectory.Target, c *wqcall.Call, route *wqroute.Route) (wqcall.Reply, bool) {
	done := picker.start(r.Tracker, hub)
	reply, err := r.HubClient.FanOut(ctx, hub, c, route)
	if err == nil {
		done(wqsend.Answered)
		return reply, true
	}
	refused := errors.Is(err, ErrHubRefused)
	if ctx.Err() != nil {
		done(wqsend.Cancelled)
		return endedReply(ctx, !refused), true
	}
	done(wqsend.Broken)
	r.Log.Info("hub failed", slog.String("request_id", c.ID), slog.String("hub", hub.Searcher.ID), slog.Bool("not_run", refused), slog.String("error", err.Error()))
	if !refused {
		return wqcall.Reply{Status: wqcall.Unavailable, Reason: "the hub " + hub.Searcher.ID + " failed"}, true
	}
	return wqcall.Reply{}, false
}

// preferOwnZone returns the untried hubs of this VM's zone, or all hubs if none is
// left there.
func (r *Relay[S, P]) preferOwnZone(hubs []*wqdirectory.Target, tried []string) []*wqdirectory.Target {
	var sameZone []*wqdirectory.Target
	for _, h := range hubs {
		if r.isInOwnZone(h) && !slices.Contains(tried, h.Searcher.ID) {
			sameZone = append(sameZone, h)
		}
	}
	if len(sameZone) == 0 {
		return hubs
	}
	return sameZone
}

// endedReply returns the reply for a request whose ctx ended: the caller disconnected
// or the deadline passed. MayHaveRun is false if no hub started the request.
func endedReply(ctx context.Context, mayHaveRun bool) wqcall.Reply {
	stopped := errors.Is(context.Cause(ctx), errStopping)
	switch {
	case stopped && mayHaveRun:
		return wqcall.Reply{Status: wqcall.Unavailable, Reason: "this VM stops before the hub answered"}
	case stopped:
		return wqcall.Reply{Status: wqcall.NotRun, Reason: errStopping.Error(), RetryAfter: wqretryafter.Stopping}
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return wqcall.Reply{Status: wqcall.CallerGone, Reason: "the caller disconnected"}
	case mayHaveRun:
		return wqcall.Reply{Status: wqcall.TimedOut, Reason: "no hub answered before the deadline"}
	}
	return wqcall.Reply{Status: wqcall.NotRun, Reason: "no hub accepted the request before the deadline", RetryAfter: wqretryafter.NoCapacity}
}
