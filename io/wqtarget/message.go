package wqtarget

import (
	"wisteriaquay/core/wqobservation"
)

// Query is one sub-query of a batch.
type Query struct {
	RequestID       string  `json:"request_id"`
	Service         string  `json:"service"`
	Shard           string  `json:"shard"`
	Snapshot        uint64  `json:"snapshot"` // Snapshot is the one asked for; 0 asks for the newest.
	Body            []byte  `json:"body"`
	Limit           int     `json:"limit"`
	RemainingMillis float64 `json:"remaining_millis"` // RemainingMillis is the time left when the request is written, in milliseconds.
}

// Row is one match.
type Row struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Body  []byte  `json:"body"`
}

// Result is the searcher's answer to one Query.
type Result struct {
	RequestID string  `json:"request_id"`
	Shard     string  `json:"shard"`
	Snapshot  uint64  `json:"snapshot"`
	Matched   uint32  `json:"matched"` // Matched is how many rows matched before the limit.
	Rows      []Row   `json:"rows"`
	Refusal   Refusal `json:"refusal,omitempty"`
}

// SearchReply is the searcher's answer to a batch, in the order of the queries. The
// fields before Results are also set when the searcher refuses the batch.
type SearchReply struct {
	Incarnation    string   `json:"incarnation"`
	Cold           bool     `json:"cold"`
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
	RemainingMillis float64 `json:"remaining_millis"` // RemainingMillis is the time left when the request is written, in milliseconds.
}

// WriteReply is the searcher's answer to a Write.
type WriteReply struct {
	Incarnation string  `json:"incarnation"`
	Cold        bool    `json:"cold"`
	RequestID   string  `json:"request_id"`
	Body        []byte  `json:"body"`
	Refusal     Refusal `json:"refusal,omitempty"`
}

// Health is what a searcher says of itself; it may lag or be wrong.
type Health struct {
	Ready          bool    `json:"ready"`
	Load           float64 `json:"load"`
	Cold           bool    `json:"cold"`
	Draining       bool    `json:"draining"`
	Incarnation    string  `json:"incarnation"`
	OldestSnapshot uint64  `json:"oldest"`
	NewestSnapshot uint64  `json:"newest"`
}

// Refusal is the searcher's word that it did not run a request.
type Refusal string

// The refusals of the protocol.
const (
	RefusalShed         Refusal = "shed"          // RefusalShed means too much load.
	RefusalDraining     Refusal = "draining"      // RefusalDraining means that the searcher leaves.
	RefusalNotRun       Refusal = "not_run"       // RefusalNotRun means any other reason.
	RefusalSnapshotGone Refusal = "snapshot_gone" // RefusalSnapshotGone means that the snapshot asked is not held.
)

// Status returns how an exchange with this refusal ended; Answered when there
// is no refusal and Broken when the protocol does not know it.
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
