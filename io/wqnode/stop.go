package wqnode

import (
	"context"
	"errors"
	"time"

	"wisteriaquay/core/wqcontrol"
)

// stop ends the VM gracefully: unready first, then the balancer's lag, then the
// requests in progress.
func (n *Node) stop(ctx context.Context, listeners []*listener) error {
	n.Log.Info("stopping")
	ctx, cancel := context.WithTimeout(ctx, n.Settings.Limits.StopLimit)
	defer cancel()
	n.loop.Post(ctx, message{event: wqcontrol.StopAsked{}})
	wait(ctx, n.Settings.Limits.BalancerLag)
	var failed error
	for _, l := range listeners {
		failed = errors.Join(failed, l.stop(ctx))
	}
	n.Log.Info("stopped")
	return failed
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
