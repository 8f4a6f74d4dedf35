// Package wqentry answers callers' queries at the VM that they reached: it
// drives one wqfanout.Query for each and carries its sub-queries to the VMs
// that hold the searchers.
//
// # Usage
//
// The policies are type parameters; set the exported fields and call Query:
//
//	stats := wqreplica.NewStats()
//	e := &wqentry.Coordinator[wqreplica.TwoChoices, *wqhedge.Quantile]{
//		View: node.View, Local: holder, Remote: peers.Fanner,
//		Replica: wqreplica.TwoChoices{Stats: stats}, Hedge: wqentry.QuantileHedging,
//	}
//	answer, err := e.Query(ctx, &wqentry.Request{RequestID: "q-17", ...})
//
// The goroutine that calls Query owns the query's state; each call to a holder
// runs in its own goroutine and hands what arrives over a channel.
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

// HolderClient sends the sub-queries of one request to searchers and hands over their
// results as they arrive. It returns nil after the last one. A fault whose kind
// says "not run" means that no searcher was sent anything.
type HolderClient interface {
	FanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error
}

// Coordinator answers queries. Set the exported fields before the first Query; it is
// then safe for use by many goroutines.
type Coordinator[R wqfanout.ReplicaPolicy, H wqfanout.HedgePolicy] struct {
	View           func() *wqview.View
	LocalHolder    HolderClient                       // LocalHolder is this VM's own holder.
	RemoteHolder   func(memberID string) HolderClient // RemoteHolder returns the holder of another VM, nil when it is not known.
	ReplicaPolicy  R
	NewHedgePolicy func(r *wqtopology.Rule) H // NewHedgePolicy returns the policy that the queries of a rule share.

	classes classes[H]
	doors   doors
}

// QuantileHedging returns the hedge policy that a rule asks for.
func QuantileHedging(r *wqtopology.Rule) *wqhedge.Quantile {
	budget := &wqbudget.Budget{Ratio: r.HedgeShare, Burst: hedgeBurst, OverloadPause: hedgePause}
	return wqhedge.NewQuantile(r.HedgeQuantile, budget)
}

// NoHedging returns a hedge policy that sends none.
func NoHedging(*wqtopology.Rule) wqhedge.Never { return wqhedge.Never{} }

// Query answers one request. The error is a wqfault.Fault; with an Incomplete
// one the answer's labels are still set.
func (e *Coordinator[R, H]) Query(ctx context.Context, r *Request) (wqanswer.Answer, error) {
	if err := r.check(); err != nil {
		return wqanswer.Answer{}, err
	}
	rule, err := rule(e.View(), r)
	if err != nil {
		return wqanswer.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout(r, rule))
	defer cancel()
	deadline, _ := ctx.Deadline()
	door := e.doors.door(r.Service)
	if err := door.enter(ctx, rule, deadline); err != nil {
		return wqanswer.Answer{}, err
	}
	began := time.Now()
	query := e.query(r, rule, deadline)
	var answer wqanswer.Answer
	defer func() { door.leave(outcome(time.Since(began), query.TimeToHalf(), &answer)) }()
	answer, err = e.fan(ctx, r, query)
	return answer, err
}

// query returns the state machine of one query.
func (e *Coordinator[R, H]) query(r *Request, rule *wqtopology.Rule, deadline time.Time) *wqfanout.Query[R, H] {
	rules := len(e.View().Index.Topology.Rules)
	class := e.classes.class(rule, rules, e.NewHedgePolicy)
	return &wqfanout.Query[R, H]{
		RequestID:     r.RequestID,
		Service:       r.Service,
		Deadline:      deadline,
		MinCoverage:   max(r.MinCoverage, rule.LeastCoverage),
		MaxRows:       limit(r),
		SnapshotHint:  e.classes.snapshot(r.Service),
		ReplicaPolicy: e.ReplicaPolicy,
		HedgePolicy:   class.hedge,
		RetryBudget:   class.retry,
		Random:        rand.Uint64,
	}
}

// fan runs the state machine to its end and seals the answer.
func (e *Coordinator[R, H]) fan(ctx context.Context, r *Request, q *wqfanout.Query[R, H]) (wqanswer.Answer, error) {
	d := newDriver(r, q.Deadline, e.fanner, e.View)
	d.run(ctx, q)
	v := e.View()
	e.classes.settled(r.Service, q.CompleteSnapshot(v))
	return q.Answer(v)
}

func limit(r *Request) int {
	if r.MaxRows == 0 {
		return defaultLimit
	}
	return r.MaxRows
}

// fanner returns the way to a holder, nil when there is none.
func (e *Coordinator[R, H]) fanner(memberID string) HolderClient {
	if memberID == e.View().Self.ID {
		return e.LocalHolder
	}
	return e.RemoteHolder(memberID)
}
