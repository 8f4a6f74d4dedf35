package wqselector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqselector"
)

// TestFleetStaysWithinColdRate lets each VM of a fleet pick a cold searcher as
// often as possible. In any second the fleet may send 1.5 times the rate plus 5
// requests.
func TestFleetStaysWithinColdRate(t *testing.T) {
	for _, rate := range []float64{2, 5, 20, 100} {
		for _, fleet := range []int{1, 7, 8, 30} {
			t.Run(fmt.Sprintf("%v a second, %d VMs", rate, fleet), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(rate), uint64(fleet)))
				from := targets("a")
				from[0].ColdStartEnd, from[0].ColdStartRate = now.Add(10*time.Second), rate
				vms := make([]wqselector.LeastLatency, fleet)
				for i := range vms {
					vms[i] = wqselector.LeastLatency{Tracker: wqselector.New(), Zone: "a", SenderCount: fleet}
				}
				const tick = 5 * time.Millisecond
				sent := make([]int, 2000)
				total := 0
				for n := range sent {
					for _, vm := range vms {
						if vm.Pick(now.Add(time.Duration(n)*tick), from, nil, typical, random.Uint64()) != nil {
							sent[n]++
							total++
						}
					}
				}
				for n := range len(sent) - 200 {
					sum := 0
					for _, s := range sent[n : n+200] {
						sum += s
					}
					must.LessEq(t, 1.5*rate+5, float64(sum))
				}
				must.GreaterEq(t, 4*rate, float64(total), must.Sprint("the searcher needs some requests to get warm"))
				must.NotNil(t, vms[0].Pick(now.Add(11*time.Second), from, nil, typical, 1))
			})
		}
	}
}

func TestColdSearcherWithoutRateIsNotLimited(t *testing.T) {
	from := targets("a")
	from[0].ColdStartEnd = now.Add(time.Minute)
	vm := wqselector.LeastLatency{Tracker: wqselector.New(), Zone: "a", SenderCount: 8}
	for range 100 {
		must.NotNil(t, vm.Pick(now, from, nil, typical, 1))
	}
}
