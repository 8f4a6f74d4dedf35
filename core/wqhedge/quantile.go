// Package wqhedge decides when a sub-query without an answer is also sent to a
// second replica.
//
// # Usage
//
// All queries of one class share a Quantile:
//
//	budget := &wqbudget.Budget{Ratio: 0.05, Burst: 50, OverloadPause: time.Second}
//	h := wqhedge.NewQuantile(0.95, budget)
//	h.Earn(20)
//	delay, ok := h.HedgeDelay()
//	if h.TrySpend(now, 1) { ... }
//	h.Observe(now, latency)
//
// The delay is a quantile of recent latencies. When a gap near that quantile
// separates stragglers from the other answers, the delay ends where the gap
// begins, because hardly any answer arrives within the gap. Never is a policy
// without hedges, for comparison.
package wqhedge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wisteriaquay/core/wqbudget"
)

const (
	minWindow         = time.Second      // minWindow is the minimum time for which a histogram is filled.
	minWindowSamples  = 512              // minWindowSamples is the minimum number of latencies in it before it is rotated.
	minSamples        = 50               // minSamples is the minimum number of latencies for a delay.
	samplesPerRefresh = 32               // samplesPerRefresh is the number of latencies between two updates of the delay.
	maxLatency        = 60 * time.Second // maxLatency replaces longer latencies.
	abandonedFactor   = 2                // abandonedFactor times the wait estimates the latency of an abandoned sub-query.
	significantDigits = 2                // significantDigits of the latencies in the histograms.
	gapFactor         = 1.5              // gapFactor between the latencies of two adjacent percentiles makes a gap.
	maxGapShare       = 1.25             // maxGapShare limits the share of latencies above a gap, relative to 1 - Quantile.
	minGapShare       = 0.2              // minGapShare is the lower limit of that share.
	minGapSamples     = 8                // minGapSamples is the minimum number of latencies above a gap.
	maxDelayFactor    = 1.5              // maxDelayFactor limits the delay, relative to the latency at the quantile.
	gapMarginSteps    = 4                // gapMarginSteps is the number of percentiles between the delay and the gap.
	gapSteps          = 64               // gapSteps is the number of percentiles searched for a gap.
)

// Quantile hedges after a quantile of recent latencies, within a budget. It is safe
// for concurrent use.
type Quantile struct {
	Quantile float64 // Quantile of latencies, between 0 and 1; 0 never hedges.
	Budget   *wqbudget.Budget

	delayNanos          atomic.Int64
	mutex               sync.Mutex
	current             *hdrhistogram.Histogram
	previous            *hdrhistogram.Histogram
	windowStart         time.Time
	samplesSinceRefresh int
}

// NewQuantile returns a policy that does not hedge until it has observed enough
// latencies.
func NewQuantile(quantile float64, budget *wqbudget.Budget) *Quantile {
	return &Quantile{Quantile: quantile, Budget: budget, current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// HedgeDelay returns the time from a sub-query to its hedge, false for no hedges.
func (q *Quantile) HedgeDelay() (time.Duration, bool) {
	d := time.Duration(q.delayNanos.Load())
	return d, d > 0
}

// TrySpend takes count hedges from the budget, all or none, and reports whether
// they are allowed. A query gets faster only if all its stragglers are hedged, so
// a nearly empty budget serves queries with few stragglers.
func (q *Quantile) TrySpend(now time.Time, count int) bool { return q.Budget.TrySpend(now, count) }

// Earn adds the hedges allowed for count first sub-queries to the budget.
func (q *Quantile) Earn(count int) { q.Budget.Earn(count) }

// RecordOverload records that a target refused a sub-query because of load; the
// budget then allows no hedge for its OverloadPause.
func (q *Quantile) RecordOverload(now time.Time) { q.Budget.RecordOverload(now) }

// Observe records the latency of one answered sub-query.
func (q *Quantile) Observe(now time.Time, latency time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if now.Sub(q.windowStart) > minWindow && q.current.TotalCount() >= minWindowSamples {
		q.rotate(now)
	}
	_ = q.current.RecordValue(min(latency, maxLatency).Microseconds())
	q.samplesSinceRefresh++
	if q.samplesSinceRefresh >= samplesPerRefresh {
		q.updateDelay()
	}
}

func (q *Quantile) rotate(now time.Time) {
	q.previous, q.current = q.current, q.previous
	q.current.Reset()
	q.windowStart = now
	q.updateDelay()
}

func (q *Quantile) updateDelay() {
	q.samplesSinceRefresh = 0
	sampled := q.current
	if q.previous.TotalCount() > sampled.TotalCount() {
		sampled = q.previous
	}
	if q.Quantile <= 0 || sampled.TotalCount() < minSamples {
		return
	}
	q.delayNanos.Store(int64(time.Duration(q.delayMicros(sampled)) * time.Microsecond))
}

// delayMicros returns the hedge delay in microseconds.
func (q *Quantile) delayMicros(h *hdrhistogram.Histogram) int64 {
	tailShare := 1 - q.Quantile
	minShare := minGapSamples / (tailShare * float64(h.TotalCount()))
	quantile := h.ValueAtQuantile(100 * q.Quantile)
	values := h.ValueAtPercentilesSlice(gapPercentiles(tailShare, max(minGapShare, minShare)))
	for i := 1; i < len(values); i++ {
		if float64(values[i]) > gapFactor*float64(values[i-1]) {
			return min(values[max(0, i-gapMarginSteps)], int64(maxDelayFactor*float64(quantile)))
		}
	}
	return quantile
}

// gapPercentiles returns ascending percentiles. The share of latencies above them
// goes from maxGapShare down to minShare, as a multiple of tailShare.
func gapPercentiles(tailShare, minShare float64) []float64 {
	percentiles := make([]float64, 0, gapSteps)
	for i := range gapSteps {
		share := maxGapShare - (maxGapShare-minGapShare)*float64(i)/(gapSteps-1)
		if share >= minShare {
			percentiles = append(percentiles, 100*(1-share*tailShare))
		}
	}
	return percentiles
}

// ObserveAbandoned records a sub-query that had waited this long when another
// replica answered first. Its latency is longer and estimated by abandonedFactor.
func (q *Quantile) ObserveAbandoned(now time.Time, waited time.Duration) {
	q.Observe(now, abandonedFactor*waited)
}

// Never is a policy without hedges.
type Never struct{}

// HedgeDelay returns false.
func (Never) HedgeDelay() (time.Duration, bool) { return 0, false }

// TrySpend returns false.
func (Never) TrySpend(time.Time, int) bool { return false }

// Earn does nothing.
func (Never) Earn(int) {}

// RecordOverload does nothing.
func (Never) RecordOverload(time.Time) {}

// Observe does nothing.
func (Never) Observe(time.Time, time.Duration) {}

// ObserveAbandoned does nothing.
func (Never) ObserveAbandoned(time.Time, time.Duration) {}
