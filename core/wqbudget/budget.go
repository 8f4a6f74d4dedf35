// Package wqbudget limits extra work, such as retries and hedges, to a ratio of
// the regular work.
//
// # Usage
//
// Regular work adds tokens and extra work takes them:
//
//	b := &wqbudget.Budget{Ratio: 0.05, Burst: 20, OverloadPause: time.Second}
//	b.Earn(20)
//	if b.TrySpend(now, 2) { ... }
//
// When a target refuses a request for load, no extra work is allowed for
// OverloadPause, because it would add to the overload.
package wqbudget

import (
	"sync"
	"time"
)

// Budget is a token bucket that regular work fills. One token allows one unit
// of extra work. It is safe for concurrent use. The zero value allows no extra
// work.
type Budget struct {
	Ratio         float64       // tokens added for each unit of regular work
	Burst         float64       // limit on the tokens saved up
	OverloadPause time.Duration // how long RecordOverload stops spending

	mutex       sync.Mutex
	tokens      float64
	pausedUntil time.Time // no spending before this time
}

// Earn adds the tokens for this many units of regular work.
func (b *Budget) Earn(units int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.Ratio*float64(units), b.Burst)
}

// TrySpend takes a token for each of this many units of extra work. It reports
// false and takes none when there are too few tokens or spending is paused.
func (b *Budget) TrySpend(now time.Time, units int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < float64(units) || now.Before(b.pausedUntil) {
		return false
	}
	b.tokens -= float64(units)
	return true
}

// RecordOverload pauses spending for OverloadPause, because a target refused a
// request for load.
func (b *Budget) RecordOverload(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.pausedUntil = now.Add(b.OverloadPause)
}
