package wqhost

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqplacer"
	"wisteriaquay/io/wqrelay"
)

// setPlacement makes the relay place requests by cost if the settings ask for it.
func (h *Host) setPlacement(client wqrelay.PlacementClient) {
	if !h.PlaceByCost {
		return
	}
	p := wqrelay.NewCostPlacement()
	p.VM, p.Process = h.Settings.VMName, fmt.Sprintf("%s/%d", h.Settings.VMName, time.Now().UnixMilli())
	p.Client, p.Plan, p.Log = client, h.controller.Plan, h.Log
	h.relay.CostPlacement = p
	h.metrics.AddGauge("host_placement_advised", "Requests for which the VM that places them chose the searcher, since the start.", func() float64 { return float64(p.Advised.Load()) })
	h.metrics.AddGauge("host_placement_refused", "Requests refused because they would have waited beyond their objective, since the start.", func() float64 { return float64(p.Refused.Load()) })
	h.metrics.AddGauge("host_placement_unasked", "Requests placed by this VM alone, because the VM that places them had not answered shortly before, since the start.", func() float64 { return float64(p.Unasked.Load()) })
	h.metrics.AddGauge("host_placement_failures", "Calls to the VM that places requests without an answer in time, since the start.", func() float64 { return float64(p.Failures.Load()) })
	h.metrics.AddGauge("host_placement_in_flight", "Sends in flight that this VM knows of as the one that places the requests of all.", func() float64 { return float64(p.Placer.InFlight()) })
	h.Log.Info("placing requests by cost")
}

// placementHandler returns the handler of other VMs' messages about placement, nil if
// this VM places by latency.
func (h *Host) placementHandler() func(wqplacer.Message) wqplacer.Advice {
	if h.relay.CostPlacement == nil {
		return nil
	}
	return h.relay.CostPlacement.Handle
}
