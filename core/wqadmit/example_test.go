package wqadmit_test

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqadmit"
)

// Of three queries one runs and one waits; the third would have to wait for
// longer than half of its time.
func Example() {
	now := time.Unix(0, 0)
	g := wqadmit.NewGate(wqadmit.Bounds{Least: 1, Most: 1, First: 1})
	g.Arrive(now, wqadmit.Ask{ID: 1, Tenant: "bench", Deadline: now.Add(time.Second)})
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		g.Done(now, wqadmit.Outcome{Held: 20 * time.Millisecond, Half: 15 * time.Millisecond})
		g.Arrive(now, wqadmit.Ask{ID: 1, Tenant: "bench", Deadline: now.Add(time.Second)})
	}
	patient := wqadmit.Ask{ID: 2, Tenant: "bench", Deadline: now.Add(time.Second)}
	hasty := wqadmit.Ask{ID: 3, Tenant: "bench", Deadline: now.Add(50 * time.Millisecond)}
	fmt.Println(g.Arrive(now, patient) == wqadmit.Wait, g.Arrive(now, hasty) == wqadmit.Overloaded)
	fmt.Println(g.Done(now, wqadmit.Outcome{Held: 20 * time.Millisecond}))
	// Output:
	// true true
	// [2]
}
