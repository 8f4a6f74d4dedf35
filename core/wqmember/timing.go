package wqmember

import (
	"time"

	"wisteriaquay/core/wqring"
)

// Timing holds the periods and bounds of a Machine; all VMs use the same.
type Timing struct {
	Rings                 wqring.Counts
	HeartbeatInterval     time.Duration // HeartbeatInterval is the time between two heartbeats that a VM sends.
	AckTimeout            time.Duration // AckTimeout is how long the transport waits for a reply.
	IndirectProbeTimeout  time.Duration // IndirectProbeTimeout is how long helpers have to reach a VM that missed a heartbeat.
	SuspicionTimeout      time.Duration // SuspicionTimeout is how long a suspected VM has to refute.
	FloodInterval         time.Duration // FloodInterval is the least time between two floods of urgent news.
	ReconnectInterval     time.Duration // ReconnectInterval is the time between two attempts to reach a dead or listed VM.
	SyncDelay             time.Duration // SyncDelay is how long digests differ before lists are exchanged.
	SyncIntervalPerMember time.Duration // SyncIntervalPerMember is the least time between two whole lists for each entry in them.
	TombstoneTTL          time.Duration // TombstoneTTL is how long dead and left VMs are remembered.
	ContactWindow         time.Duration // ContactWindow is how far back contact with peers is counted.
	PauseThreshold        time.Duration // PauseThreshold is the gap between two calls after which a VM takes itself for paused.
	HandoverDelay         time.Duration // HandoverDelay is how long a dead VM counts for isolation; the same as wqassignment's.
	MaxListLag            time.Duration // MaxListLag is how long the VM list may take to show or to drop a VM.
	RejoinDelay           time.Duration // RejoinDelay is how long an isolated VM must hear the others before it is back.
	MajorityDelay         time.Duration // MajorityDelay is how long isolated VMs wait for all others before a majority is enough.
	IndirectProbes        int           // IndirectProbes is how many VMs are asked to check one that missed a heartbeat.
	MaxChanges            int           // MaxChanges is the most changes in one message, whole lists apart.
	MaxMembers            int           // MaxMembers is the most VMs that are tracked.
}

// DefaultTiming returns the periods for the fleet sizes from 1 to 920 VMs.
func DefaultTiming() Timing {
	return Timing{
		Rings:                 wqring.Counts{Regional: 3, Global: 1},
		HeartbeatInterval:     500 * time.Millisecond,
		AckTimeout:            300 * time.Millisecond,
		IndirectProbeTimeout:  300 * time.Millisecond,
		SuspicionTimeout:      time.Second,
		FloodInterval:         250 * time.Millisecond,
		ReconnectInterval:     3 * time.Second,
		SyncDelay:             2 * time.Second,
		SyncIntervalPerMember: 200 * time.Millisecond,
		TombstoneTTL:          time.Hour,
		ContactWindow:         3 * time.Second,
		PauseThreshold:        3 * time.Second,
		HandoverDelay:         10 * time.Second,
		MaxListLag:            30 * time.Second,
		RejoinDelay:           2 * time.Second,
		MajorityDelay:         30 * time.Second,
		IndirectProbes:        3,
		MaxChanges:            6,
		MaxMembers:            4096,
	}
}
