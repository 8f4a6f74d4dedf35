package wqretryquota_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqretryquota"
)

var terms = wqretryquota.Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

// TestFleetStaysWithinTheBoundInEveryWindow drives 7 VMs that spend whatever they
// are allowed, under load that changes, with VMs that restart at any moment.
func TestFleetStaysWithinTheBoundInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const fleet, tick = 7, 100 * time.Millisecond
		start := time.Unix(1000, 0)
		vms := make([]*wqretryquota.Quota, fleet)
		for i := range vms {
			vms[i] = wqretryquota.New(terms, start)
		}
		var requests, extras []int
		rate := 1
		for n := range 400 {
			now := start.Add(time.Duration(n) * tick)
			if n%50 == 0 {
				rate = rapid.IntRange(0, 3).Draw(t, "rate")
			}
			if rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				vms[rapid.IntRange(0, fleet-1).Draw(t, "vm")] = wqretryquota.New(terms, now)
			}
			asked, spent := 0, 0
			for _, a := range vms {
				for range rate {
					a.CountRequest(now, "s")
					asked++
				}
				for a.TrySpend(now, "s", fleet) {
					spent++
				}
			}
			requests, extras = append(requests, asked), append(extras, spent)
		}
		checkWindows(t, requests, extras, 100)
	})
}

// checkWindows checks every span of size ticks against the stated bound: the
// requests are those of the span, the one before or half a span before.
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
		if bound := terms.Ratio*float64(counted) + terms.Slack; float64(sum(extras, from)) > bound {
			t.Fatalf("window at tick %d: %d extra sends, allowed %.0f", from, sum(extras, from), bound)
		}
	}
}

func TestFreshVMHasNoShareOfTheSlackYet(t *testing.T) {
	start := time.Unix(1000, 0)
	a := wqretryquota.New(terms, start)
	must.False(t, a.TrySpend(start, "s", 7))
	must.True(t, a.TrySpend(start.Add(10*time.Second), "s", 7))
}
