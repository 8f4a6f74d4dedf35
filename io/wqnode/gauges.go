package wqnode

// addGauges registers gauges that read the published view.
func (n *Node) addGauges() {
	n.metrics.AddGauge("revision", "Configuration in force.", func() float64 {
		return float64(n.view.Load().Index.Topology.Revision)
	})
	n.metrics.AddGauge("members", "VMs that may be sent work, this one included.", func() float64 {
		return float64(len(n.view.Load().Members))
	})
	n.metrics.AddGauge("ready", "1 while the readiness check passes, else 0.", func() float64 {
		if n.view.Load().NotReadyReason() == "" {
			return 1
		}
		return 0
	})
	n.metrics.AddGauge("store_reachable", "1 while the latest call to the store was answered, else 0.", func() float64 {
		if n.view.Load().StoreReachable {
			return 1
		}
		return 0
	})
	n.metrics.AddGauge("reports_dropped", "Reports dropped because the queue of the control loop was full.", func() float64 {
		return float64(n.loop.Dropped())
	})
}
