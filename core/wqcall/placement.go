package wqcall

import "time"

// Placement tells why a call was sent to its first searcher. The zero value means that
// it was placed by the latency of earlier calls.
type Placement struct {
	By       string        // id of the VM that chose the searcher; empty if the placement was not by cost
	Searcher string        // searcher that another VM advised; empty without advice
	Cost     time.Duration // mean of the likely cost of the call
	Wait     time.Duration // expected time until the searcher starts the call, as far as the adviser knows
}
