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

// record writes the line of one request and counts it.
func (r *Relay[S]) record(c *wqcall.Call, plan *wqplan.Plan, route *wqroute.Route, reply *wqcall.Reply) {
	took := time.Since(c.Arrived)
	attributes := []any{
		slog.String("request_id", c.ID), slog.String("status", reply.Status.String()),
		slog.Float64("took_ms", float64(took.Microseconds())/1000),
	}
	name := wqmetric.UnknownLabel
	coverage := 1.0
	if route != nil {
		name = route.Name
		attributes = append(attributes, slog.String("route", route.Name), slog.Uint64("version", plan.Table.Version), slog.Uint64("as_of", plan.StoreRevision))
		coverage -= float64(reply.Missing) / float64(max(len(route.Shards), 1))
	}
	if reply.Sends.All > 0 {
		attributes = append(attributes, slog.Int("sends", reply.Sends.All), slog.Int("extra", reply.Sends.Extra), slog.Int("other_zone", reply.Sends.Far))
	}
	if reply.Missing > 0 {
		attributes = append(attributes, slog.Int("missing", reply.Missing))
	}
	if reply.Reason != "" {
		attributes = append(attributes, slog.String("reason", reply.Reason))
	}
	r.Log.Info("request", attributes...)
	if r.Metrics != nil {
		r.Metrics.RecordCall(wqmetric.CallRecord{Route: name, Status: reply.Status.String(), Latency: took, Coverage: coverage})
	}
}

// recordFailure writes the line of one send that brought no answer.
func (r *Relay[S]) recordFailure(c *wqcall.Call, s wqgather.Send, result *wqsend.Result) {
	r.Log.Info("send failed",
		slog.String("request_id", c.ID), slog.String("searcher", s.Target.Searcher.ID), slog.String("service", s.Target.Searcher.Service),
		slog.Bool("extra", s.Extra), slog.String("outcome", result.Outcome.String()), slog.Int("code", result.Code),
		slog.Float64("took_ms", float64(result.Elapsed.Microseconds())/1000), slog.String("reason", result.Reason))
	if r.Metrics != nil {
		r.Metrics.CountFailedSend(s.Target.Searcher.Service, result.Outcome.String())
	}
}
