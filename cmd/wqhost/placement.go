package wqhost

import "wisteriaquay/io/wqrelay"

// setPlacement makes the relay place requests by cost if the settings ask for it.
func (h *Host) setPlacement() {
	if !h.PlaceByCost {
		return
	}
	h.relay.CostPlacement = wqrelay.NewCostPlacement()
	h.Log.Info("placing requests by cost")
}
