// Package wqobservation holds what traffic goroutines tell the control goroutine.
//
// # Usage
//
// A holder sends a Target after each exchange with a searcher, on a bounded
// channel, and drops it when the channel is full: reports improve decisions
// and never carry a promise.
package wqobservation

import "time"

// Status is how one exchange with a searcher, or one sub-query, ended.
type Status uint8

// The ways that an exchange ends.
const (
	Answered     Status = iota // Answered means a whole, matching reply.
	SnapshotGone               // SnapshotGone means that the searcher no longer or not yet holds the snapshot asked.
	Shed                       // Shed means that the searcher refused for load, without running it.
	Draining                   // Draining means that the searcher leaves, without running it.
	NotRun                     // NotRun means that it did not run, by proof or by the searcher's word.
	Unreachable                // Unreachable means that no connection was made; nothing was sent.
	Expired                    // Expired means that the deadline passed; it may have run if it was sent.
	Broken                     // Broken means a lost connection or a reply that breaks the protocol.
	NotHolder                  // NotHolder means that the VM asked does not hold the searcher; nothing was sent.
	ZoneOut                    // ZoneOut means that the searcher's availability zone is taken out; nothing was sent.
)

// Observation is one observation of a searcher.
type Observation struct {
	SearcherID     string
	ObservedAt     time.Time
	Status         Status
	Latency        time.Duration // Latency is the time from writing the request to the end of the reply.
	Incarnation    string        // Incarnation is the searcher's own; it changes at every start.
	Cold           bool          // Cold is the searcher's own word in its reply.
	OldestSnapshot uint64        // OldestSnapshot is the oldest snapshot held; 0 is unknown.
	NewestSnapshot uint64        // NewestSnapshot is the newest snapshot held; 0 is unknown.
}
