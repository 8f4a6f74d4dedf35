// Package wqsend holds how one request to one searcher ended, as plain data,
// whatever protocol carried it.
//
// # Usage
//
//	r := wqsend.Result{Outcome: wqsend.Answered, Stamp: stamp, Body: body}
//	if r.Outcome.MayHaveRun() { ... no second send of a request that must not repeat ... }
package wqsend

import "time"

// Outcome says what a send proved.
type Outcome uint8

// The ways that a send ends.
const (
	Answered      Outcome = iota // Answered means a whole, signed, successful answer to this very request.
	Declined                     // Declined means that the searcher says it did not run the request.
	WrongSearcher                // WrongSearcher means that another searcher is at the address; it did not run the request.
	Unreachable                  // Unreachable means that nothing was sent.
	Failed                       // Failed means that the searcher answered with a failure of its own; it counts as run.
	Broken                       // Broken means a lost connection, no answer in time or bytes that are no answer; it may have run.
	Cancelled                    // Cancelled means that this VM gave the send up; it may have run.
)

// MayHaveRun reports whether the searcher may have begun to work.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Declined, WrongSearcher, Unreachable:
		return false
	}
	return true
}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "declined", "misplaced", "unreachable", "failed", "broken", "withdrawn"}[o]
}

// Result is how one send ended.
type Result struct {
	Outcome   Outcome
	Elapsed   time.Duration // Elapsed is the time from the send to its end.
	Code      int           // Code is the searcher's status code; 0 without an answer.
	Header    map[string][]string
	Body      []byte
	Signature string // Signature is the searcher's signature of its answer; empty without one.
	Reason    string // Reason says in a few words what went wrong.
}
