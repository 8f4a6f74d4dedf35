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
//	if h.Allow(now) { ... }
//	h.Observe(now, latency)
//
// The delay follows the quantile of the last two windows. Never is the plain
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
	window       = time.Second      // window is how long one histogram is filled.
	leastSamples = 50               // leastSamples is how many observations a delay needs.
	refreshEvery = 64               // refreshEvery is how many observations pass between two looks at the quantile.
	longest      = 60 * time.Second // longest is the largest latency kept.
	digits       = 2                // digits is the decimal precision of the histograms.
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

// Delay returns how long a sub-query waits for its answer before a hedge, false
// when none is sent.
func (q *Quantile) Delay() (time.Duration, bool) {
	d := time.Duration(q.delay.Load())
	return d, d > 0
}

// Allow takes one hedge from the budget and reports whether it was there.
func (q *Quantile) Allow(now time.Time) bool { return q.Budget.Spend(now) }

// Earn notes sub-queries that were sent for the first time.
func (q *Quantile) Earn(count int) { q.Budget.Earn(count) }

// Refused notes that a target refused for load; no hedge is sent for a while.
func (q *Quantile) Refused(now time.Time) { q.Budget.Refused(now) }

// Observe adds the latency of one answered sub-query.
func (q *Quantile) Observe(now time.Time, latency time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if now.Sub(q.began) > window {
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
	micros := sampled.ValueAtQuantile(q.Quantile * 100)
	q.delay.Store(int64(time.Duration(micros) * time.Microsecond))
}

// Never sends no hedges.
type Never struct{}

// Delay returns false.
func (Never) Delay() (time.Duration, bool) { return 0, false }

// Allow returns false.
func (Never) Allow(time.Time) bool { return false }

// Earn does nothing.
func (Never) Earn(int) {}

// Refused does nothing.
func (Never) Refused(time.Time) {}

// Observe does nothing.
func (Never) Observe(time.Time, time.Duration) {}
