package wqhedge_test

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqhedge"
)

// One answer in twenty takes ten times as long as the others: the hedge is sent
// where the gap begins, within the budget.
func Example() {
	now := time.Unix(0, 0)
	h := wqhedge.NewQuantile(0.95, &wqbudget.Budget{Ratio: 0.05, Burst: 10, OverloadPause: time.Second})
	for i := range 400 {
		latency := 10 * time.Millisecond
		if i%20 == 0 {
			latency *= 10
		}
		h.Earn(1)
		h.Observe(now, latency)
	}
	delay, _ := h.HedgeDelay()
	fmt.Println(delay.Round(time.Millisecond), h.TrySpend(now, 10), h.TrySpend(now, 1))
	h.Earn(100)
	h.RecordOverload(now)
	fmt.Println(h.TrySpend(now, 1), h.TrySpend(now.Add(2*time.Second), 1))
	// Output:
	// 10ms true false
	// false true
}
