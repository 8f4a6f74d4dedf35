package wqnode

import (
	"context"
	"time"

	"wisteriaquay/core/wqcontrol"
	"wisteriaquay/core/wqmember"
)

// pollVMList reads the platform's VM list periodically and posts it to the control
// loop. A failed read is logged; the next one follows after the usual period.
func (n *Node) pollVMList(ctx context.Context) {
	runEvery(ctx, n.Settings.Platform.VMListPeriod, func() {
		vms, err := n.vmList.List(ctx)
		if err != nil {
			n.Log.Warn("failed to read the VM list; check --vm-list", "error", err)
			return
		}
		list := make([]wqmember.ListedVM, 0, len(vms))
		for _, m := range vms {
			list = append(list, wqmember.ListedVM(m))
		}
		n.loop.Post(ctx, message{event: wqcontrol.VMListReceived{VMs: list}})
	})
}

// runEvery calls f immediately and then once per period until ctx ends.
func runEvery(ctx context.Context, period time.Duration, f func()) {
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
