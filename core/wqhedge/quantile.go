// Package wqhedge decides when a sub-query that has not been answered is sent
// to a second replica.
//
// # Usage
//
// One Quantile serves one class of queries and is shared by its queries:
//
//	h := wqhedge.NewQuantile(0.95, &wqbudget.Budget{Share: 0.05, Burst: 50, Pause: time.Second})
//	h.Earn(20)
//	wait, ok := h.Delay()
//	if h.Allow(now, 1) { ... }
//	h.Observe(now, latency)
//
// The delay follows the quantile of recent latencies. Where stragglers are set
// apart from other answers near that quantile, it is the latency at which the gap
// begins: waiting inside the gap brings no answer. Never is the plain
// baseline without hedges.
package wqhedge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wisteriaquay/core/wqbudget"
)

const (
	window        = time.Second      // window is the shortest time that one histogram is filled.
	fullWindow    = 512              // fullWindow is how many observations it gets before the next is begun.
	leastSamples  = 50               // leastSamples is how many observations a delay needs.
	refreshEvery  = 32               // refreshEvery is how many observations pass between two looks at the quantile.
	longest       = 60 * time.Second // longest is the largest latency kept.
	givenUpFactor = 2                // givenUpFactor estimates the whole time of a sub-query from what it had waited when given up.
	digits        = 2                // digits is the decimal precision of the histograms.
	gap           = 1.5              // gap is the factor between two neighbouring latencies that sets stragglers apart.
	gapAbove      = 1.25             // gapAbove bounds the share of latencies above a gap, relative to the quantile's.
	gapBelow      = 0.2              // gapBelow is its lower bound.
	gapSamples    = 8                // gapSamples is how many latencies above a gap it needs.
	latest        = 1.5              // latest is how much later than the quantile a gap may begin.
	gapMargin     = 4                // gapMargin is how many steps before the gap the hedge is sent.
	gapSteps      = 64               // gapSteps is how many quantiles are looked at for a gap.
)

// Quantile hedges after a latency quantile of recent sub-queries, while the
// budget lasts. It is safe for use by many goroutines.
type Quantile struct {
	Quantile float64 // Quantile is between 0 and 1; 0 never hedges.
	Budget   *wqbudget.Budget

	delay    atomic.Int64
	mutex    sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	began    time.Time
	sinceNew int
}

// NewQuantile returns a policy without observations; it does not hedge until it
// has some.
func NewQuantile(quantile float64, budget *wqbudget.Budget) *Quantile {
	return &Quantile{Quantile: quantile, Budget: budget, current: histogram(), previous: histogram()}
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), digits)
}

// HedgeDelay returns how long a sub-query waits for its answer before a hedge, false
// when none is sent.
func (q *Quantile) HedgeDelay() (time.Duration, bool) {
	d := time.Duration(q.delay.Load())
	return d, d > 0
}

// TrySpend takes this many hedges from the budget, all or none, and reports whether
// they were there. The hedges of one query are of use together only, so that
// under a short budget queries with few stragglers go first.
func (q *Quantile) TrySpend(now time.Time, count int) bool { return q.Budget.TrySpend(now, count) }

// Earn notes sub-queries that were sent for the first time.
func (q *Quantile) Earn(count int) { q.Budget.Earn(count) }

// RecordOverload notes that a target refused for load; no hedge is sent for a while.
func (q *Quantile) RecordOverload(now time.Time) { q.Budget.RecordOverload(now) }

// Observe adds the latency of one answered sub-query.
func (q *Quantile) Observe(now time.Time, latency time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if now.Sub(q.began) > window && q.current.TotalCount() >= fullWindow {
		q.turn(now)
	}
	_ = q.current.RecordValue(min(latency, longest).Microseconds())
	q.sinceNew++
	if q.sinceNew >= refreshEvery {
		q.refresh()
	}
}

func (q *Quantile) turn(now time.Time) {
	q.previous, q.current = q.current, q.previous
	q.current.Reset()
	q.began = now
	q.refresh()
}

func (q *Quantile) refresh() {
	q.sinceNew = 0
	sampled := q.current
	if q.previous.TotalCount() > sampled.TotalCount() {
		sampled = q.previous
	}
	if q.Quantile <= 0 || sampled.TotalCount() < leastSamples {
		return
	}
	q.delay.Store(int64(time.Duration(q.knee(sampled)) * time.Microsecond))
}

// knee returns the latency after which to hedge, in microseconds.
func (q *Quantile) knee(h *hdrhistogram.Histogram) int64 {
	above := 1 - q.Quantile
	fewest := gapSamples / (above * float64(h.TotalCount()))
	quantile := h.ValueAtQuantile(100 * q.Quantile)
	values := h.ValueAtPercentilesSlice(steps(above, max(gapBelow, fewest)))
	for i := 1; i < len(values); i++ {
		if float64(values[i]) > gap*float64(values[i-1]) {
			return min(values[max(0, i-gapMargin)], int64(latest*float64(quantile)))
		}
	}
	return quantile
}

// steps returns percentiles that leave gapAbove down to below times this share
// of the latencies above them.
func steps(above, below float64) []float64 {
	percentiles := make([]float64, 0, gapSteps)
	for i := range gapSteps {
		share := gapAbove - (gapAbove-gapBelow)*float64(i)/(gapSteps-1)
		if share >= below {
			percentiles = append(percentiles, 100*(1-share*above))
		}
	}
	return percentiles
}

// ObserveAbandoned adds a sub-query that had waited this long when another's answer made
// it superfluous. It would have taken longer still.
func (q *Quantile) ObserveAbandoned(now time.Time, waited time.Duration) {
	q.Observe(now, givenUpFactor*waited)
}

// Never sends no hedges.
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
