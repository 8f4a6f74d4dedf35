package wqrelay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqretryafter"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
)

// ErrHubRefused says that a hub has not begun to work on a request.
var ErrHubRefused = errors.New("the hub did not take the request; ask another one")

const (
	mostHubs   = 2                      // mostHubs is how many hubs are tried for one request.
	hubTypical = 100 * time.Millisecond // hubTypical is the usual time of a fan-out; hubs are compared by it.
)

// HubClient carries requests to the VMs that run fan-outs for others.
type HubClient interface {
	// FanOut returns a hub's reply. ErrNotTaken proves that nothing was sent to any
	// searcher; after any other error something may have been.
	FanOut(ctx context.Context, hub *wqdirectory.Target, c *wqcall.Call, route *wqroute.Route) (wqcall.Reply, error)
}

// viaHub has a hub run the request, and runs it here when no hub takes it. A
// request that a hub may have begun is not begun again: nobody knows how many of
// its attempts are used up. Its caller may send it again at once.
func (r *Relay[S]) viaHub(ctx context.Context, c *wqcall.Call, plan *wqplan.Plan, route *wqroute.Route) wqcall.Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Arrived.Add(allowed(c, route)))
	defer cancel()
	picker := wqselector.LeastLatency{Tracker: r.Tracker, Zone: r.Zone}
	var tried []string
	for range mostHubs {
		now := time.Now()
		hub := picker.Pick(now, r.nearest(plan.Hubs, tried), tried, hubTypical, rand.Uint64())
		if hub == nil {
			break
		}
		tried = append(tried, hub.Searcher.ID)
		flight := r.Tracker.Start(now, hub.Searcher.ID)
		reply, err := r.HubClient.FanOut(ctx, hub, c, route)
		if err == nil {
			flight.Done(time.Now(), wqsend.Answered, hubTypical)
			return reply
		}
		notTaken := errors.Is(err, ErrHubRefused)
		if ctx.Err() != nil {
			flight.Done(time.Now(), wqsend.Cancelled, hubTypical)
			return ended(ctx, !notTaken)
		}
		flight.Done(time.Now(), wqsend.Broken, hubTypical)
		r.Log.Info("hub failed", slog.String("request_id", c.ID), slog.String("hub", hub.Searcher.ID), slog.Bool("not_run", notTaken), slog.String("error", err.Error()))
		if !notTaken {
			return wqcall.Reply{Status: wqcall.Unavailable, Reason: "the hub " + hub.Searcher.ID + " failed"}
		}
	}
	return r.run(ctx, c, plan, route, route.Shards)
}

// nearest returns the hubs of this VM's zone, or all once those were tried.
func (r *Relay[S]) nearest(hubs []*wqdirectory.Target, tried []string) []*wqdirectory.Target {
	var near []*wqdirectory.Target
	for _, h := range hubs {
		if h.Searcher.Zone == r.Zone && !slices.Contains(tried, h.Searcher.ID) {
			near = append(near, h)
		}
	}
	if len(near) == 0 {
		return hubs
	}
	return near
}

// ended returns the reply to a request whose time or whose caller has gone.
func ended(ctx context.Context, ran bool) wqcall.Reply {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return wqcall.Reply{Status: wqcall.CallerGone, Reason: "the caller left"}
	case ran:
		return wqcall.Reply{Status: wqcall.TimedOut, Reason: "no hub answered in time"}
	}
	return wqcall.Reply{Status: wqcall.NotRun, Reason: "no hub took the request in time", RetryAfter: wqretryafter.NoCapacity}
}
