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

// answerer answers queries by one choice of policies.
type answerer interface {
	Query(ctx context.Context, r *wqentry.Request) (wqanswer.Answer, error)
}

// newEntry returns this VM's answerer under the policies of its settings.
func (n *Node) newEntry() answerer {
	if n.Settings.Limits.ReplicaPolicy == wqsetting.PlainReplicaPolicy {
		return entryOf(n, wqreplica.Random{}, wqentry.NoHedging)
	}
	return entryOf(n, wqreplica.TwoChoices{Stats: wqreplica.NewStats()}, wqentry.QuantileHedging)
}

func entryOf[R wqfanout.ReplicaPolicy, H wqfanout.HedgePolicy](n *Node, replica R, hedge func(*wqtopology.Rule) H) *wqentry.Coordinator[R, H] {
	return &wqentry.Coordinator[R, H]{
		View:           n.view.Load,
		LocalHolder:    localFanner{n.holder},
		RemoteHolder:   n.remote,
		ReplicaPolicy:  replica,
		NewHedgePolicy: hedge,
	}
}

// queries answers queries and tells the control loop of newer snapshots.
type queries struct {
	node *Node
}

// Query answers one request; see wqentry.Coordinator.
func (q queries) Query(ctx context.Context, r *wqentry.Request) (wqanswer.Answer, error) {
	a, err := q.node.entry.Query(ctx, r)
	whole := err == nil && a.ShardsTotal > 0 && a.ShardsAnswered == a.ShardsTotal
	if whole && a.Snapshot > q.node.view.Load().Snapshots[r.Service] {
		q.node.loop.TryPost(message{event: wqcontrol.SnapshotObserved{Service: r.Service, Snapshot: a.Snapshot}})
	}
	return a, err
}
