package wqnode

import (
	"context"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqcontrol"
	"wisteriaquay/io/wqentry"
)

// queries answers queries and tells the control loop of newer snapshots.
type queries struct {
	node *Node
}

// Query answers one request; see wqentry.Entry.
func (q queries) Query(ctx context.Context, r *wqentry.Request) (wqanswer.Answer, error) {
	a, err := q.node.entry.Query(ctx, r)
	whole := err == nil && a.ShardsTotal > 0 && a.ShardsAnswered == a.ShardsTotal
	if whole && a.Snapshot > q.node.view.Load().Snapshots[r.Service] {
		q.node.loop.Offer(message{event: wqcontrol.SnapshotSeen{Service: r.Service, Snapshot: a.Snapshot}})
	}
	return a, err
}
