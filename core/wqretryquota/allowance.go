// Package wqretryquota bounds the extra sends to each service, over all VMs,
// without messages between them: in every window, a VM adds at most its own
// requests' ratio and its equal share of the fleet's slack.
//
// # Usage
//
//	a := wqretryquota.New(wqretryquota.Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}, now)
//	a.Request(now, "orders")         // a caller's request for the service
//	if a.Spend(now, "orders", 8) {   // 8 VMs
//		... send to a second searcher ...
//	}
//
// The share of the slack grows from nothing over the first window after the
// start, so that a VM that restarts does not spend its share twice.
package wqretryquota

import (
	"sync"
	"time"
)

const (
	steps  = 10  // steps is how many parts of a window are counted apart.
	margin = 0.9 // margin is the part of the bound that is used, for sends that arrive in the next window.
)

// Limits are the bound that holds for the whole fleet.
type Limits struct {
	Ratio  float64       // Ratio is the extra sends allowed for each request.
	Slack  float64       // Slack is the extra sends allowed in a window beside those.
	Window time.Duration // Window is any span of this length.
}

// Quota counts requests and extra sends. It is safe for concurrent use.
type Quota struct {
	Limits  Limits
	started time.Time

	mutex    sync.Mutex
	services map[string]*ledger
}

// ledger holds the counts of one service: a window of past steps and the one in
// progress.
type ledger struct {
	requests [steps + 1]int
	extras   [steps + 1]int
	at       int64 // at numbers the newest step.
}

// New returns an Allowance that starts at now.
func New(t Limits, now time.Time) *Quota {
	return &Quota{Limits: t, started: now, services: make(map[string]*ledger)}
}

// CountRequest counts one caller's request for a service.
func (a *Quota) CountRequest(now time.Time, service string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := a.ledger(now, service)
	l.requests[l.at%(steps+1)]++
}

// TrySpend counts one extra send if it is allowed, and reports whether it is.
func (a *Quota) TrySpend(now time.Time, service string, fleet int) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := a.ledger(now, service)
	// A ramp over the first window.
	grown := min(1, float64(now.Sub(a.started))/float64(a.Limits.Window))
	slack := a.Limits.Slack / float64(max(fleet, 1)) * grown
	if float64(sum(l.extras)+1) > margin*(a.Limits.Ratio*float64(sum(l.requests))+slack) {
		return false
	}
	l.extras[l.at%(steps+1)]++
	return true
}

// ledger returns a service's counts with the steps that have passed cleared.
func (a *Quota) ledger(now time.Time, service string) *ledger {
	at := int64(now.Sub(a.started) / (a.Limits.Window / steps))
	l := a.services[service]
	if l == nil {
		l = &ledger{at: at}
		a.services[service] = l
	}
	for i := l.at + 1; i <= at && i <= l.at+steps+1; i++ {
		l.requests[i%(steps+1)], l.extras[i%(steps+1)] = 0, 0
	}
	l.at = max(l.at, at)
	return l
}

func sum(counts [steps + 1]int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
