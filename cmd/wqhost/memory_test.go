package wqhost

import (
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/io/wqhttp"
	"wisteriaquay/io/wqmetric"
	"wisteriaquay/platform/wqboot"
)

// Guards against limits whose sum is over the descriptors or the memory of a VM.
func TestLimitsOfAllListenersFitTheVM(t *testing.T) {
	for _, fleet := range []int{1, 7, 63, 300, 920} {
		for _, searchers := range []int{1, 29, 135, 405} {
			h := &Host{Settings: &wqboot.Settings{MemoryLimit: 136e6, MaxDescriptors: 4100}, metrics: wqmetric.New(), Log: slog.New(slog.DiscardHandler)}
			callers := h.newCallerServer()
			listeners := []*wqhttp.Server{callers, h.newPeerServer(nil), h.newCheckServer("readiness", nil), h.newCheckServer("metrics", nil)}
			bytes, descriptors := int64(0), ownDescriptors
			for i, s := range listeners {
				bytes += s.Budget.Limit
				if i != 1 {
					descriptors += s.Budget.MaxConnections
				}
			}
			must.Less(t, int64(0.4*136e6), bytes)
			perSearcher := h.maxConnectionsPerSearcher(&wqplan.Plan{FleetSize: fleet, Pools: wqdirectory.Pools{"s": make([]*wqdirectory.Target, searchers)}})
			descriptors += perSearcher*searchers + min(connectionsPerPeer*fleet, listeners[1].Budget.MaxConnections)
			t.Logf("%d VMs, %d searchers: %d connections to each, %d descriptors", fleet, searchers, perSearcher, descriptors)
			must.LessEq(t, 4100, descriptors)
		}
	}
}
