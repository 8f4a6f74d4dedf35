package wqcall

import "time"

// Status is the outcome of a call.
type Status uint8

// The statuses.
const (
	Answered     Status = iota // Answered means that the reply holds the complete answer of a searcher, or merged records.
	NotRun                     // NotRun means that no searcher ran the call and none will.
	NoRoute                    // NoRoute means that the configuration has no route for the call.
	BodyTooLarge               // BodyTooLarge means that the body exceeds the limit; nothing ran.
	BodyTooSlow                // BodyTooSlow means that the body did not arrive before the deadline of the call; nothing ran.
	Malformed                  // Malformed means that a required field of the call is missing; nothing ran.
	Unavailable                // Unavailable means that the searchers failed; the call may have run.
	TimedOut                   // TimedOut means that the deadline passed; the call may have run.
	CallerGone                 // CallerGone means that the caller disconnected before the end; the call may have run.
	Unauthorized               // Unauthorized means that the call carries no key, or one that the configuration in force does not know; nothing ran.
	OverQuota                  // OverQuota means that the quota of the client account is used up; nothing ran.
)

// String returns the name of the status in logs and metrics.
func (s Status) String() string {
	return [...]string{"answered", "not_run", "no_route", "too_large", "too_slow", "malformed", "unavailable", "timed_out", "caller_gone", "unauthorized", "over_quota"}[s]
}

// Reply is the result of a call.
type Reply struct {
	Status     Status
	Reason     string        // cause of the status, in a few words
	RetryAfter time.Duration // delay before a call that has not run may be retried; 0 means unspecified
	Code       int           // status code of the searcher, for Answered calls to one searcher
	Header     map[string][]string
	Body       []byte
	Stamps     []string // signatures of the merged answers, for calls to many shards
	Missing    int      // number of shards that are left out of the merged answer
	Sends      Sends
	Hub        string    `json:"-"` // id of the VM that ran the fan-out, empty for this one
	HubZone    string    `json:"-"` // availability zone of that VM
	Placement  Placement `json:"-"` // why the first searcher was chosen
}

// Sends counts the requests that a call sent to searchers.
type Sends struct {
	All   int
	Extra int // beyond the first to each service, such as retries and hedges
	Far   int // to another availability zone
}
