// Package wqquota decides which requests of a client account its quota allows, over all
// VMs of a fleet.
//
// Each account has owners, chosen by rendezvous hashing from the live VMs. An owner's
// Ledger counts the account's requests in a sliding window. A VM's Gate admits requests
// at once (free mode) and reports them to the owners, until an owner sees the account
// come near its quota and tells all VMs to ask before each request (strict mode). A VM
// that reaches no owner admits an equal share of the quota by itself.
//
// # Usage
//
//	gate := &wqquota.Gate[wqquota.FreeAndStrict]{Bound: bound, Random: random}
//	switch gate.Choose(now, tenant) {
//	case wqquota.AdmitNow: ...
//	case wqquota.AskOwner: ... ledger.Ask on an owner ...
//	case wqquota.UseShare: ... gate.TryShare ...
//	}
//
// Neither type is safe for concurrent use.
package wqquota

import (
	"time"

	"wisteriaquay/core/wqbound"
)

// Parts of the reserve, which is what the deployment's bound allows beside the quota.
const (
	usableReserve = 0.5  // An owner grants this part beside the quota in a window, so that a request under the quota is not refused for those that VMs admitted beyond it before strict mode.
	bucketReserve = 0.25 // An owner grants this part beside the burst, so that a request under the quota is not refused for the order in which reports arrive.
	entryQuota    = 0.75
	entryReserve  = 0.1 // Strict mode begins at entryQuota of the quota and entryReserve of the reserve: at 4.7 times the quota's rate, 0.4 s before the bound.
	unknownShare  = 1.5 // An owner leaves this part of its equal share to each live VM that it can't reach, which admits some requests before it notices.
	exitShare     = 0.9 // Strict mode ends under this share of the count at which it begins.
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

func (l Limit) reserve() float64 { return l.Ceiling() - l.Quota() }

// granted returns how many requests an owner may have counted in a window that knows of
// the requests of known VMs, of live ones and of a fleet that also has VMs which may run
// without being reachable.
func (l Limit) granted(known, live, fleet int) float64 {
	return usableReserve*l.reserve() + l.Quota()*l.share(known, live, fleet)
}

// share returns the part of the quota that an owner may grant, which leaves their equal
// shares to the VMs that it does not know of.
func (l Limit) share(known, live, fleet int) float64 {
	live = max(live, 1)
	fleet, known = max(fleet, live), min(known, live)
	unknown := float64(fleet - known)
	if 2*unknown <= float64(fleet) { // The smaller part of a fleet leaves the others their equal share.
		unknown += (unknownShare - 1) * float64(live-known)
	}
	return max(0, 1-unknown/float64(fleet))
}

// strictEntry returns the count at which strict mode begins.
func (l Limit) strictEntry() float64 { return entryQuota*l.Quota() + entryReserve*l.reserve() }

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
