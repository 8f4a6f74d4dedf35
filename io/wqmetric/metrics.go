// Package wqmetric collects the Prometheus metrics of a process: queries by tenant
// and class, callers' requests by route, and sends by service.
//
// # Usage
//
//	m := wqmetric.New()
//	m.RecordQuery(wqmetric.QueryRecord{Tenant: "bench", Class: "lookup", Latency: latency, Coverage: 1})
//	http.Handle("/metrics", m.Handler())
//
// Pass UnknownLabel for tenants and classes that no rule names, so that a caller
// can't increase the number of series.
package wqmetric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// UnknownLabel is the label value for a tenant, class or route that is not configured.
const UnknownLabel = "unknown"

// QueryRecord is one query, as recorded in the metrics.
type QueryRecord struct {
	Tenant           string
	Class            string
	Latency          time.Duration
	Coverage         float64 // Coverage is the share of shards answered, 0 to 1.
	SubQueriesNeeded int     // SubQueriesNeeded is the number of sub-queries needed for the answer.
	SubQueriesSent   int     // SubQueriesSent is the number of requests sent to targets.
	HedgesSent       int
	FaultKind        string // FaultKind is the kind of the fault, empty for an answer.
}

// CallRecord is one caller's request, as recorded in the metrics.
type CallRecord struct {
	Route    string
	Status   string
	Latency  time.Duration
	Coverage float64 // Coverage is the share of shards answered, 0 to 1.
}

// Metrics collects the metrics of one process and serves them. It is safe for
// concurrent use.
type Metrics struct {
	registry         *prometheus.Registry
	queryLatency     *prometheus.HistogramVec
	queryCoverage    *prometheus.HistogramVec
	queryExtraLoad   *prometheus.HistogramVec
	subQueriesNeeded *prometheus.CounterVec
	subQueriesSent   *prometheus.CounterVec
	hedgesSent       *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	writes           *prometheus.CounterVec
	callLatency      *prometheus.HistogramVec
	callCoverage     *prometheus.HistogramVec
	sends            *prometheus.CounterVec
	failedSends      *prometheus.CounterVec
	fanOuts          *prometheus.CounterVec
	peerBytes        *prometheus.CounterVec
	statements       *prometheus.CounterVec
	limitedSends     *prometheus.CounterVec
	rolloutSends     *prometheus.CounterVec
}

// New returns metrics with their own Prometheus registry.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	labels := []string{"tenant", "class"}
	m.queryLatency = histogram("query_seconds", "Time from a query's arrival to its answer, in seconds.", latencyBuckets(), labels)
	m.queryCoverage = histogram("query_coverage_ratio", "Share of the snapshot's shards that answered.", coverageBuckets(), labels)
	m.queryExtraLoad = histogram("query_extra_load_ratio", "Requests sent to targets beyond those needed, per needed request.", []float64{0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1}, labels)
	m.subQueriesNeeded = counter("sub_queries_needed_total", "Sub-queries needed for the answers.", labels)
	m.subQueriesSent = counter("sub_queries_sent_total", "Requests sent to targets.", labels)
	m.hedgesSent = counter("hedges_sent_total", "Hedges sent to targets.", labels)
	m.refusals = counter("refusals_total", "Requests refused, by kind of fault.", append(labels, "kind"))
	m.writes = counter("writes_total", "Write-like requests, by outcome.", append(labels, "outcome"))
	m.callLatency = histogram("request_seconds", "Time from a request's arrival to its reply, in seconds.", latencyBuckets(), []string{"route", "status"})
	m.callCoverage = histogram("request_coverage_ratio", "Share of the shards in an answer.", coverageBuckets(), []string{"route"})
	m.sends = counter("sends_total", "Sends to searchers.", []string{"service"})
	m.failedSends = counter("sends_failed_total", "Sends to searchers that got no answer.", []string{"service", "outcome"})
	m.fanOuts = counter("fan_outs_total", "Fan-outs, by the availability zone of the VM that got the request and of the VM that ran it.", []string{"entry_zone", "hub_zone"})
	m.peerBytes = counter("peer_bytes_total", "Bytes of messages that this VM began, to and from other VMs, by kind and by the availability zone of the other VM.", []string{"kind", "zone"})
	m.statements = counter("searcher_statements_total", "Changes of the state that searchers report about themselves, by service and new state.", []string{"service", "state"})
	m.limitedSends = counter("limited_sends_total", "Sends to searchers that limit their requests, by service, and by whether they were retries or hedges.", []string{"service", "extra"})
	m.registry.MustRegister(m.statements, m.limitedSends)
	m.rolloutSends = newRolloutSends()
	m.registry.MustRegister(m.rolloutSends)
	m.registry.MustRegister(m.callLatency, m.callCoverage, m.sends, m.failedSends, m.fanOuts, m.peerBytes)
	m.registry.MustRegister(m.queryLatency, m.queryCoverage, m.queryExtraLoad, m.subQueriesNeeded, m.subQueriesSent, m.hedgesSent, m.refusals, m.writes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func coverageBuckets() []float64 {
	return []float64{0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1}
}

func latencyBuckets() []float64 {
	return []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.07, 0.095, 0.15, 0.25, 0.5, 1, 2.5}
}

func histogram(name, help string, buckets []float64, labels []string) *prometheus.HistogramVec {
	o := prometheus.HistogramOpts{Namespace: "wisteriaquay", Name: name, Help: help, Buckets: buckets}
	return prometheus.NewHistogramVec(o, labels)
}

func counter(name, help string, labels []string) *prometheus.CounterVec {
	o := prometheus.CounterOpts{Namespace: "wisteriaquay", Name: name, Help: help}
	return prometheus.NewCounterVec(o, labels)
}

// RecordQuery records a query. For a refused query it only counts the refusal.
func (m *Metrics) RecordQuery(q QueryRecord) {
	if q.FaultKind != "" {
		m.refusals.WithLabelValues(q.Tenant, q.Class, q.FaultKind).Inc()
		return
	}
	m.queryLatency.WithLabelValues(q.Tenant, q.Class).Observe(q.Latency.Seconds())
	m.queryCoverage.WithLabelValues(q.Tenant, q.Class).Observe(q.Coverage)
	m.subQueriesNeeded.WithLabelValues(q.Tenant, q.Class).Add(float64(q.SubQueriesNeeded))
	m.subQueriesSent.WithLabelValues(q.Tenant, q.Class).Add(float64(q.SubQueriesSent))
	m.hedgesSent.WithLabelValues(q.Tenant, q.Class).Add(float64(q.HedgesSent))
	if q.SubQueriesNeeded > 0 {
		m.queryExtraLoad.WithLabelValues(q.Tenant, q.Class).Observe(max(0, float64(q.SubQueriesSent)/float64(q.SubQueriesNeeded)-1))
	}
}

// RecordWrite records the outcome of one write-like request.
func (m *Metrics) RecordWrite(tenant, class, outcome string) {
	m.writes.WithLabelValues(tenant, class, outcome).Inc()
}

// RecordCall records a caller's request.
func (m *Metrics) RecordCall(c CallRecord) {
	m.callLatency.WithLabelValues(c.Route, c.Status).Observe(c.Latency.Seconds())
	m.callCoverage.WithLabelValues(c.Route).Observe(c.Coverage)
}

// CountSend counts a send to a searcher.
func (m *Metrics) CountSend(service string) { m.sends.WithLabelValues(service).Inc() }

// CountFailedSend counts a send that got no answer, by its outcome.
func (m *Metrics) CountFailedSend(service, outcome string) {
	m.failedSends.WithLabelValues(service, outcome).Inc()
}

// CountFanOut counts a fan-out that a VM of entryZone got and one of hubZone ran.
func (m *Metrics) CountFanOut(entryZone, hubZone string) {
	m.fanOuts.WithLabelValues(entryZone, hubZone).Inc()
}

// CountPeerBytes counts the bytes of a message of a kind to, or from, a VM of a zone.
func (m *Metrics) CountPeerBytes(kind, zone string, n int) {
	m.peerBytes.WithLabelValues(kind, zone).Add(float64(n))
}

// AddGauge registers a gauge whose value is read at each scrape.
func (m *Metrics) AddGauge(name, help string, read func() float64) {
	o := prometheus.GaugeOpts{Namespace: "wisteriaquay", Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewGaugeFunc(o, read))
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
