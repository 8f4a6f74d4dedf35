package wqhost

import (
	"log/slog"
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqstatement"
)

// observeStatement records what a response reports about the searcher that sent it. If
// its state changes, requests that wait for a connection to it are placed again.
func (h *Host) observeStatement(t *wqdirectory.Target, s wqstatement.Statement) {
	now := time.Now()
	if change := h.statements.ObserveLimit(now, t, s.Limit); change != wqstatement.NoChange {
		h.recordStatement(t, change, slog.Float64("limit", s.Limit.Rate))
	}
	change := h.statements.Observe(now, t, s)
	if change == wqstatement.NoChange {
		return
	}
	h.recordStatement(t, change, slog.Int64("wait_ms", s.Wait.Milliseconds()))
	if change == wqstatement.BeganLeaving {
		time.AfterFunc(wqstatement.Grace, h.searcherClient.WithdrawWaiting)
	}
}

// recordStatement logs a change of a searcher's state, and has requests that wait for a
// connection to it placed again.
func (h *Host) recordStatement(t *wqdirectory.Target, change wqstatement.Change, attribute slog.Attr) {
	h.metrics.CountStatement(t.Searcher.Service, change.String())
	h.Log.Info("searcher reports its state", slog.String("searcher", t.Searcher.ID), slog.String("service", t.Searcher.Service), slog.Int64("start", t.Incarnation),
		slog.String("state", change.String()), attribute)
	h.searcherClient.WithdrawWaiting()
}

// addStatementGauges adds gauges of the searchers' reports to the metrics of this VM.
func (h *Host) addStatementGauges() {
	h.metrics.AddGauge("host_searchers_leaving", "Searchers that have reported to this VM that they are leaving, including those that have stopped since.", func() float64 {
		leaving, _ := h.statements.Counts(time.Now())
		return float64(leaving)
	})
	h.metrics.AddGauge("host_searchers_rejecting", "Searchers that want no requests from this VM at present.", func() float64 {
		_, rejecting := h.statements.Counts(time.Now())
		return float64(rejecting)
	})
	h.metrics.AddGauge("host_searchers_limited", "Searchers that limit the rate of their requests, including those that have stopped since.", func() float64 {
		return float64(h.statements.LimitedCount(time.Now()))
	})
}
