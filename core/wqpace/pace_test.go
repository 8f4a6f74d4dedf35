package wqpace_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqpace"
)

var start = time.Unix(1000, 0)

// takeAll takes as often as possible and returns how often.
func takeAll(p *wqpace.Pace, now time.Time, rate float64) int {
	n := 0
	for p.Take(now, rate, 0) {
		n++
	}
	return n
}

// Guards against a VM that saves up its part of the rate while it has no requests.
func TestUnusedRateIsKeptForOneSecond(t *testing.T) {
	p := &wqpace.Pace{}
	must.Eq(t, 1, takeAll(p, start, 4), must.Sprint("no credit at first"))
	must.Eq(t, 250*time.Millisecond, p.Wait(start))
	must.Between(t, 4, takeAll(p, start.Add(time.Hour), 4), 5)
	must.Eq(t, 1, takeAll(p, start.Add(time.Hour+250*time.Millisecond), 4))
}

// Guards against VMs that all send their first request when they learn of the limit.
func TestFirstRequestIsAtARandomTime(t *testing.T) {
	p := &wqpace.Pace{}
	must.False(t, p.Take(start, 0.01, math.MaxUint64/2))
	must.Between(t, 49*time.Second, p.Wait(start), 51*time.Second)
}

// Guards against a wait that is as long as the rate before required.
func TestWaitFollowsTheRate(t *testing.T) {
	p := &wqpace.Pace{}
	must.True(t, p.Take(start, 0.1, 0))
	must.Eq(t, 10*time.Second, p.Wait(start))
	must.False(t, p.Take(start, 1, 0))
	must.Eq(t, time.Second, p.Wait(start))
	must.False(t, p.Take(start, 0, 0))
	must.Positive(t, p.Wait(start))
}
