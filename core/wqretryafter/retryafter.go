// Package wqretryafter holds the delays after which a caller should retry a
// request that has not run.
//
// # Usage
//
//	reply.RetryAfter = wqretryafter.NoCapacity
package wqretryafter

import "time"

const (
	// NoConfiguration is for a VM that has no configuration yet. An outage of
	// the store may last, and a caller has few attempts. Callers wait at most a
	// third of their total time, so a longer delay only spreads their attempts.
	NoConfiguration = time.Second
	// Stopping is for a request that a stopping VM refuses: another VM can serve it
	// at once.
	Stopping = 10 * time.Millisecond
	// NoCapacity is for a request that no searcher could take: long enough for
	// a queue to shrink, short enough for the retry to meet the objective.
	NoCapacity = 100 * time.Millisecond
)
