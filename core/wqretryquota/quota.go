// Package wqretryquota limits the extra sends (retries and hedges) to each service
// for the whole fleet, without messages between VMs: in each window, a VM sends at
// most a ratio of its own callers' requests plus an equal share of the fleet's
// slack.
//
// # Usage
//
//	q := wqretryquota.New(wqretryquota.Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}, now)
//	q.CountRequest(now, "orders")         // a caller's request for the service
//	if q.TrySpend(now, "orders", 8) {     // 8 VMs
//		... send to a second searcher ...
//	}
//
// The share of the slack ramps up from zero over the first window after the start,
// so that a restarted VM does not spend its share twice.
package wqretryquota

import (
	"sync"
	"time"
)

const (
	stepsPerWindow = 10  // parts of a window that are counted separately
	safetyMargin   = 0.9 // part of the limit that is used, since a send may arrive in the next window
)

// Limits are the limits of extra sends that hold for the whole fleet.
type Limits struct {
	Ratio  float64       // Ratio is the number of extra sends allowed per request.
	Slack  float64       // Slack is the number of extra sends allowed per window in addition.
	Window time.Duration // Window is the length of the sliding window.
}

// Quota counts requests and extra sends. It is safe for concurrent use.
type Quota struct {
	Limits    Limits
	startedAt time.Time

	mutex    sync.Mutex
	services map[string]*ledger
}

// ledger holds the counts of one service as a ring buffer: the steps of one
// window and the current step.
type ledger struct {
	requests   [stepsPerWindow + 1]int
	extraSends [stepsPerWindow + 1]int
	newestStep int64 // number of the newest step since the start
}

// New returns a Quota whose first window starts at now.
func New(l Limits, now time.Time) *Quota {
	return &Quota{Limits: l, startedAt: now, services: make(map[string]*ledger)}
}

// CountRequest counts one caller's request for a service.
func (q *Quota) CountRequest(now time.Time, service string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	l := q.ledger(now, service)
	l.requests[l.newestStep%(stepsPerWindow+1)]++
}

// TrySpend counts one extra send and returns true if the quota allows it. Fleet
// is the number of VMs that share the slack.
func (q *Quota) TrySpend(now time.Time, service string, fleet int) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	l := q.ledger(now, service)
	// The slack ramps up over the first window.
	ramp := min(1, float64(now.Sub(q.startedAt))/float64(q.Limits.Window))
	slack := q.Limits.Slack / float64(max(fleet, 1)) * ramp
	if float64(sum(l.extraSends)+1) > safetyMargin*(q.Limits.Ratio*float64(sum(l.requests))+slack) {
		return false
	}
	l.extraSends[l.newestStep%(stepsPerWindow+1)]++
	return true
}

// ledger returns the counts of a service, with the steps that have passed set
// to 0.
func (q *Quota) ledger(now time.Time, service string) *ledger {
	// A request that another VM received before the start of this one counts as
	// received at the start: a negative step has no place in the ring.
	step := max(0, int64(now.Sub(q.startedAt)/(q.Limits.Window/stepsPerWindow)))
	l := q.services[service]
	if l == nil {
		l = &ledger{newestStep: step}
		q.services[service] = l
	}
	for i := l.newestStep + 1; i <= step && i <= l.newestStep+stepsPerWindow+1; i++ {
		l.requests[i%(stepsPerWindow+1)], l.extraSends[i%(stepsPerWindow+1)] = 0, 0
	}
	l.newestStep = max(l.newestStep, step)
	return l
}

func sum(counts [stepsPerWindow + 1]int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
