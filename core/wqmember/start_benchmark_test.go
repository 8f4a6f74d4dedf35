package wqmember_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

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

// startTogether starts a fleet whose VMs all start at the same time and have the
// same three seeds. It returns the simulated times until 9 in 10 pairs of VMs, and
// until all, have discovered each other, each a multiple of 250 ms, at most limit.
func startTogether(size int, limit time.Duration) (most, all time.Duration) {
	f := newFleet(size, 7)
	seedVMs := f.vmList()[:3]
	for _, n := range f.nodes {
		f.runStep(n, func() { n.SetVMList(f.now, seedVMs) })
	}
	elapsed := time.Duration(0)
	for fraction := 0.0; fraction < 1 && elapsed < limit; fraction = discoveredFraction(f) {
		f.advance(250 * time.Millisecond)
		elapsed += 250 * time.Millisecond
		if fraction < 0.9 {
			most = elapsed
		}
	}
	return most, elapsed
}

// VMs that all start together must know each other before the caller's traffic is
// due to be served again, 12 s after the start. Until then hubs and shares of limits
// are computed from a part of the fleet.
func TestVMsThatStartTogetherDiscoverEachOther(t *testing.T) {
	_, all := startTogether(100, 30*time.Second)
	must.Less(t, 12*time.Second, all)
}

// BenchmarkSimultaneousStart reports, in simulated time, how long VMs that all
// start at the same time take to discover each other.
func BenchmarkSimultaneousStart(b *testing.B) {
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				most, all := startTogether(size, time.Minute)
				b.ReportMetric(most.Seconds(), "s-until-9-in-10")
				b.ReportMetric(all.Seconds(), "s-until-all")
			}
		})
	}
}
