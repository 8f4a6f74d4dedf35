package wqretryquota_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqretryquota"
)

var limits = wqretryquota.Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

// TestFleetStaysWithinLimitsInEveryWindow drives 7 VMs that spend as much as
// their quotas allow, under changing load, while VMs restart at random times.
func TestFleetStaysWithinLimitsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const fleet, tick = 7, 100 * time.Millisecond
		start := time.Unix(1000, 0)
		vms := make([]*wqretryquota.Quota, fleet)
		for i := range vms {
			vms[i] = wqretryquota.New(limits, start)
		}
		var requests, extras []int
		rate := 1
		for n := range 400 {
			now := start.Add(time.Duration(n) * tick)
			if n%50 == 0 {
				rate = rapid.IntRange(0, 3).Draw(t, "rate")
			}
			if rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				vms[rapid.IntRange(0, fleet-1).Draw(t, "vm")] = wqretryquota.New(limits, now)
			}
			requestCount, spent := 0, 0
			for _, q := range vms {
				for range rate {
					q.CountRequest(now, "s")
					requestCount++
				}
				for q.TrySpend(now, "s", fleet) {
					spent++
				}
			}
			requests, extras = append(requests, requestCount), append(extras, spent)
		}
		checkWindows(t, requests, extras, 100)
	})
}

// checkWindows checks every window of size ticks against the limits. The
// requests counted are the maximum of those in the window, in the one before,
// and in the one that starts half a window earlier.
func checkWindows(t *rapid.T, requests, extras []int, size int) {
	sum := func(counts []int, from int) int {
		total := 0
		for i := max(from, 0); i < from+size && i < len(counts); i++ {
			total += counts[i]
		}
		return total
	}
	for from := range len(extras) - size {
		counted := max(sum(requests, from), sum(requests, from-size), sum(requests, from-size/2))
		if bound := limits.Ratio*float64(counted) + limits.Slack; float64(sum(extras, from)) > bound {
			t.Fatalf("window at tick %d: %d extra sends, allowed %.0f", from, sum(extras, from), bound)
		}
	}
}

func TestNewVMHasNoShareOfSlack(t *testing.T) {
	start := time.Unix(1000, 0)
	q := wqretryquota.New(limits, start)
	must.False(t, q.TrySpend(start, "s", 7))
	must.True(t, q.TrySpend(start.Add(10*time.Second), "s", 7))
}

// Guards against a quota that panics in every later call for a service, because the
// first request counted there arrived at another VM before this VM started.
func TestRequestReceivedBeforeTheStartIsCounted(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, age := range []time.Duration{time.Millisecond, 2 * time.Second, 90 * time.Second, time.Duration(1<<63 - 1)} {
		q := wqretryquota.New(limits, start)
		q.CountRequest(start.Add(-age), "s")
		for range 100 {
			q.CountRequest(start.Add(time.Second), "s")
		}
		must.True(t, q.TrySpend(start.Add(time.Second), "s", 7))
		must.False(t, q.TrySpend(start.Add(time.Hour), "s", 1<<30), must.Sprint("the requests have left the window"))
	}
}
