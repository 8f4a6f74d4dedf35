// Package wqobservation holds what the traffic goroutines report to the control
// goroutine about searchers.
//
// # Usage
//
// A holder sends an Observation after each exchange with a searcher, on a bounded
// channel, and drops it when the channel is full. Observations improve decisions;
// correctness never depends on their delivery.
package wqobservation

import "time"

// Status is the outcome of one exchange with a searcher or of one sub-query.
type Status uint8

// The statuses.
const (
	Answered     Status = iota // Answered means that a complete reply to this request arrived.
	SnapshotGone               // SnapshotGone means that the searcher does not hold the requested snapshot, no longer or not yet.
	Shed                       // Shed means that the searcher refused the request for load; it did not run.
	Draining                   // Draining means that the searcher refused the request because it is draining; it did not run.
	NotRun                     // NotRun means that the request did not run, as proven here or reported by the searcher.
	Unreachable                // Unreachable means that no connection could be opened; nothing was sent.
	Expired                    // Expired means that the deadline passed; the request may have run if it was sent.
	Broken                     // Broken means that the connection was lost or the reply violates the protocol; the request may have run.
	NotHolder                  // NotHolder means that the VM is not a holder of the searcher; nothing was sent.
	ZoneOut                    // ZoneOut means that the availability zone of the searcher is out; nothing was sent.
)

// Observation is the result of one exchange with a searcher.
type Observation struct {
	SearcherID     string
	ObservedAt     time.Time // end of the exchange
	Status         Status
	Latency        time.Duration // from writing the request to the end of the reply
	Incarnation    string        // reported by the searcher; changes whenever it starts
	Cold           bool          // reported by the searcher: it is in its cold start
	OldestSnapshot uint64        // oldest snapshot that the searcher holds; 0 means unknown
	NewestSnapshot uint64        // newest snapshot that the searcher holds; 0 means unknown
}
