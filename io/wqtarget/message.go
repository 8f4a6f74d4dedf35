package wqtarget

import (
	"wisteriaquay/core/wqobservation"
)

// Query is one sub-query of a batch.
type Query struct {
	RequestID       string  `json:"request_id"`
	Service         string  `json:"service"`
	Shard           string  `json:"shard"`
	Snapshot        uint64  `json:"snapshot"` // Requested snapshot; 0 requests the newest.
	Body            []byte  `json:"body"`
	Limit           int     `json:"limit"`
	RemainingMillis float64 `json:"remaining_millis"` // Time left when the request is encoded, in milliseconds.
}

// Row is one row of a Result.
type Row struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Body  []byte  `json:"body"`
}

// Result is the answer to one Query.
type Result struct {
	RequestID string  `json:"request_id"`
	Shard     string  `json:"shard"`
	Snapshot  uint64  `json:"snapshot"`
	Matched   uint32  `json:"matched"` // Number of matching rows before the limit was applied.
	Rows      []Row   `json:"rows"`
	Refusal   Refusal `json:"refusal,omitempty"`
}

// SearchReply is the answer to a batch. The results are in the order of the
// queries. The fields before Results are also set when the searcher refuses the
// whole batch.
type SearchReply struct {
	Incarnation    string   `json:"incarnation"`
	Cold           bool     `json:"cold"` // The searcher is in cold start.
	OldestSnapshot uint64   `json:"oldest"`
	NewestSnapshot uint64   `json:"newest"`
	Results        []Result `json:"results,omitempty"`
	Refusal        Refusal  `json:"refusal,omitempty"`
}

// WriteRequest is one write-like request.
type WriteRequest struct {
	RequestID       string  `json:"request_id"`
	Service         string  `json:"service"`
	Shard           string  `json:"shard"`
	Body            []byte  `json:"body"`
	RemainingMillis float64 `json:"remaining_millis"` // Time left when the request is encoded, in milliseconds.
}

// WriteReply is the answer to a WriteRequest.
type WriteReply struct {
	Incarnation string  `json:"incarnation"`
	Cold        bool    `json:"cold"` // The searcher is in cold start.
	RequestID   string  `json:"request_id"`
	Body        []byte  `json:"body"`
	Refusal     Refusal `json:"refusal,omitempty"`
}

// Health is the state that a searcher reports of itself. It may be outdated or
// wrong.
type Health struct {
	Ready          bool    `json:"ready"`
	Load           float64 `json:"load"`
	Cold           bool    `json:"cold"`
	Draining       bool    `json:"draining"`
	Incarnation    string  `json:"incarnation"`
	OldestSnapshot uint64  `json:"oldest"`
	NewestSnapshot uint64  `json:"newest"`
}

// Refusal is the reason with which a searcher declares that it did not run a
// request.
type Refusal string

// Refusals that the protocol defines.
const (
	RefusalShed         Refusal = "shed"          // too much load
	RefusalDraining     Refusal = "draining"      // the searcher is shutting down
	RefusalNotRun       Refusal = "not_run"       // any other reason
	RefusalSnapshotGone Refusal = "snapshot_gone" // the searcher no longer has the requested snapshot
)

// Status returns the status of a request with this refusal: Answered if it is
// empty, Broken if the protocol does not define it.
func (r Refusal) Status() wqobservation.Status {
	switch r {
	case "":
		return wqobservation.Answered
	case RefusalShed:
		return wqobservation.Shed
	case RefusalDraining:
		return wqobservation.Draining
	case RefusalNotRun:
		return wqobservation.NotRun
	case RefusalSnapshotGone:
		return wqobservation.SnapshotGone
	}
	return wqobservation.Broken
}
