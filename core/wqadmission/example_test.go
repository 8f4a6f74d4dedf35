package wqadmission_test

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqadmission"
)

// Of three queries one runs and one waits; the third would have to wait for
// longer than half of its time.
func Example() {
	now := time.Unix(0, 0)
	g := wqadmission.NewGate(wqadmission.Bounds{Least: 1, Most: 1, First: 1})
	g.Arrive(now, wqadmission.Ask{ID: 1, Tenant: "bench", Deadline: now.Add(time.Second)})
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		g.Done(now, wqadmission.Outcome{Held: 20 * time.Millisecond, Half: 15 * time.Millisecond})
		g.Arrive(now, wqadmission.Ask{ID: 1, Tenant: "bench", Deadline: now.Add(time.Second)})
	}
	patient := wqadmission.Ask{ID: 2, Tenant: "bench", Deadline: now.Add(time.Second)}
	hasty := wqadmission.Ask{ID: 3, Tenant: "bench", Deadline: now.Add(50 * time.Millisecond)}
	fmt.Println(g.Arrive(now, patient) == wqadmission.Wait, g.Arrive(now, hasty) == wqadmission.Overloaded)
	fmt.Println(g.Done(now, wqadmission.Outcome{Held: 20 * time.Millisecond}))
	// Output:
	// true true
	// [2]
}
