// Package wqmember tracks which VMs take part, by heartbeats with piggybacked
// changes, at a constant number of messages a second whatever the fleet's size.
//
// The decisions are those of SWIM: a VM that misses a heartbeat is checked
// through other VMs, then suspected, and dead when it doesn't refute in time.
// A VM refutes by raising its incarnation number, and rumours lose against a
// higher incarnation. Peers are fixed neighbours, see package wqring; urgent
// news goes to all of them at once, at a bounded rate. Digests of the member
// list travel with each heartbeat, and lists that stay different are exchanged
// whole. The VM list only names addresses to try: it never ends a member.
//
// # Usage
//
// The control goroutine owns one Machine and sends what Tick returns:
//
//	m := wqmember.Tracker{Self: self, Random: random, Timing: wqmember.DefaultTiming()}
//	m.Start(now)
//	m.Seed(now, listed)
//	for _, s := range m.Tick(now) { ... }
//
// It calls Tick again at Next, and after each Receive, Ack and Failed. Each
// Send goes back in one Ack or one Failed, the latter after Timing.AckTimeout.
package wqmember

import "time"

// State is what is believed of a VM.
type State uint8

// The states, from best to worst; within one incarnation a worse state wins.
const (
	Alive   State = iota // Alive VMs answer heartbeats.
	Suspect              // Suspect VMs missed a heartbeat and may still refute it.
	Leaving              // Leaving VMs said that they stop; they take no new work.
	Dead                 // Dead VMs missed their suspicion time; they may run on, out of reach.
	Left                 // Left VMs said that they finished, or were replaced at their address.
)

// Live reports whether a VM in this state runs as far as is known.
func (s State) Live() bool { return s < Dead }

// Member is what one VM knows of another.
type Member struct {
	ID          string
	Address     string // Address is host:port of the peer listener; empty in a change about a VM that the receiver knows.
	Zone        string
	Region      string
	Incarnation uint64 // Incarnation grows at every start and every refuted suspicion; it starts as the epoch.
	Epoch       uint64 // Epoch is the start of the process in Unix milliseconds; tickets name it.
	State       State
	Isolated    bool   // Isolated is true while it takes itself for cut off; each change comes with a higher incarnation.
	Revision    uint64 // Revision is the configuration it last reported in force.
	Capacity    int    // Capacity is what it can carry, in thousandths of a core; 0 is unknown.
}

// newer reports whether the change m overrides what is known of the same VM.
func (m Member) newer(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// brief returns m without what a receiver that knows the VM has already.
func (m Member) brief() Member {
	m.Address, m.Zone, m.Region, m.Capacity = "", "", "", 0
	return m
}

// Message is one heartbeat or its reply.
type Message struct {
	From         Member
	Changes      []Member
	ProbeID      string // ProbeID is the id of a VM that the receiver is asked to check; empty for none.
	RequestsList bool   // RequestsList asks for the whole member list.
	Full         bool   // Full is true when Changes is the whole member list.
	Digest       uint64 // Digest sums up the sender's live members; it is the same for the same set.
}

// Envelope is a message to deliver. To.ID is empty or differs from the VM that
// answers when only its address is known.
type Envelope struct {
	To       Member
	QueuedAt time.Time // QueuedAt is when the machine asked for it to be sent.
	Message  Message
}

// ListedVM is one entry of the platform's VM list.
type ListedVM struct {
	ID       string
	Address  string // Address is host:port of the peer listener.
	Zone     string
	Region   string
	Stopping bool // Stopping is true when the platform is about to stop it.
}
