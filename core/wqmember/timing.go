package wqmember

import (
	"time"

	"wisteriaquay/core/wqring"
)

// Timing holds the periods and bounds of a Machine; all VMs use the same.
type Timing struct {
	Rings        wqring.Counts
	Period       time.Duration // Period is the time between two heartbeats that a VM sends.
	AckTimeout   time.Duration // AckTimeout is how long the transport waits for a reply.
	CheckTimeout time.Duration // CheckTimeout is how long helpers have to reach a VM that missed a heartbeat.
	Suspicion    time.Duration // Suspicion is how long a suspected VM has to refute.
	FloodEvery   time.Duration // FloodEvery is the least time between two floods of urgent news.
	Reconnect    time.Duration // Reconnect is the time between two attempts to reach a dead or listed VM.
	SyncAfter    time.Duration // SyncAfter is how long digests differ before lists are exchanged.
	SyncCost     time.Duration // SyncCost is the least time between two whole lists for each entry in them.
	Forget       time.Duration // Forget is how long dead and left VMs are remembered.
	Isolation    time.Duration // Isolation is how far back contact with peers is counted.
	Frozen       time.Duration // Frozen is the gap between two calls after which a VM takes itself for paused.
	Handover     time.Duration // Handover is how long a dead VM counts for isolation; the same as wqhold's.
	ListLag      time.Duration // ListLag is how long the VM list may take to show or to drop a VM.
	Settle       time.Duration // Settle is how long an isolated VM must hear the others before it is back.
	Patience     time.Duration // Patience is how long isolated VMs wait for all others before a majority is enough.
	Helpers      int           // Helpers is how many VMs are asked to check one that missed a heartbeat.
	Changes      int           // Changes is the most changes in one message, whole lists apart.
	Members      int           // Members is the most VMs that are tracked.
}

// DefaultTiming returns the periods for the fleet sizes from 1 to 920 VMs.
func DefaultTiming() Timing {
	return Timing{
		Rings:        wqring.Counts{Regional: 3, Global: 1},
		Period:       500 * time.Millisecond,
		AckTimeout:   300 * time.Millisecond,
		CheckTimeout: 300 * time.Millisecond,
		Suspicion:    time.Second,
		FloodEvery:   250 * time.Millisecond,
		Reconnect:    3 * time.Second,
		SyncAfter:    2 * time.Second,
		SyncCost:     200 * time.Millisecond,
		Forget:       time.Hour,
		Isolation:    3 * time.Second,
		Frozen:       3 * time.Second,
		Handover:     10 * time.Second,
		ListLag:      30 * time.Second,
		Settle:       2 * time.Second,
		Patience:     30 * time.Second,
		Helpers:      3,
		Changes:      6,
		Members:      4096,
	}
}
