package wqcall

import "time"

// Status says how a call ended.
type Status uint8

// The ways that a call ends.
const (
	Answered     Status = iota // Answered means that the reply holds a searcher's whole answer, or merged records.
	NotRun                     // NotRun means that no searcher ran the call and none will.
	NoRoute                    // NoRoute means that the configuration has no route for the call.
	BodyTooLarge               // BodyTooLarge means that the body is over the limit; nothing ran.
	BodyTooSlow                // BodyTooSlow means that the body did not arrive within the time that the call may take; nothing ran.
	Malformed                  // Malformed means that the call lacks what every call needs; nothing ran.
	Unavailable                // Unavailable means that searchers failed; the call may have run.
	TimedOut                   // TimedOut means that the time ran out; the call may have run.
	CallerGone                 // CallerGone means that the caller left before the end.
)

// String returns the status's name in logs and metrics.
func (s Status) String() string {
	return [...]string{"answered", "not_run", "no_route", "too_large", "too_slow", "malformed", "unavailable", "timed_out", "caller_gone"}[s]
}

// Reply is how a call ended.
type Reply struct {
	Status     Status
	Reason     string        // Reason says in a few words what decided the status.
	RetryAfter time.Duration // RetryAfter is when a call that has not run may be sent again; 0 says nothing.
	Code       int           // Code is the searcher's own status code, for Answered calls to one searcher.
	Header     map[string][]string
	Body       []byte
	Stamps     []string // Stamps are the signatures of the merged parts, for calls to many shards.
	Missing    int      // Missing counts the shards that are left out.
	Sends      Sends
}

// Sends counts the requests to searchers that a call took.
type Sends struct {
	All   int
	Extra int // Extra counts those beyond the first to each service.
	Far   int // Far counts those to another availability zone.
}
