// Package wqmember tracks which VMs take part, by heartbeats with piggybacked
// changes, at a constant number of messages a second whatever the fleet's size.
//
// # Usage
//
// The control goroutine owns one machine, feeds it messages and time, and
// sends what it returns. See Machine.
package wqmember

// State is what is believed of a VM.
type State uint8

// The states, from best to worst; within one incarnation a worse state wins.
const (
	Alive   State = iota // Alive VMs answer heartbeats.
	Suspect              // Suspect VMs missed a heartbeat and may still refute it.
	Leaving              // Leaving VMs said that they stop; they take no new work.
	Dead                 // Dead VMs missed their suspicion time or finished leaving.
)

// Member is what one VM knows of another.
type Member struct {
	ID          string
	Address     string // Address is host:port of the peer listener.
	Zone        string
	Region      string
	Incarnation uint64 // Incarnation grows at every start and every refuted suspicion.
	Epoch       uint64 // Epoch is fixed at the start of the process; tickets name it.
	State       State
	Revision    uint64 // Revision is the configuration it last reported in force.
}
