package wqmetric

import "strconv"

// CountStatement counts a change of the state that a searcher reports about itself.
func (m *Metrics) CountStatement(service, state string) {
	m.statements.WithLabelValues(service, state).Inc()
}

// CountLimitedSend counts a send to a searcher that limits its requests. Extra is true for
// retries and hedges.
func (m *Metrics) CountLimitedSend(service string, extra bool) {
	m.limitedSends.WithLabelValues(service, strconv.FormatBool(extra)).Inc()
}
