// Package wqqueryservice is the connect front end for callers. It converts protobuf
// messages to the plain structs of the entry VM and back, and records metrics.
//
// # Usage
//
//	h := &wqqueryservice.Handler{Queries: coordinator, Writes: writer, Metrics: metrics}
//	path, handler := wqpbconnect.NewQueryServiceHandler(h)
package wqqueryservice

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqentry"
	"wisteriaquay/io/wqmetric"
	"wisteriaquay/io/wqpb"
)

// queryCoordinator answers queries, as wqentry.Coordinator does.
type queryCoordinator interface {
	Query(ctx context.Context, r *wqentry.Request) (wqanswer.Answer, error)
}

// writer runs write-like requests at most once, as wqwrite.Writer does.
type writer interface {
	Ticket(ctx context.Context, r *wqpb.TicketRequest) (*wqpb.TicketResponse, error)
	Write(ctx context.Context, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error)
	Outcome(ctx context.Context, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error)
}

// Handler implements wqpbconnect.QueryServiceHandler. Set the fields before use.
type Handler struct {
	Queries queryCoordinator
	Writes  writer
	Metrics *wqmetric.Metrics
}

// Query answers one query. Its error is a connect error with a wqpb.Refusal detail.
func (h *Handler) Query(ctx context.Context, r *connect.Request[wqpb.QueryRequest]) (*connect.Response[wqpb.QueryResponse], error) {
	start := time.Now()
	answer, err := h.Queries.Query(ctx, decodeRequest(r.Msg))
	h.record(r.Msg, &answer, err, time.Since(start))
	if err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	return connect.NewResponse(encodeAnswer(&answer)), nil
}

func decodeRequest(m *wqpb.QueryRequest) *wqentry.Request {
	return &wqentry.Request{
		RequestID:   m.GetRequestId(),
		Tenant:      m.GetTenant(),
		Class:       m.GetClass(),
		Service:     m.GetService(),
		Body:        m.GetBody(),
		Timeout:     time.Duration(m.GetTimeoutMillis()) * time.Millisecond,
		MinCoverage: m.GetLeastCoverage(),
		MaxRows:     int(m.GetLimit()),
	}
}

func encodeAnswer(a *wqanswer.Answer) *wqpb.QueryResponse {
	m := &wqpb.QueryResponse{
		RequestId:      a.RequestID,
		Snapshot:       a.Snapshot,
		ShardsTotal:    uint32(a.ShardsTotal),
		ShardsAnswered: uint32(a.ShardsAnswered),
		SubQueriesSent: uint32(a.SubQueriesSent),
		HedgesSent:     uint32(a.HedgesSent),
		Revision:       a.Revision,
	}
	for _, s := range a.Missing {
		m.Missing = append(m.Missing, &wqpb.MissingShard{Shard: s.Shard, Reason: string(s.Reason)})
	}
	for _, r := range a.Rows {
		m.Rows = append(m.Rows, &wqpb.Row{Shard: r.Shard, Key: r.Key, Score: r.Score, Body: r.Body})
	}
	for _, c := range a.MatchCounts {
		m.Counts = append(m.Counts, &wqpb.ShardCount{Shard: c.Shard, Matched: c.MatchedRows})
	}
	return m
}

// record adds a query to the metrics under its tenant and class. If the query was
// refused before its rule was found, both labels are "unknown", so that callers
// can't increase the number of series.
func (h *Handler) record(m *wqpb.QueryRequest, a *wqanswer.Answer, err error, took time.Duration) {
	q := wqmetric.QueryRecord{
		Tenant:           m.GetTenant(),
		Class:            m.GetClass(),
		Latency:          took,
		Coverage:         a.Coverage(),
		SubQueriesNeeded: a.ShardsTotal,
		SubQueriesSent:   a.SubQueriesSent,
		HedgesSent:       a.HedgesSent,
	}
	if err != nil {
		q.FaultKind = string(wqfault.KindOf(err))
	}
	switch wqfault.Kind(q.FaultKind) {
	case wqfault.UnknownName, wqfault.BadInput, wqfault.NotReady, wqfault.Leaving:
		q.Tenant, q.Class = wqmetric.UnknownLabel, wqmetric.UnknownLabel
	}
	h.Metrics.RecordQuery(q)
}

// Ticket mints the ticket for one write-like request.
func (h *Handler) Ticket(ctx context.Context, r *connect.Request[wqpb.TicketRequest]) (*connect.Response[wqpb.TicketResponse], error) {
	m, err := h.Writes.Ticket(ctx, r.Msg)
	if err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	return connect.NewResponse(m), nil
}

// Write runs a write-like request at most once.
func (h *Handler) Write(ctx context.Context, r *connect.Request[wqpb.WriteRequest]) (*connect.Response[wqpb.WriteResponse], error) {
	m, err := h.Writes.Write(ctx, r.Msg)
	if err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	h.Metrics.RecordWrite(r.Msg.GetTenant(), r.Msg.GetClass(), m.GetOutcome().String())
	return connect.NewResponse(m), nil
}

// Outcome returns the outcome of a write-like request.
func (h *Handler) Outcome(ctx context.Context, r *connect.Request[wqpb.OutcomeRequest]) (*connect.Response[wqpb.WriteResponse], error) {
	m, err := h.Writes.Outcome(ctx, r.Msg)
	if err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	return connect.NewResponse(m), nil
}
