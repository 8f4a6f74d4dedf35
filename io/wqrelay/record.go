package wqrelay

import (
	"log/slog"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/io/wqmetric"
)

// recordRequest logs one request and adds it to the metrics.
func (r *Relay[S, P]) recordRequest(c *wqcall.Call, plan *wqplan.Plan, route *wqroute.Route, reply *wqcall.Reply) {
	elapsed := time.Since(c.Arrived)
	attributes := []any{
		slog.String("request_id", c.ID), slog.String("status", reply.Status.String()),
		slog.Float64("took_ms", float64(elapsed.Microseconds())/1000),
	}
	routeName := wqmetric.UnknownLabel
	coverage := 1.0
	if route != nil {
		routeName = route.Name
		attributes = append(attributes, slog.String("route", route.Name), slog.Uint64("version", plan.Table.Version), slog.Uint64("as_of", plan.StoreRevision))
		coverage -= float64(reply.Missing) / float64(max(len(route.Shards), 1))
	}
	if c.Tenant != "" {
		attributes = append(attributes, slog.String("tenant", c.Tenant))
	}
	if reply.Sends.All > 0 {
		attributes = append(attributes, slog.Int("sends", reply.Sends.All), slog.Int("extra", reply.Sends.Extra), slog.Int("other_zone", reply.Sends.Far))
	}
	if reply.Hub != "" {
		attributes = append(attributes, slog.String("hub", reply.Hub), slog.String("hub_zone", reply.HubZone))
	}
	attributes = append(attributes, placementAttributes(reply.Placement)...)
	if reply.Missing > 0 {
		attributes = append(attributes, slog.Int("missing", reply.Missing))
	}
	if reply.Reason != "" {
		attributes = append(attributes, slog.String("reason", reply.Reason))
	}
	r.Log.Info("request", attributes...)
	if r.Metrics != nil {
		r.Metrics.RecordCall(wqmetric.CallRecord{Route: routeName, Status: reply.Status.String(), Latency: elapsed, Coverage: coverage})
	}
}

// recordFailedSend logs a send without an answer and adds it to the metrics.
func (r *Relay[S, P]) recordFailedSend(c *wqcall.Call, s wqgather.Send, result *wqsend.Result) {
	r.Log.Info("send failed",
		slog.String("request_id", c.ID), slog.String("searcher", s.Target.Searcher.ID), slog.String("service", s.Target.Searcher.Service),
		slog.Bool("extra", s.Extra), slog.String("outcome", result.Outcome.String()), slog.Int("code", result.Code),
		slog.Float64("took_ms", float64(result.Elapsed.Microseconds())/1000), slog.String("reason", result.Reason))
	if r.Metrics != nil {
		r.Metrics.CountFailedSend(s.Target.Searcher.Service, result.Outcome.String())
	}
}
