// Package wqentry answers callers' queries at the entry VM, the VM that received
// them. It drives one wqfanout.Query state machine per query and sends its
// sub-queries to the VMs that hold the searchers.
//
// # Usage
//
// The replica and hedge policies are type parameters. Set the exported fields and
// call Query:
//
//	stats := wqreplica.NewStats()
//	e := &wqentry.Coordinator[wqreplica.TwoChoices, *wqhedge.Quantile]{
//		View: view, LocalHolder: local, RemoteHolder: remote,
//		ReplicaPolicy: wqreplica.TwoChoices{Stats: stats}, NewHedgePolicy: wqentry.QuantileHedging,
//	}
//	answer, err := e.Query(ctx, &wqentry.Request{RequestID: "q-17", ...})
//
// The goroutine that calls Query owns the query's state. Each call to a holder
// runs in its own goroutine and passes the messages it receives over a channel.
package wqentry

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqfanout"
	"wisteriaquay/core/wqhedge"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqpb"
)

// HolderClient sends the sub-queries of one request to a holder, which passes them
// to its searchers. FanOut calls send with each part of the results as it arrives
// and returns nil after the last part. If the kind of the returned fault is NotRun,
// no sub-query was sent to a searcher.
type HolderClient interface {
	FanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error
}

// Coordinator answers queries. Set the exported fields before the first Query.
// Query is safe for concurrent use.
type Coordinator[R wqfanout.ReplicaPolicy, H wqfanout.HedgePolicy] struct {
	View           func() *wqview.View
	LocalHolder    HolderClient                       // LocalHolder is the holder on this VM.
	RemoteHolder   func(memberID string) HolderClient // RemoteHolder returns the holder on another VM, or nil for an unknown VM.
	ReplicaPolicy  R
	NewHedgePolicy func(r *wqtopology.Rule) H // NewHedgePolicy returns the policy shared by all queries of a rule.

	shared sharedState[H]
	gates  serviceGates
}

// QuantileHedging returns a hedge policy with the quantile and the budget of a rule.
func QuantileHedging(r *wqtopology.Rule) *wqhedge.Quantile {
	budget := &wqbudget.Budget{Ratio: r.HedgeShare, Burst: hedgeBurst, OverloadPause: hedgeOverloadPause}
	return wqhedge.NewQuantile(r.HedgeQuantile, budget)
}

// NoHedging returns a hedge policy that never sends a hedge.
func NoHedging(*wqtopology.Rule) wqhedge.Never { return wqhedge.Never{} }

// Query answers one request. The error is a *wqfault.Fault. With a fault of kind
// Incomplete, the answer is set except for its rows.
func (e *Coordinator[R, H]) Query(ctx context.Context, r *Request) (wqanswer.Answer, error) {
	if err := r.validate(); err != nil {
		return wqanswer.Answer{}, err
	}
	rule, err := findRule(e.View(), r)
	if err != nil {
		return wqanswer.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout(r, rule))
	defer cancel()
	deadline, _ := ctx.Deadline()
	gate := e.gates.gate(r.Service)
	if err := gate.admit(ctx, rule, deadline); err != nil {
		return wqanswer.Answer{}, err
	}
	start := time.Now()
	query := e.newQuery(r, rule, deadline)
	var answer wqanswer.Answer
	defer func() { gate.finished(admissionOutcome(time.Since(start), query.TimeToHalf(), &answer)) }()
	answer, err = e.runQuery(ctx, r, query)
	return answer, err
}

// newQuery returns the state machine for one query.
func (e *Coordinator[R, H]) newQuery(r *Request, rule *wqtopology.Rule, deadline time.Time) *wqfanout.Query[R, H] {
	ruleCount := len(e.View().Index.Topology.Rules)
	state := e.shared.ruleState(rule, ruleCount, e.NewHedgePolicy)
	return &wqfanout.Query[R, H]{
		RequestID:     r.RequestID,
		Service:       r.Service,
		Deadline:      deadline,
		MinCoverage:   max(r.MinCoverage, rule.LeastCoverage),
		MaxRows:       rowLimit(r),
		SnapshotHint:  e.shared.completeSnapshot(r.Service),
		ReplicaPolicy: e.ReplicaPolicy,
		HedgePolicy:   state.hedgePolicy,
		RetryBudget:   state.retryBudget,
		Random:        rand.Uint64,
	}
}

// runQuery drives the state machine until the query ends and returns the answer.
func (e *Coordinator[R, H]) runQuery(ctx context.Context, r *Request, q *wqfanout.Query[R, H]) (wqanswer.Answer, error) {
	d := newDriver(r, q.Deadline, e.holder, e.View)
	d.run(ctx, q)
	v := e.View()
	e.shared.recordCompleteSnapshot(r.Service, q.CompleteSnapshot(v))
	return q.Answer(v)
}

func rowLimit(r *Request) int {
	if r.MaxRows == 0 {
		return defaultRowLimit
	}
	return r.MaxRows
}

// holder returns the client of a VM's holder, or nil for an unknown VM.
func (e *Coordinator[R, H]) holder(memberID string) HolderClient {
	if memberID == e.View().Self.ID {
		return e.LocalHolder
	}
	return e.RemoteHolder(memberID)
}
