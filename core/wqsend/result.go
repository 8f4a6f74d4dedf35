// Package wqsend holds the result of sending one request to one searcher as plain
// data, independent of the protocol that carries it.
//
// # Usage
//
//	r := wqsend.Result{Outcome: wqsend.Answered, Signature: signature, Body: body}
//	if r.Outcome.MayHaveRun() { ... do not send a request again that must run once ... }
package wqsend

import "time"

// Outcome is the result of a send, and with that whether the request may have
// run.
type Outcome uint8

// The outcomes.
const (
	Answered      Outcome = iota // Answered means that a complete, signed, successful answer to this request arrived.
	Declined                     // Declined means that the searcher reports that it did not run the request.
	WrongSearcher                // WrongSearcher means that another searcher answered at the address; it did not run the request.
	Unreachable                  // Unreachable means that nothing was sent.
	Failed                       // Failed means that the searcher answered with an error; the request may have run.
	Broken                       // Broken means a lost connection, no answer in time or a reply that violates the protocol; the request may have run.
	Withheld                     // Withheld means that this VM sent nothing: the searcher may not be used any more, or the wait for a connection ended.
	Cancelled                    // Cancelled means that this VM cancelled the send or its deadline passed; the request may have run.
)

// MayHaveRun reports whether the searcher may have started to run the request.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Declined, WrongSearcher, Unreachable, Withheld:
		return false
	}
	return true
}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "declined", "misplaced", "unreachable", "failed", "broken", "not_sent", "withdrawn"}[o]
}

// Result is the result of one send.
type Result struct {
	Outcome   Outcome
	Elapsed   time.Duration // from the send to its end
	Code      int           // status code of the searcher; 0 without an answer
	Header    map[string][]string
	Body      []byte
	Signature string // signature of the searcher over its answer; empty without one
	Reason    string // what went wrong, in a few words
}
