package wqnode

import (
	"context"
	"time"

	"wisteriaquay/core/wqcontrol"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/io/wqdocument"
)

// headKey holds the configuration in the store.
const headKey = "wisteriaquay/head"

const storePeriod = time.Second // storePeriod is the time between two reads of the store.

// readList reads the VM list at its period.
func (n *Node) readList(ctx context.Context) {
	every(ctx, n.Settings.Platform.VMListPeriod, func() {
		vms, err := n.list.List(ctx)
		if err != nil {
			n.Log.Warn("the VM list can't be read", "error", err)
			return
		}
		list := make([]wqmember.Listed, 0, len(vms))
		for _, m := range vms {
			list = append(list, wqmember.Listed(m))
		}
		n.loop.Post(ctx, message{event: wqcontrol.ListSeen{List: list}})
	})
}

// readStore reads the configuration at its period.
func (n *Node) readStore(ctx context.Context) {
	every(ctx, storePeriod, func() {
		v, err := n.store.Get(ctx, headKey)
		if err != nil {
			n.Log.Warn("the store can't be read", "error", err)
			return
		}
		if v.Revision == 0 {
			return
		}
		t, err := wqdocument.DecodeTopology(v.Data)
		if err != nil {
			n.Log.Error("the configuration in the store can't be read", "error", err)
			return
		}
		n.loop.Post(ctx, message{event: wqcontrol.TopologySeen{Topology: t}})
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
