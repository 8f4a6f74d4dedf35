// Package wqadvice says when callers whose request has not run should come back.
//
// # Usage
//
//	reply.RetryAfter = wqadvice.Full
package wqadvice

import "time"

const (
	// Starting is for a VM that has no configuration yet; it comes within a
	// second of the store's return, and another VM may have it already.
	Starting = 300 * time.Millisecond
	// Full is for a request that no searcher could take: long enough for a queue
	// to move on, short enough to be served within the objective.
	Full = 100 * time.Millisecond
)
