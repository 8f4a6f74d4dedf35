package wqnode

// addGauges adds the figures of the control state to the metrics.
func (n *Node) addGauges() {
	n.metrics.AddGauge("revision", "Configuration in force.", func() float64 {
		return float64(n.view.Load().Index.Topology.Revision)
	})
	n.metrics.AddGauge("members", "VMs that are known to live, this one included.", func() float64 {
		return float64(len(n.view.Load().Members))
	})
	n.metrics.AddGauge("ready", "1 while the balancer may send callers here, else 0.", func() float64 {
		if n.view.Load().NotReadyReason() == "" {
			return 1
		}
		return 0
	})
	n.metrics.AddGauge("store_reachable", "1 while the store answers this VM, else 0.", func() float64 {
		if n.view.Load().StoreReachable {
			return 1
		}
		return 0
	})
	n.metrics.AddGauge("reports_dropped", "Reports that found no room in the control loop.", func() float64 {
		return float64(n.loop.Dropped())
	})
}
