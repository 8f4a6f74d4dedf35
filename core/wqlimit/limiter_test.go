package wqlimit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqobservation"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

func ExampleLimiter() {
	now := time.Unix(0, 0)
	l := wqlimit.Limiter[*wqlimit.AIMD]{Policy: &wqlimit.AIMD{}, Share: 4}
	for l.Acquire(l.Share) {
		fmt.Println("in flight:", l.InFlight())
	}
	l.Release(wqlimit.Sample{Started: now, Ended: now.Add(time.Millisecond), Status: wqobservation.Shed})
	fmt.Println("limit after a refusal:", l.Limit())
	// Output:
	// in flight: 1
	// in flight: 2
	// in flight: 3
	// in flight: 4
	// limit after a refusal: 2
}

// TestLimiterStaysWithinShareAndRecovers checks for random outcomes and shares
// that the limit stays between 1 and the share, that no request is admitted
// above the share, and that the limit is the whole share again after enough
// answers.
func TestLimiterStaysWithinShareAndRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := wqlimit.Limiter[*wqlimit.AIMD]{Policy: &wqlimit.AIMD{}, Share: rapid.IntRange(0, 8).Draw(t, "share")}
		now := time.Unix(0, 0)
		var startTimes []time.Time
		for range 200 {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.Share = rapid.IntRange(0, 8).Draw(t, "share")
			case 1, 2:
				if l.Acquire(l.Share) {
					startTimes = append(startTimes, now)
					must.LessEq(t, l.Share, l.InFlight())
				}
			default:
				if len(startTimes) > 0 {
					status := rapid.SampledFrom([]wqobservation.Status{wqobservation.Answered, wqobservation.Shed, wqobservation.Broken, wqobservation.Expired}).Draw(t, "status")
					l.Release(wqlimit.Sample{Started: startTimes[0], Ended: now, Status: status})
					startTimes = startTimes[1:]
				}
			}
			must.EqOp(t, len(startTimes), l.InFlight())
			must.LessEq(t, l.Share, l.Limit())
			must.True(t, l.Share == 0 || l.Limit() >= 1)
		}
		observeAnswers(&l, now)
		must.EqOp(t, l.Share, l.Limit())
	})
}

// observeAnswers records 64 answered requests.
func observeAnswers(l *wqlimit.Limiter[*wqlimit.AIMD], now time.Time) {
	for range 64 {
		l.Policy.Observe(wqlimit.Sample{Started: now, Ended: now, Status: wqobservation.Answered}, l.Share)
	}
}

// TestConcurrentRefusalsLowerLimitOnce guards against a limit that is halved for
// each of the requests that one overload refused.
func TestConcurrentRefusalsLowerLimitOnce(t *testing.T) {
	start := time.Unix(0, 0)
	a := &wqlimit.AIMD{}
	must.EqOp(t, 8, a.Limit(8))
	for i := range 8 {
		a.Observe(wqlimit.Sample{Started: start, Ended: start.Add(time.Duration(i+1) * time.Millisecond), Status: wqobservation.Shed}, 8)
	}
	must.EqOp(t, 4, a.Limit(8))
}

func TestFixedAllowsWholeShare(t *testing.T) {
	l := wqlimit.Limiter[wqlimit.Fixed]{Share: 3}
	must.True(t, l.Acquire(3))
	l.Release(wqlimit.Sample{Status: wqobservation.Shed})
	must.EqOp(t, 3, l.Limit())
	must.True(t, l.Acquire(3))
	l.Cancel()
	must.EqOp(t, 0, l.InFlight())
}
