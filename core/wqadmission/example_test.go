package wqadmission_test

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqadmission"
)

// Of three queries one runs and one is queued. The third is refused: its wait
// would take more than half of the time left.
func Example() {
	now := time.Unix(0, 0)
	g := wqadmission.NewGate(wqadmission.Bounds{Min: 1, Max: 1, Initial: 1})
	g.Admit(now, wqadmission.Query{ID: 1, Tenant: "bench", Deadline: now.Add(time.Second)})
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		g.Done(now, wqadmission.Outcome{RunTime: 20 * time.Millisecond, TimeToHalf: 15 * time.Millisecond})
		g.Admit(now, wqadmission.Query{ID: 1, Tenant: "bench", Deadline: now.Add(time.Second)})
	}
	longDeadline := wqadmission.Query{ID: 2, Tenant: "bench", Deadline: now.Add(time.Second)}
	shortDeadline := wqadmission.Query{ID: 3, Tenant: "bench", Deadline: now.Add(50 * time.Millisecond)}
	fmt.Println(g.Admit(now, longDeadline) == wqadmission.Queued, g.Admit(now, shortDeadline) == wqadmission.Overloaded)
	fmt.Println(g.Done(now, wqadmission.Outcome{RunTime: 20 * time.Millisecond}))
	// Output:
	// true true
	// [2]
}
