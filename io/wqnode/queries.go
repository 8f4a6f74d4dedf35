package wqnode

import (
	"context"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqcontrol"
	"wisteriaquay/core/wqfanout"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqentry"
	"wisteriaquay/io/wqsetting"
)

// coordinator is a wqentry.Coordinator of any policies.
type coordinator interface {
	Query(ctx context.Context, r *wqentry.Request) (wqanswer.Answer, error)
}

// newCoordinator returns a coordinator with the policies that the settings select.
func (n *Node) newCoordinator() coordinator {
	if n.Settings.Limits.ReplicaPolicy == wqsetting.PlainReplicaPolicy {
		return coordinatorWith(n, wqreplica.Random{}, wqentry.NoHedging)
	}
	return coordinatorWith(n, wqreplica.TwoChoices{Stats: wqreplica.NewStats()}, wqentry.QuantileHedging)
}

func coordinatorWith[R wqfanout.ReplicaPolicy, H wqfanout.HedgePolicy](n *Node, replica R, hedge func(*wqtopology.Rule) H) *wqentry.Coordinator[R, H] {
	return &wqentry.Coordinator[R, H]{
		View:           n.view.Load,
		LocalHolder:    localHolder{n.holder},
		RemoteHolder:   n.remoteHolder,
		ReplicaPolicy:  replica,
		NewHedgePolicy: hedge,
	}
}

// queryHandler answers queries and reports newer snapshots to the control loop.
type queryHandler struct {
	node *Node
}

// Query answers one request; see wqentry.Coordinator. A complete answer with a newer
// snapshot than the view's is posted to the control loop.
func (q queryHandler) Query(ctx context.Context, r *wqentry.Request) (wqanswer.Answer, error) {
	a, err := q.node.coordinator.Query(ctx, r)
	complete := err == nil && a.ShardsTotal > 0 && a.ShardsAnswered == a.ShardsTotal
	if complete && a.Snapshot > q.node.view.Load().Snapshots[r.Service] {
		q.node.loop.TryPost(message{event: wqcontrol.SnapshotObserved{Service: r.Service, Snapshot: a.Snapshot}})
	}
	return a, err
}
