// Package wqtime compares times.
//
// # Usage
//
//	next := wqtime.Earlier(deadline, retryAt)
package wqtime

import "time"

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
