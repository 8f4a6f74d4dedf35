// Package wqbudget bounds extra work as a share of the regular work.
//
// # Usage
//
// Regular work earns, extra work spends:
//
//	b := &wqbudget.Budget{Share: 0.05, Burst: 20}
//	b.Earn(20)
//	if b.Spend(now, 2) { ... }
//
// A refusal for load by a target stops all spending for a while, because extra
// work then only adds to the overload.
package wqbudget

import (
	"sync"
	"time"
)

// Budget is a token bucket that regular work fills. It is safe for use by many
// goroutines. The zero value allows no extra work.
type Budget struct {
	Ratio         float64       // Ratio is the extra work allowed for each unit of regular work.
	Burst         float64       // Burst is the most extra work saved up, in units.
	OverloadPause time.Duration // OverloadPause is how long a refusal stops spending.

	mutex  sync.Mutex
	tokens float64
	opens  time.Time
}

// Earn adds the share of this many units of regular work.
func (b *Budget) Earn(units int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.Ratio*float64(units), b.Burst)
}

// TrySpend takes units of extra work, all or none, and reports whether they are
// allowed.
func (b *Budget) TrySpend(now time.Time, units int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < float64(units) || now.Before(b.opens) {
		return false
	}
	b.tokens -= float64(units)
	return true
}

// RecordOverload notes that a target refused for load.
func (b *Budget) RecordOverload(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.opens = now.Add(b.OverloadPause)
}
