package wqplacer

import (
	"time"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqsend"
)

// Message is what a VM tells the placing VM of a service, and what it asks.
type Message struct {
	From    string   // From names the process that sends the message; it changes at a restart.
	Reports []Report // Reports are what happened to earlier requests, in order.
	Request *Request // Request asks for a searcher; nil for none.
}

// Request is a request that needs a searcher.
type Request struct {
	Number    uint64 // Number identifies the send, among those of the same process.
	Service   string
	Zone      string // Zone is the availability zone of the VM that sends.
	Kind      wqcost.Kind
	Typical   time.Duration // Typical is the mean latency of the route there.
	Remaining time.Duration // Remaining is the time until the deadline of the request.
	Objective time.Duration // Objective is the time until the objective of the request; 0 for none.
}

// Report tells that a send has started or ended.
type Report struct {
	Request  Request // Request has only Number and Service if the send has ended.
	Searcher string  // Searcher is the one it was sent to; empty if it was not sent.
	Ended    bool
	Outcome  wqsend.Outcome
}

// Advice is the searcher for a request.
type Advice struct {
	Searcher string        // Searcher is empty if there is none.
	Wait     time.Duration // Wait is how long the request is expected to wait there.
	Cost     time.Duration // Cost is the mean of its likely cost.
	Refuse   bool          // Refuse means that the request would wait for so long that it misses its objective.
}
