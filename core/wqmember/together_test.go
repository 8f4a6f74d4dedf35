package wqmember_test

import (
	"fmt"
	"testing"
	"time"

	"wisteriaquay/core/wqmember"
)

// known returns the share of all pairs of VMs in which one knows that the other
// is alive.
func known(f *fleet) float64 {
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

// BenchmarkStartTogether reports, in simulated time, how long VMs that all start
// at one moment take to know each other. The product's promise is a fleet that
// serves again within 12 s; hubs and shares are right once the VMs are known.
func BenchmarkStartTogether(b *testing.B) {
	for _, size := range []int{30, 100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(size, 7)
				told := f.list()[:3] // A VM is told of three others.
				for _, n := range f.nodes {
					f.do(n, func() { n.SetVMList(f.now, told) })
				}
				most := f.until(time.Minute, func() bool { return known(f) >= 0.9 })
				all := most + f.until(time.Minute, func() bool { return known(f) == 1 })
				b.ReportMetric(most.Seconds(), "s-until-9-in-10")
				b.ReportMetric(all.Seconds(), "s-until-all")
			}
		})
	}
}
