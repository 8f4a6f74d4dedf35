package wqmetric

// CountStatement counts a change of the state that a searcher reports about itself.
func (m *Metrics) CountStatement(service, state string) {
	m.statements.WithLabelValues(service, state).Inc()
}
