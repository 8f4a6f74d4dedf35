package wqstatement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqstatement"
)

// limited is a response that names a limit, to a request written at sentAt.
func limited(rate float64, sentAt time.Time) wqstatement.Limit {
	return wqstatement.Limit{Report: wqstatement.Limited, Rate: rate, SentAt: sentAt}
}

func unlimited(sentAt time.Time) wqstatement.Limit {
	return wqstatement.Limit{Report: wqstatement.Unlimited, SentAt: sentAt}
}

// Guards against VMs that each use the whole limit, and against a limit that is not used.
func TestFleetStaysWithinTheLimitOfASearcher(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 2, 20, 200} {
		for _, vms := range []int{1, 3, 7, 30, 300} {
			t.Run(fmt.Sprintf("%v a second, %d VMs", rate, vms), func(t *testing.T) {
				const tick, perWindow, ticks = 10 * time.Millisecond, 400, 6000
				random, x := rand.New(rand.NewPCG(uint64(rate), uint64(vms))), target("x", 1)
				fleet := make([]*wqstatement.Tracker, vms)
				for i := range fleet {
					fleet[i] = wqstatement.New()
				}
				sent, total := make([]int, ticks), 0
				for n := range sent {
					at := now.Add(time.Duration(n) * tick)
					for _, tr := range fleet {
						tr.ObserveLimit(at, x, limited(rate, at))
						for tr.Take(at, x, vms, random.Uint64()) {
							sent[n]++
							total++
						}
					}
				}
				for n := range ticks - perWindow {
					inWindow := 0
					for _, s := range sent[n : n+perWindow] {
						inWindow += s
					}
					must.LessEq(t, 6*rate+5, float64(inWindow))
				}
				if used := rate * 60; used >= float64(vms) {
					must.GreaterEq(t, 0.9*used, float64(total))
				}
			})
		}
	}
}

// Guards against responses that overtake each other, and against a searcher that stays
// limited, or becomes unlimited, by mistake.
func TestLimitFollowsTheLatestResponse(t *testing.T) {
	tr, x := wqstatement.New(), target("x", 1)
	must.Eq(t, wqstatement.NoChange, tr.ObserveLimit(now, x, unlimited(now)))
	must.Eq(t, wqstatement.LimitNamed, tr.ObserveLimit(now, x, limited(10, now.Add(-time.Second))))
	must.Eq(t, wqstatement.NoChange, tr.ObserveLimit(now.Add(time.Second), x, limited(10, now)))
	at := now.Add(time.Second)
	must.Eq(t, wqstatement.NoChange, tr.ObserveLimit(at.Add(time.Millisecond), x, unlimited(at)), must.Sprint("written before the limit was named"))
	must.Eq(t, wqstatement.NoChange, tr.ObserveLimit(at.Add(time.Millisecond), x, limited(20, at)))
	must.Eq(t, wqstatement.LimitNamed, tr.ObserveLimit(at.Add(time.Millisecond), x, limited(5, now)), must.Sprint("lower limits hold at once"))
	must.Eq(t, wqstatement.NoChange, tr.ObserveLimit(at.Add(time.Second), x, wqstatement.Limit{}))
	must.Eq(t, wqstatement.LimitNamed, tr.ObserveLimit(at.Add(time.Second), x, limited(20, at.Add(900*time.Millisecond))))
	must.Eq(t, 1, tr.LimitedCount(at.Add(time.Second)))
	must.Eq(t, wqstatement.LimitEnded, tr.ObserveLimit(at.Add(3*time.Second), x, unlimited(at.Add(2*time.Second))))
	must.False(t, tr.IsLimited(at.Add(3*time.Second), x))
}

// Guards against a limit that outlives the start of the searcher that named it, and
// against one that nothing ever ends.
func TestLimitEndsWithTheStartAndAfterItsTime(t *testing.T) {
	tr := wqstatement.New()
	tr.ObserveLimit(now, target("x", 5), limited(0, now))
	must.True(t, tr.IsLimited(now.Add(59*time.Second), target("x", 5)))
	must.False(t, tr.IsLimited(now.Add(time.Minute), target("x", 5)))
	must.False(t, tr.IsLimited(now, target("x", 6)))
	must.Eq(t, wqstatement.NoChange, tr.ObserveLimit(now, target("x", 4), limited(1, now)))

	unknown := target("y", 0)
	tr.ObserveLimit(now, unknown, limited(1, now))
	must.True(t, tr.IsLimited(now, unknown))
	unknown.Searcher.Address = "h:2"
	must.False(t, tr.IsLimited(now, unknown), must.Sprint("another searcher"))

	tr.ObserveLimit(now, target("x", 6), limited(0.1, now))
	tr.Take(now, target("x", 6), 300, math.MaxUint64)
	must.True(t, tr.IsLimited(now.Add(10*time.Minute), target("x", 6)), must.Sprint("this VM has its turn every 20 minutes"))
}

// Guards against a request that was placed before the limit was known and reaches the
// searcher beside those that are counted.
func TestRequestPlacedBeforeTheLimitIsPlacedAgain(t *testing.T) {
	tr, x := wqstatement.New(), target("x", 1)
	tr.ObserveLimit(now, x, limited(1, now))
	must.False(t, tr.MaySend(now.Add(time.Second), x, now.Add(-time.Millisecond)))
	must.True(t, tr.MaySend(now.Add(time.Second), x, now.Add(time.Millisecond)))
}

// Guards against requests that wait for, or are sent to, a searcher at its limit while
// another one takes them.
func TestSearcherAtItsLimitIsLeftOutUntilItsNextRequest(t *testing.T) {
	tr, x, y := wqstatement.New(), target("x", 1), target("y", 1)
	both := []*wqdirectory.Target{x, y}
	tr.ObserveLimit(now, x, limited(2, now))
	must.True(t, tr.Take(now, x, 1, 0))
	must.False(t, tr.Take(now, x, 1, 0))
	serving, leaving := tr.Split(now, both)
	must.Eq(t, []*wqdirectory.Target{y}, serving)
	must.SliceEmpty(t, leaving)
	must.True(t, tr.Take(now, y, 1, 0))
	wait, isLimit := tr.Wait(now, both)
	must.Eq(t, 0, wait)
	must.False(t, isLimit)
	wait, isLimit = tr.Wait(now, both[:1])
	must.Between(t, time.Millisecond, wait, 500*time.Millisecond)
	must.True(t, isLimit)
	must.True(t, tr.Take(now.Add(wait), x, 1, 0))
	tr.Observe(now, x, wqstatement.Statement{Wait: 10 * time.Second})
	_, isLimit = tr.Wait(now, both[:1])
	must.False(t, isLimit, must.Sprint("it rejects requests for longer"))
}

// Guards against VMs that were idle while a limit stood, and use what each of them has
// left when demand returns.
func TestIdleFleetStaysWithinTheLimitWhenDemandReturns(t *testing.T) {
	for _, c := range []struct {
		vms  int
		rate float64
	}{{7, 20}, {7, 1}, {87, 1}, {300, 2}} {
		t.Run(fmt.Sprintf("%v a second, %d VMs", c.rate, c.vms), func(t *testing.T) {
			random, x, sent := rand.New(rand.NewPCG(1, 2)), target("x", 1), 0
			fleet := make([]*wqstatement.Tracker, c.vms)
			for i := range fleet {
				fleet[i] = wqstatement.New()
				fleet[i].ObserveLimit(now, x, limited(c.rate, now))
				fleet[i].Take(now, x, c.vms, random.Uint64())
			}
			idle := 2 * time.Duration(float64(c.vms)/c.rate*float64(time.Second))
			for n := range 400 {
				at := now.Add(idle + time.Duration(n)*10*time.Millisecond)
				for _, tr := range fleet {
					tr.ObserveLimit(at, x, limited(c.rate, at))
					for tr.Take(at, x, c.vms, random.Uint64()) {
						sent++
					}
				}
			}
			must.LessEq(t, 6*c.rate+5, float64(sent))
		})
	}
}
