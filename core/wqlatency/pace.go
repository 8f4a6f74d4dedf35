// Package wqlatency learns how long the searchers of a route usually take, and from
// that how long one send is waited for before a second one.
//
// # Usage
//
// One Pace serves one route and is shared by its requests:
//
//	p := wqlatency.New(200 * time.Millisecond)
//	p.Observe(now, took)
//	p.Delay()   // wait this long before a second send
//	p.Typical() // the usual time of a send
package wqlatency

import (
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqhedge"
)

const (
	hedgeQuantile   = 0.9  // hedgeQuantile is the latency quantile after which a second send is made.
	latestHedge     = 0.45 // latestHedge is the share of the objective by which a second send must be out to be of use.
	earliestHedge   = 1.5  // earliestHedge is the least delay, relative to the usual time.
	firstTypical    = 0.15 // firstTypical is the usual time, relative to the objective, before any is known.
	typicalGain     = 0.02 // typicalGain is the weight of a new observation.
	assumedLongest  = time.Second
	leastResolution = time.Millisecond
)

// Estimator is what is known of one route. It is safe for concurrent use.
type Estimator struct {
	objective time.Duration
	quantile  *wqhedge.Quantile
	typical   atomic.Int64
}

// New returns a Pace for a route with this objective; 0 means none.
func New(objective time.Duration) *Estimator {
	if objective <= 0 {
		objective = assumedLongest
	}
	p := &Estimator{objective: objective, quantile: wqhedge.NewQuantile(hedgeQuantile, &wqbudget.Budget{})}
	p.typical.Store(int64(firstTypical * float64(objective)))
	return p
}

// Observe adds the time that an answered send took.
func (p *Estimator) Observe(now time.Time, took time.Duration) {
	p.quantile.Observe(now, took)
	old := p.typical.Load()
	p.typical.Store(old + int64(typicalGain*float64(int64(took)-old)))
}

// ObserveAbandoned adds a send that had waited this long when it was given up.
func (p *Estimator) ObserveAbandoned(now time.Time, waited time.Duration) {
	if waited > p.MeanLatency() {
		p.quantile.ObserveAbandoned(now, waited)
	}
}

// MeanLatency returns the usual time of a send.
func (p *Estimator) MeanLatency() time.Duration {
	return max(time.Duration(p.typical.Load()), leastResolution)
}

// HedgeDelay returns how long a send is waited for before a second one.
func (p *Estimator) HedgeDelay() time.Duration {
	latest := time.Duration(latestHedge * float64(p.objective))
	d, ok := p.quantile.HedgeDelay()
	if !ok {
		return latest
	}
	return min(max(d, time.Duration(earliestHedge*float64(p.MeanLatency()))), latest)
}
