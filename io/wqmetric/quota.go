package wqmetric

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	maxTenantLabels = 200     // maxTenantLabels bounds the series of refusals by client account.
	otherTenants    = "other" // otherTenants is the label of the accounts beyond it.
)

// AddQuotaRefusals registers the counter of requests that a quota refused, and returns the
// function that counts one.
func (m *Metrics) AddQuotaRefusals() func(tenant, mode string) {
	refusals := counter("quota_refusals_total", "Requests refused with 429, by client account and by what decided.", []string{"tenant", "mode"})
	m.registry.MustRegister(refusals)
	labels := tenantLabels{known: make(map[string]bool)}
	return func(tenant, mode string) {
		refusals.With(prometheus.Labels{"tenant": labels.of(tenant), "mode": mode}).Inc()
	}
}

// tenantLabels gives the first maxTenantLabels accounts a label of their own.
type tenantLabels struct {
	mutex sync.Mutex
	known map[string]bool
}

func (l *tenantLabels) of(tenant string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.known[tenant] && len(l.known) >= maxTenantLabels {
		return otherTenants
	}
	l.known[tenant] = true
	return tenant
}
