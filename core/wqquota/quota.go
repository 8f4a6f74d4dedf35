// Package wqquota holds the limits of client accounts and the messages on them that VMs
// exchange, to apply an account's quota over all VMs of a fleet.
//
// Each account has owners, chosen by rendezvous hashing from the live VMs
// (wqquotaroster). An owner's ledger counts the account's requests in a sliding window
// (wqquotaledger). A VM's gate admits requests at once (free mode) and reports them to the
// owners, until an owner sees the account come near its quota and tells all VMs to ask
// before each request (strict mode). A VM that reaches no owner admits an equal share of
// the quota by itself (wqquotagate).
//
// # Usage
//
//	limit := wqquota.Limit{Rate: 100, Burst: 20, Bound: bound}
//	m := wqquota.Message{From: id, Kind: wqquota.Ask, Entries: []wqquota.Entry{{Tenant: tenant, Rate: limit.Rate, Burst: limit.Burst}}}
package wqquota

import (
	"time"

	"wisteriaquay/core/wqbound"
)

const (
	// MaxAccounts bounds the accounts of a ledger or a gate, at 1 KB and 0.3 KB each.
	MaxAccounts = 50_000
	// IdleWindows is the number of windows after which an account without requests is dropped.
	IdleWindows = 2
	// PauseLength is the time without a call from which a process counts as paused, so that
	// reports may be lost.
	PauseLength = time.Second
	// ContactTime is longer than a VM takes to send a heartbeat to each neighbour.
	ContactTime = 2500 * time.Millisecond
	// VMSlots is the resolution of a VM's own count, 50 ms for a window of 5 s.
	VMSlots = 100
)

// Limit is the limit of one account.
type Limit struct {
	Rate  float64 // Rate is the quota in requests per second.
	Burst float64 // Burst is the number of requests beside Rate.
	Bound wqbound.Quota
}

// Quota returns the requests in a window that are never refused.
func (l Limit) Quota() float64 { return l.Rate*l.Bound.Window.Seconds() + l.Burst }

// Ceiling returns the requests in a window that the deployment allows at most.
func (l Limit) Ceiling() float64 { return l.Quota()*(1+l.Bound.Overshoot) + l.Bound.Slack }

// Kind is the purpose of a Message.
type Kind uint8

// The kinds of messages.
const (
	Report Kind = iota // Report tells an owner of admitted requests.
	Ask                // Ask asks an owner for one request of each entry.
	Push               // Push tells a VM that an account is in strict mode.
)

// Message is sent from one VM to another.
type Message struct {
	From    string
	Kind    Kind
	Entries []Entry
}

// Entry is the part of a Message on one account.
type Entry struct {
	Tenant      string
	Rate        float64         // Rate and Burst are those of the sender's configuration, for an owner that does not know the account yet.
	Burst       float64         //
	Admitted    []time.Duration // Admitted holds the ages of the requests that the sender admitted.
	Returned    []time.Duration // Returned holds the ages of those among earlier ones that have not run.
	Late        bool            // Late is true in an Ask for a request that can't be answered within its objective.
	WantHistory bool            // WantHistory asks for the ages of the receiver's own requests.
}

// Reply is the reply to a Message, with one Answer for each entry.
type Reply struct{ Answers []Answer }

// Answer is the part of a Reply on one account.
type Answer struct {
	Tenant  string
	Strict  bool // Strict is true while the account is in strict mode.
	Granted bool // Granted is true if the request that was asked for may be sent.
	Blind   bool // Blind is true if the owner does not know all requests of the last window.
	// Unsettled is true if the owner has just told the VMs of strict mode, and still waits
	// for some of them: the same request may be granted within settleTime.
	Unsettled bool
	Wait      time.Duration   // Wait is the time until the next request may be granted.
	History   []time.Duration // History holds the ages of this VM's own requests in the last window.
	Full      bool            // Full is true if History is complete.
}
