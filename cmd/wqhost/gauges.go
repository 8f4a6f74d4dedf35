package wqhost

import (
	"time"

	"wisteriaquay/core/wqrevision"
)

// addGauges adds gauges of the published plan to the metrics of this VM.
func (h *Host) addGauges() {
	plan := h.controller.Plan
	h.metrics.AddGauge("host_ready", "1 while the balancer may send callers to this VM.", func() float64 { return boolGauge(plan().Ready()) })
	h.metrics.AddGauge("host_store_reachable", "1 while the store answered the latest call; 1 also on VMs that do not read it.", func() float64 { return boolGauge(!h.storeUnreachable.Load()) })
	h.metrics.AddGauge("host_store_revision", "The store's revision that this VM has read up to.", func() float64 { return float64(wqrevision.Of(plan().StoreRevision).Number) })
	h.metrics.AddGauge("host_store_era", "Era of the store to which that revision belongs: it rises when the store is restored from a copy; 0 for a store that names none.", func() float64 { return float64(wqrevision.Of(plan().StoreRevision).Era) })
	h.metrics.AddGauge("host_store_revision_age_seconds", "Time since the store or a peer last confirmed that this revision is the newest, in seconds; 0 before the first time.", func() float64 {
		p := plan()
		if p.ConfirmedAt.IsZero() {
			return 0
		}
		return time.Since(p.ConfirmedAt).Seconds()
	})
	h.metrics.AddGauge("host_store_revision_from_store", "1 when the store itself confirmed it last, 0 when a peer did.", func() float64 { return boolGauge(plan().ConfirmedBy == storeName) })
	h.metrics.AddGauge("host_fleet", "VMs that share retry quotas and connection limits, this one included.", func() float64 { return float64(plan().FleetSize) })
	h.metrics.AddGauge("host_hub", "1 while this VM runs fan-outs for other VMs.", func() float64 { return boolGauge(plan().IsHub) })
	h.addStatementGauges()
	h.metrics.AddGauge("host_configuration_version", "Version of the configuration in force; 0 for none.", func() float64 {
		if t := plan().Table; t != nil {
			return float64(t.Version)
		}
		return 0
	})
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
