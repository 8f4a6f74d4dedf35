// Package wqmetric holds what a VM measures of itself, for each tenant and
// class.
//
// # Usage
//
//	m := wqmetric.New()
//	m.Query(wqmetric.QueryRecord{Tenant: "bench", Class: "lookup", Took: took, Coverage: 1})
//	http.Handle("/metrics", m.Handler())
//
// Names of tenants and classes come from the rules, so that a caller can't grow
// the number of series: pass "unknown" for others.
package wqmetric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// UnknownLabel is the label of requests whose tenant and class no rule names.
const UnknownLabel = "unknown"

// QueryRecord is what one query adds to the metrics.
type QueryRecord struct {
	Tenant           string
	Class            string
	Latency          time.Duration
	Coverage         float64 // Coverage is the share of shards answered, 0 to 1.
	SubQueriesNeeded int     // SubQueriesNeeded is how many sub-queries the answer needed.
	SubQueriesSent   int     // SubQueriesSent is how many requests targets were sent for it.
	HedgesSent       int
	FaultKind        string // FaultKind is the kind of fault, empty for an answer.
}

// CallRecord is what one caller's request adds to the metrics.
type CallRecord struct {
	Route    string
	Status   string
	Latency  time.Duration
	Coverage float64 // Coverage is the share of shards answered, 0 to 1.
}

// Metrics collects and serves the figures of one process.
type Metrics struct {
	registry  *prometheus.Registry
	latency   *prometheus.HistogramVec
	coverage  *prometheus.HistogramVec
	extraLoad *prometheus.HistogramVec
	needed    *prometheus.CounterVec
	sent      *prometheus.CounterVec
	hedges    *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	writes    *prometheus.CounterVec
	calls     *prometheus.HistogramVec
	parts     *prometheus.HistogramVec
	sends     *prometheus.CounterVec
	failures  *prometheus.CounterVec
}

// New returns metrics with a registry of their own.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	labels := []string{"tenant", "class"}
	m.latency = histogram("query_seconds", "Time from arrival to the sealed answer, in seconds.", latencyBuckets(), labels)
	m.coverage = histogram("query_coverage_ratio", "Share of the snapshot's shards that answered.", coverageBuckets(), labels)
	m.extraLoad = histogram("query_extra_load_ratio", "Requests sent to targets beyond those needed, per one needed.", []float64{0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1}, labels)
	m.needed = counter("sub_queries_needed_total", "Sub-queries that answers needed.", labels)
	m.sent = counter("sub_queries_sent_total", "Requests that targets were sent.", labels)
	m.hedges = counter("hedges_sent_total", "Hedges that targets were sent.", labels)
	m.refusals = counter("refusals_total", "Requests refused, by kind of fault.", append(labels, "kind"))
	m.writes = counter("writes_total", "Write-like requests, by outcome.", append(labels, "outcome"))
	m.calls = histogram("request_seconds", "Time from a request's arrival to its reply, in seconds.", latencyBuckets(), []string{"route", "status"})
	m.parts = histogram("request_coverage_ratio", "Share of the shards in an answer.", coverageBuckets(), []string{"route"})
	m.sends = counter("sends_total", "Sends to searchers.", []string{"service"})
	m.failures = counter("sends_failed_total", "Sends to searchers that brought no answer.", []string{"service", "outcome"})
	m.registry.MustRegister(m.calls, m.parts, m.sends, m.failures)
	m.registry.MustRegister(m.latency, m.coverage, m.extraLoad, m.needed, m.sent, m.hedges, m.refusals, m.writes,
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

// RecordQuery records one query.
func (m *Metrics) RecordQuery(q QueryRecord) {
	if q.FaultKind != "" {
		m.refusals.WithLabelValues(q.Tenant, q.Class, q.FaultKind).Inc()
		return
	}
	m.latency.WithLabelValues(q.Tenant, q.Class).Observe(q.Latency.Seconds())
	m.coverage.WithLabelValues(q.Tenant, q.Class).Observe(q.Coverage)
	m.needed.WithLabelValues(q.Tenant, q.Class).Add(float64(q.SubQueriesNeeded))
	m.sent.WithLabelValues(q.Tenant, q.Class).Add(float64(q.SubQueriesSent))
	m.hedges.WithLabelValues(q.Tenant, q.Class).Add(float64(q.HedgesSent))
	if q.SubQueriesNeeded > 0 {
		m.extraLoad.WithLabelValues(q.Tenant, q.Class).Observe(max(0, float64(q.SubQueriesSent)/float64(q.SubQueriesNeeded)-1))
	}
}

// RecordWrite records the outcome of one write-like request.
func (m *Metrics) RecordWrite(tenant, class, outcome string) {
	m.writes.WithLabelValues(tenant, class, outcome).Inc()
}

// RecordCall records one caller's request.
func (m *Metrics) RecordCall(c CallRecord) {
	m.calls.WithLabelValues(c.Route, c.Status).Observe(c.Latency.Seconds())
	m.parts.WithLabelValues(c.Route).Observe(c.Coverage)
}

// CountSend counts a send to a searcher.
func (m *Metrics) CountSend(service string) { m.sends.WithLabelValues(service).Inc() }

// CountFailedSend counts a send to a searcher that brought no answer.
func (m *Metrics) CountFailedSend(service, outcome string) {
	m.failures.WithLabelValues(service, outcome).Inc()
}

// AddGauge serves a figure that read returns at each scrape.
func (m *Metrics) AddGauge(name, help string, read func() float64) {
	o := prometheus.GaugeOpts{Namespace: "wisteriaquay", Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewGaugeFunc(o, read))
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
