package wqmember

import (
	"time"

	"wisteriaquay/core/wqring"
)

// Timing holds the intervals, timeouts and bounds of a Tracker. All VMs of a
// fleet use the same.
type Timing struct {
	Rings                 wqring.Counts
	HeartbeatInterval     time.Duration   // HeartbeatInterval is the time between two heartbeats that a VM sends.
	AckTimeout            time.Duration   // AckTimeout is how long the transport waits for a reply.
	IndirectProbeTimeout  time.Duration   // IndirectProbeTimeout is how long other VMs have to reach a VM that missed a heartbeat.
	SuspicionTimeout      time.Duration   // SuspicionTimeout is how long a suspect has to refute before it is marked dead.
	FloodInterval         time.Duration   // FloodInterval is the minimum time between two floods of urgent changes.
	ReconnectInterval     time.Duration   // ReconnectInterval is the time between two attempts to reach a dead or unknown listed VM.
	SyncDelay             time.Duration   // SyncDelay is how long digests differ before the full list is requested.
	SyncIntervalPerMember time.Duration   // SyncIntervalPerMember is the minimum time between two requests of a full list, for each member.
	StartListDelays       []time.Duration // StartListDelays are the times after the start at which a full list is requested.
	TombstoneTTL          time.Duration   // TombstoneTTL is how long dead and left VMs are kept.
	ContactWindow         time.Duration   // ContactWindow is how far back replies and missing replies are counted; see Isolated.
	PauseThreshold        time.Duration   // PauseThreshold is the time between two calls from which the process is treated as paused.
	HandoverDelay         time.Duration   // HandoverDelay is how long a dead VM counts for the quorum; the same as in wqassignment.
	MaxListLag            time.Duration   // MaxListLag bounds the time until the VM list contains a started VM or drops a stopped one.
	RejoinDelay           time.Duration   // RejoinDelay is how long an isolated VM must reach a quorum before its isolation ends.
	MajorityDelay         time.Duration   // MajorityDelay is how long an isolated VM without voters waits for all others; then a majority is enough.
	IndirectProbeCount    int             // IndirectProbeCount is how many VMs are requested to probe one that missed a heartbeat.
	MaxChanges            int             // MaxChanges is the maximum number of changes in one message, except in floods and full lists.
	MaxMembers            int             // MaxMembers is the maximum number of other VMs that are tracked.
}

// DefaultTiming returns the values for fleets of 1 to 920 VMs.
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
		StartListDelays:       []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second},
		TombstoneTTL:          time.Hour,
		ContactWindow:         3 * time.Second,
		PauseThreshold:        3 * time.Second,
		HandoverDelay:         10 * time.Second,
		MaxListLag:            30 * time.Second,
		RejoinDelay:           2 * time.Second,
		MajorityDelay:         30 * time.Second,
		IndirectProbeCount:    3,
		MaxChanges:            6,
		MaxMembers:            4096,
	}
}
