package wqnode

import (
	"context"
	"time"

	"wisteriaquay/core/wqcontrol"
	"wisteriaquay/core/wqmember"
)

// readList reads the VM list at its period.
func (n *Node) readList(ctx context.Context) {
	every(ctx, n.Settings.Platform.VMListPeriod, func() {
		vms, err := n.list.List(ctx)
		if err != nil {
			n.Log.Warn("the VM list can't be read", "error", err)
			return
		}
		list := make([]wqmember.ListedVM, 0, len(vms))
		for _, m := range vms {
			list = append(list, wqmember.ListedVM(m))
		}
		n.loop.Post(ctx, message{event: wqcontrol.VMListReceived{VMs: list}})
	})
}

// every calls f at once and then at each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
