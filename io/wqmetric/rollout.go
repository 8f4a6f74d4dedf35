package wqmetric

import "github.com/prometheus/client_golang/prometheus"

// newRolloutSends returns the counter of CountRolloutSend.
func newRolloutSends() *prometheus.CounterVec {
	return counter("rollout_sends_total", "Sends to services with a rollout, by side (new or old version) and outcome.", []string{"service", "side", "outcome"})
}

// CountRolloutSend counts the end of a send to a service with a rollout.
func (m *Metrics) CountRolloutSend(service, side, outcome string) {
	m.rolloutSends.WithLabelValues(service, side, outcome).Inc()
}
