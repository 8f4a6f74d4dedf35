package wqticket_test

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqticket"
)

// The reply to a request is lost on its way to the caller, and the caller
// repeats the request under the same ticket.
func ExampleLedger() {
	now := time.Unix(1_000_000, 0)
	l := &wqticket.Ledger{
		VM: "vm1", Epoch: 1, Secret: []byte("random at every start"),
		TTL: 30 * time.Second, ResultRetention: time.Minute, MaxCount: 1000, MaxBytes: 1 << 20,
	}
	id, _ := l.Mint(now)
	order := wqticket.Content{Service: "orders", Shard: "o1", Body: []byte("one pump")}

	first, _ := l.Begin(id, order, now)
	fmt.Println("first may run:", first.Run)
	_ = l.Dispatch(id, wqticket.Dispatch{Holder: "vm2", Searcher: "s1"}, now.Add(time.Second), now)
	l.Settle(id, wqticket.Result{Outcome: wqticket.Done, Body: []byte("order 17")})

	second, _ := l.Begin(id, order, now)
	fmt.Println("second may run:", second.Run)
	fmt.Println("second gets:", string(second.Result.Body))
	// Output:
	// first may run: true
	// second may run: false
	// second gets: order 17
}
