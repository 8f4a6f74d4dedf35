// Package wqlatency estimates the latency of a route's searchers and derives
// the delay before a request is hedged, that is, sent a second time.
//
// # Usage
//
// One Estimator serves one route and is shared by its requests:
//
//	e := wqlatency.New(200 * time.Millisecond)
//	e.Observe(now, elapsed)
//	e.HedgeDelay(0.1) // hedge a send without an answer after this delay, with 1 in 10 services unanswered
//	e.MeanLatency()   // EWMA of the latency of a send
package wqlatency

import (
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqhedge"
)

const (
	hedgeQuantile = 0.9 // hedgeQuantile is the latency quantile after which a send is hedged.
	// maxHedgeShare is the largest hedge delay as a share of the objective. A hedge needs
	// time for a connection and for its answer before the partial answer is due: at 0.45,
	// urgent searches (60 ms) got 97% of their shards.
	maxHedgeShare    = 0.3
	minHedgeRatio    = 1.2  // minHedgeRatio is the smallest hedge delay in multiples of the mean latency.
	initialMeanShare = 0.15 // initialMeanShare is the mean latency before the first observation, as a share of the objective.
	meanWeight       = 0.02 // meanWeight is the weight of a new observation in the EWMA.
	commonCauseShare = 0.5  // commonCauseShare is the share of unanswered services above which a common cause is assumed.
	commonCauseDelay = 3    // commonCauseDelay is the factor on the hedge delay while a common cause is assumed.
	defaultObjective = time.Second
	minMeanLatency   = time.Millisecond
)

// Estimator estimates the latency of one route. It is safe for concurrent use.
type Estimator struct {
	objective   time.Duration
	quantile    *wqhedge.Quantile
	meanLatency atomic.Int64 // nanoseconds
}

// New returns an Estimator for a route with this latency objective. An
// objective of 0 or less means none, and 1 s is assumed.
func New(objective time.Duration) *Estimator {
	if objective <= 0 {
		objective = defaultObjective
	}
	e := &Estimator{objective: objective, quantile: wqhedge.NewQuantile(hedgeQuantile, &wqbudget.Budget{})}
	e.meanLatency.Store(int64(initialMeanShare * float64(objective)))
	return e
}

// Observe records the latency of an answered send.
func (e *Estimator) Observe(now time.Time, latency time.Duration) {
	e.quantile.Observe(now, latency)
	mean := e.meanLatency.Load()
	e.meanLatency.Store(mean + int64(meanWeight*float64(int64(latency)-mean)))
}

// ObserveAbandoned records a send that was abandoned without an answer after
// waited. Waits up to the mean latency are ignored.
func (e *Estimator) ObserveAbandoned(now time.Time, waited time.Duration) {
	if waited > e.MeanLatency() {
		e.quantile.ObserveAbandoned(now, waited)
	}
}

// MeanLatency returns the EWMA of the latency of answered sends, at least 1 ms.
func (e *Estimator) MeanLatency() time.Duration {
	return max(time.Duration(e.meanLatency.Load()), minMeanLatency)
}

// HedgeDelay returns how long after a send without an answer the hedge is sent.
// Unanswered is the share of the request's services without an answer. While that is
// most of them, the cause is more likely this VM, its links or the first connections
// than each of the searchers, and hedges would add to it: they wait longer.
func (e *Estimator) HedgeDelay(unanswered float64) time.Duration {
	d := e.hedgeDelay()
	if unanswered > commonCauseShare {
		d *= commonCauseDelay
	}
	return d
}

func (e *Estimator) hedgeDelay() time.Duration {
	maxDelay := time.Duration(maxHedgeShare * float64(e.objective))
	d, ok := e.quantile.HedgeDelay()
	if !ok {
		return maxDelay
	}
	return min(max(d, time.Duration(minHedgeRatio*float64(e.MeanLatency()))), maxDelay)
}
