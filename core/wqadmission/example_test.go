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
	g := wqadmission.NewGate(wqadmission.Bounds{Min: 1, Max: 1, Initial: 1})
	g.Admit(now, wqadmission.Query{ID: 1, Tenant: "bench", Deadline: now.Add(time.Second)})
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		g.Done(now, wqadmission.Outcome{RunTime: 20 * time.Millisecond, TimeToHalf: 15 * time.Millisecond})
		g.Admit(now, wqadmission.Query{ID: 1, Tenant: "bench", Deadline: now.Add(time.Second)})
	}
	patient := wqadmission.Query{ID: 2, Tenant: "bench", Deadline: now.Add(time.Second)}
	hasty := wqadmission.Query{ID: 3, Tenant: "bench", Deadline: now.Add(50 * time.Millisecond)}
	fmt.Println(g.Admit(now, patient) == wqadmission.Queued, g.Admit(now, hasty) == wqadmission.Overloaded)
	fmt.Println(g.Done(now, wqadmission.Outcome{RunTime: 20 * time.Millisecond}))
	// Output:
	// true true
	// [2]
}
