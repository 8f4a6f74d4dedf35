package wqhost

import (
	"math/rand/v2"
	"net/http"

	"wisteriaquay/core/wqcanary"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/io/wqcontroller"
	"wisteriaquay/io/wqpeer"
	"wisteriaquay/io/wqstore"
	"wisteriaquay/platform/wqkv"
)

// connectRollouts connects the controller with what it needs for rollouts. The writer has
// connections of its own, as the watcher's calls stay open.
func (h *Host) connectRollouts(peers *wqpeer.Client) {
	writer := &wqkv.Store{Client: &wqstore.Client{
		URL: h.Settings.StoreURL, Timeout: storeTimeout, HTTP: &http.Client{Transport: newFastFailTransport()},
	}, Log: h.Log}
	meter := &wqcanary.Meter{Random: rand.Float64}
	h.controller.Rollouts = wqcontroller.Rollouts{Limits: h.Settings.Rollout, Meter: meter, Transport: peers, Status: writer}
	h.metrics.AddGauge("host_rollouts", "Services with a rollout, or with a version that waits for an order.", func() float64 { return float64(len(h.controller.Plan().Rollouts)) })
	h.metrics.AddGauge("host_rollouts_rolled_back", "Services whose ordered version was rolled back.", func() float64 {
		n := 0
		for _, d := range h.controller.Plan().Rollouts {
			if d.Phase == wqrollout.RolledBack {
				n++
			}
		}
		return float64(n)
	})
}
