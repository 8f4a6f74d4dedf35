package wqmember_test

import (
	"fmt"
	"testing"
	"time"

	"wisteriaquay/core/wqmember"
)

// discoveredFraction returns the fraction of ordered pairs of VMs in which the
// first one records the other one as alive.
func discoveredFraction(f *fleet) float64 {
	sum := 0
	for _, n := range f.nodes {
		for _, m := range n.Members() {
			if m.State == wqmember.Alive {
				sum++
			}
		}
	}
	return float64(sum) / float64(len(f.nodes)*len(f.nodes))
}

// BenchmarkSimultaneousStart reports, in simulated time, how long VMs that all
// start at the same time take to discover each other. The product promises a fleet
// that serves again within 12 s, and hubs and shares are correct only after the
// discovery.
func BenchmarkSimultaneousStart(b *testing.B) {
	for _, size := range []int{30, 100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(size, 7)
				seedVMs := f.vmList()[:3] // Each VM starts with the same three addresses.
				for _, n := range f.nodes {
					f.runStep(n, func() { n.SetVMList(f.now, seedVMs) })
				}
				untilMost := f.advanceUntil(time.Minute, func() bool { return discoveredFraction(f) >= 0.9 })
				untilAll := untilMost + f.advanceUntil(time.Minute, func() bool { return discoveredFraction(f) == 1 })
				b.ReportMetric(untilMost.Seconds(), "s-until-9-in-10")
				b.ReportMetric(untilAll.Seconds(), "s-until-all")
			}
		})
	}
}
