package wqquotagate_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqbound"
	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqquotagate"
)

var (
	bound = wqbound.Quota{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	limit = wqquota.Limit{Rate: 10, Burst: 10, Bound: bound} // 60 in a window, at most 86.
	start = time.Unix(1000, 0)
)

// Guards against a VM that admits without an owner what the others may use, or what it has
// used before a restart.
func TestShareWithoutAnOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 300).Draw(t, "vms")
		l := wqquota.Limit{Rate: rapid.Float64Range(0.1, 500).Draw(t, "rate"), Bound: bound}
		if l.Quota() <= bound.Slack {
			l.Rate *= 100
		}
		total := 0
		for i := range vms {
			g := &wqquotagate.Gate[wqquotagate.FreeAndStrict]{Bound: bound, StartedAt: start, FirstStart: true, Random: func() float64 { return (float64(i) + 0.5) / float64(vms) }}
			for at := time.Duration(0); at < bound.Window; at += bound.Window / 50 {
				for ok := true; ok; {
					if ok, _ = g.TryShare(start.Add(at), "t", l, vms); ok {
						total++
					}
				}
			}
		}
		if float64(total) > l.Quota()+1 {
			t.Fatalf("%d VMs admit %d of %v", vms, total, l.Quota())
		}
	})
	g := &wqquotagate.Gate[wqquotagate.FreeAndStrict]{Bound: bound, StartedAt: start, Random: func() float64 { return 0.9 }}
	ok, wait := g.TryShare(start.Add(time.Second), "t", limit, 3)
	must.False(t, ok, must.Sprint("its own requests before the start are unknown"))
	must.Eq(t, 4*time.Second, wait)
	choice, _ := g.Choose(start.Add(time.Second), "t")
	must.Eq(t, wqquotagate.AskOwner, choice)
}
