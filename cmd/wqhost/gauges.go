package wqhost

import "time"

// serveGauges adds what this VM believes to its metrics.
func (h *Host) serveGauges() {
	plan := h.keeper.Plan
	h.metrics.AddGauge("host_ready", "1 while callers should be sent here.", func() float64 { return truth(plan().Ready()) })
	h.metrics.AddGauge("host_store_reachable", "1 while the store's latest answer came; 1 also on VMs that do not read it.", func() float64 { return truth(!h.storeAway.Load()) })
	h.metrics.AddGauge("host_store_revision", "The store's revision that is known.", func() float64 { return float64(plan().StoreRevision) })
	h.metrics.AddGauge("host_store_revision_age_seconds", "Time since the store or a peer last said which revision is the newest, in seconds; 0 until one did.", func() float64 {
		p := plan()
		if p.ConfirmedAt.IsZero() {
			return 0
		}
		return time.Since(p.ConfirmedAt).Seconds()
	})
	h.metrics.AddGauge("host_store_revision_from_store", "1 while the store itself said so last, 0 while a peer did.", func() float64 { return truth(plan().ConfirmedBy == storeName) })
	h.metrics.AddGauge("host_fleet", "VMs that share budgets and connections, this one included.", func() float64 { return float64(plan().FleetSize) })
	h.metrics.AddGauge("host_hub", "1 while this VM runs fan-outs for others.", func() float64 { return truth(plan().IsHub) })
	h.metrics.AddGauge("host_configuration_version", "The configuration in force; 0 is none.", func() float64 {
		if t := plan().Table; t != nil {
			return float64(t.Version)
		}
		return 0
	})
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
