// Package wqmember tracks the members of the fleet, as the SWIM protocol does, by
// heartbeats with piggybacked membership changes. In steady state a VM sends a
// constant number of messages per second, independent of the fleet's size.
//
// A VM that misses a heartbeat is probed through other VMs. When none of them
// reaches it, it becomes suspect, and dead unless it refutes in time. A VM
// refutes by raising its incarnation number; changes with a lower incarnation
// are ignored. Heartbeats go to fixed neighbours, see package wqring, and urgent
// changes to all neighbours at once, at a bounded rate. Each heartbeat carries a
// digest of the member list, and when digests stay different the full list is
// exchanged (anti-entropy). The platform's VM list only provides addresses to
// contact; it never changes the state of a member.
//
// # Usage
//
// The control goroutine owns one Tracker and sends the messages that Tick
// returns:
//
//	t := wqmember.Tracker{Self: self, Random: random, Timing: wqmember.DefaultTiming()}
//	t.Start(now)
//	t.SetVMList(now, list)
//	for _, e := range t.Tick(now) { ... }
//
// It calls Tick again at NextTick, and after each HandleMessage, HandleReply and
// HandleNoReply. Pass each Envelope to HandleReply when its reply is received,
// or to HandleNoReply when there is none after Timing.AckTimeout.
package wqmember

import "time"

// State is the state of a VM as another one records it.
type State uint8

// The states, from best to worst. Within one incarnation a worse state overrides
// a better one.
const (
	Alive   State = iota // Alive VMs answer heartbeats.
	Suspect              // Suspect VMs missed a heartbeat and may still refute it.
	Leaving              // Leaving VMs announced a graceful stop; they accept no new work.
	Dead                 // Dead VMs did not refute a suspicion in time; they may still run unreachably.
	Left                 // Left VMs announced that they finished, or were replaced at their address.
)

// Live reports whether s is Alive, Suspect or Leaving.
func (s State) Live() bool { return s < Dead }

// Member is the entry of a VM in the member list.
type Member struct {
	ID          string
	Address     string // Address is host:port of the peer listener; empty when the receiver has it already.
	Zone        string
	Region      string
	Incarnation uint64 // Incarnation grows at every start, refuted suspicion and change of Isolated; it starts at Epoch.
	Epoch       uint64 // Epoch is the start time of the process in Unix milliseconds; tickets contain it.
	State       State
	Isolated    bool   // Isolated is true while the VM may be partitioned from its region; see Tracker.Isolated.
	Revision    uint64 // Revision is the configuration revision that the VM last reported to be in force.
	Capacity    int    // Capacity is the VM's CPU capacity in thousandths of a core; 0 means unknown.
}

// overrides reports whether m replaces current, an entry of the same VM.
func (m Member) overrides(current Member) bool {
	if m.Incarnation != current.Incarnation {
		return m.Incarnation > current.Incarnation
	}
	return m.State > current.State
}

// withoutStaticFields returns m without the fields that stay the same while the
// process runs, for receivers that already have them.
func (m Member) withoutStaticFields() Member {
	m.Address, m.Zone, m.Region, m.Capacity = "", "", "", 0
	return m
}

// Message is one heartbeat or its reply.
type Message struct {
	From         Member
	Changes      []Member
	ProbeID      string // ProbeID is the id of the VM that the receiver is requested to probe; empty for none.
	RequestsList bool   // RequestsList requests the full member list.
	Full         bool   // Full is true when Changes is the full member list.
	Digest       uint64 // Digest is a hash of the sender's live members, independent of their order.
}

// Envelope is a message to send. To.ID may be empty or differ from the VM that
// answers when only the address is known.
type Envelope struct {
	To       Member
	QueuedAt time.Time // QueuedAt is when the Tracker created it.
	Message  Message
}

// ListedVM is one entry of the platform's VM list.
type ListedVM struct {
	ID       string
	Address  string // Address is host:port of the peer listener.
	Zone     string
	Region   string
	Stopping bool // Stopping is true when the platform is about to stop the VM.
}
