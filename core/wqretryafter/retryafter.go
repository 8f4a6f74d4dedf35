// Package wqretryafter says when callers whose request has not run should come back.
//
// # Usage
//
//	reply.RetryAfter = wqretryafter.NoCapacity
package wqretryafter

import "time"

const (
	// NoConfiguration is for a VM that has no configuration yet: the store's outage may
	// last, and a caller has few attempts. Callers wait a third of their time at
	// most, so that a longer advice only spreads their attempts.
	NoConfiguration = time.Second
	// NoCapacity is for a request that no searcher could take: long enough for a queue
	// to move on, short enough to be served within the objective.
	NoCapacity = 100 * time.Millisecond
)
