// Package wqticket makes write-like requests run at most once. A ticket names the
// VM that minted it and the epoch of that VM's process. Only that process may
// dispatch the request, and it decides from its own memory: this needs no store
// and no consensus, and neither a pause nor a network partition can create a
// second owner. Other VMs forward the request to it and may repeat that call.
//
// # Usage
//
// The VM that minted the ticket calls its Ledger at each step:
//
//	id, err := l.Mint(now)
//	decision, err := l.Begin(id, content, now) // decision.Run for the first request only
//	err = l.Dispatch(id, d, deadline, now)     // before each send; checks the deadline
//	l.Retract(id, d)                           // dispatch d provably did not run
//	result = l.Settle(id, result)              // Done, NotRun or Unknown
//
// A repeated request with the same content gets the recorded result; one with
// other content gets a Conflict fault. A ticket can be dispatched until TTL after
// it was minted, and its result is kept for ResultRetention after that. A Ledger
// is not safe for concurrent use.
package wqticket

import (
	"crypto/hmac"
	"fmt"
	"time"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqttl"
)

// Ledger records the tickets that one process of a VM has minted, with their
// results. Set the exported fields before the first call.
type Ledger struct {
	VM              string
	Epoch           uint64        // epoch of this process, as in wqmember.Member
	Secret          []byte        // key of the MACs: random, at least 16 bytes, new at every start
	TTL             time.Duration // how long after minting a ticket may be dispatched
	ResultRetention time.Duration // how long a result is kept after the TTL
	MaxCount        int           // limit on tickets in memory
	MaxBytes        int           // limit on the reply bodies in memory, in bytes

	sequence   uint64 // of the ticket minted last
	replyBytes int    // total size of the recorded reply bodies
	tickets    *wqttl.Table[uint64, ticketRecord]
}

type ticketRecord struct {
	expires      time.Time     // mint time plus TTL
	begun        bool          // a request has used the ticket
	content      contentDigest // of the first request
	mayHaveRun   bool          // a dispatch is not proven not to have run
	lastDispatch Dispatch
	result       Result
}

// Mint returns a new ticket, or an Overloaded fault when MaxCount tickets are
// in memory.
func (l *Ledger) Mint(now time.Time) (ID, error) {
	l.Expire(now)
	id := ID{VM: l.VM, Epoch: l.Epoch, Sequence: l.sequence + 1}
	if !l.records().Add(id.Sequence, ticketRecord{expires: now.Add(l.TTL)}, now) {
		return ID{}, wqfault.New(wqfault.Overloaded, fmt.Sprintf("%d tickets are in use", l.MaxCount), "get a ticket from another VM, or try again later")
	}
	l.sequence++
	id.MAC = sign(l.Secret, id)
	return id, nil
}

// Begin starts a request under its ticket. Run is set in the Decision for the
// first request only; a repeated one gets the recorded result. The result is
// Unknown when the ticket is of another VM or epoch or its record has expired.
// Begin returns a BadInput fault when the MAC is wrong and a Conflict fault
// when an earlier request used the ticket with other content.
func (l *Ledger) Begin(id ID, c Content, now time.Time) (Decision, error) {
	e, decision, err := l.find(id, now)
	if e == nil {
		return decision, err
	}
	content := c.digest()
	if e.begun && e.content != content {
		return Decision{}, wqfault.New(wqfault.Conflict, "the ticket was used with other content", "use a new ticket for each request")
	}
	if e.begun || e.result.Outcome != Pending {
		return Decision{Result: e.result, LastDispatch: e.lastDispatch}, nil
	}
	e.begun = true
	e.content = content
	return Decision{Run: true}, nil
}

// Lookup returns the recorded result and last dispatch of a ticket, without
// starting a request. It returns a BadInput fault when the MAC is wrong.
func (l *Ledger) Lookup(id ID, now time.Time) (Decision, error) {
	e, decision, err := l.find(id, now)
	if e == nil {
		return decision, err
	}
	return Decision{Result: e.result, LastDispatch: e.lastDispatch}, nil
}

// Dispatch records that a request is about to be sent; call it with the current
// time right before the send. It returns an Expired fault when the deadline or
// the ticket's TTL has passed, and a Conflict fault when an earlier dispatch
// may have run. With a fault nothing is recorded and the request must not be
// sent.
func (l *Ledger) Dispatch(id ID, d Dispatch, deadline, now time.Time) error {
	e := l.records().Get(id.Sequence)
	if e == nil || !now.Before(e.expires) || !now.Before(deadline) {
		return wqfault.New(wqfault.Expired, "the deadline or the ticket expired before the request was sent", "get a new ticket and set a longer timeout")
	}
	if e.mayHaveRun || e.result.Outcome != Pending {
		return wqfault.New(wqfault.Conflict, "the request was already sent", "query its outcome")
	}
	e.mayHaveRun = true
	e.lastDispatch = d
	return nil
}

// Retract records proof that dispatch d did not run and never will, so that the
// request may be dispatched again. It does nothing unless d is the last
// dispatch.
func (l *Ledger) Retract(id ID, d Dispatch) {
	if e := l.records().Get(id.Sequence); e != nil && e.lastDispatch == d {
		e.mayHaveRun = false
	}
}

// Settle records a result and returns the one now in force. Done and NotRun are
// final; Unknown can still be replaced by either. NotRun becomes Unknown while
// a dispatch may have run. Once the record has expired, every result except
// Done becomes Unknown.
func (l *Ledger) Settle(id ID, r Result) Result {
	e := l.records().Get(id.Sequence)
	if e == nil && r.Outcome != Done {
		return recordExpired()
	}
	if e == nil {
		return r
	}
	if e.result.Outcome == Done || e.result.Outcome == NotRun {
		return e.result
	}
	if r.Outcome == NotRun && e.mayHaveRun {
		r = Result{Outcome: Unknown, Reason: r.Reason, Remedy: "query the outcome again"}
	}
	e.result = l.storeReply(r)
	return r
}

// CountOpen returns how many tickets a stopping VM has to wait for: those with
// a request in progress and unused ones that have not expired.
func (l *Ledger) CountOpen(now time.Time) int {
	count := 0
	l.records().Each(func(_ uint64, e *ticketRecord) {
		running := e.begun && e.result.Outcome == Pending
		usable := !e.begun && now.Before(e.expires)
		if running || usable {
			count++
		}
	})
	return count
}

// Expire drops the tickets whose TTL and ResultRetention have passed.
func (l *Ledger) Expire(now time.Time) {
	l.records().Expire(now, func(_ uint64, e *ticketRecord) { l.replyBytes -= len(e.result.Body) })
}

// find returns the record of a ticket. When there is none, it returns nil and
// the Decision or fault for the caller.
func (l *Ledger) find(id ID, now time.Time) (*ticketRecord, Decision, error) {
	if id.VM != l.VM || id.Epoch != l.Epoch {
		return nil, Decision{Result: minterRestarted()}, nil
	}
	if !hmac.Equal([]byte(id.MAC), []byte(sign(l.Secret, id))) {
		return nil, Decision{}, wqfault.New(wqfault.BadInput, "this VM did not mint the ticket", "send the ticket as it came from Ticket, unchanged")
	}
	l.Expire(now)
	e := l.records().Get(id.Sequence)
	if e == nil {
		return nil, Decision{Result: recordExpired()}, nil
	}
	if !e.begun && e.result.Outcome == Pending && !now.Before(e.expires) {
		e.result = Result{Outcome: NotRun, Reason: "the ticket expired before a request used it", Remedy: "get a new ticket"}
	}
	return e, Decision{}, nil
}

// storeReply counts the body of r against MaxBytes. When it does not fit, it
// returns the result without the body.
func (l *Ledger) storeReply(r Result) Result {
	if l.replyBytes+len(r.Body) > l.MaxBytes {
		return Result{Outcome: r.Outcome, Reason: "the reply did not fit in the memory for replies", Remedy: "read the result from the service"}
	}
	l.replyBytes += len(r.Body)
	return r
}

func (l *Ledger) records() *wqttl.Table[uint64, ticketRecord] {
	if l.tickets == nil {
		l.tickets = wqttl.New[uint64, ticketRecord](l.TTL+l.ResultRetention, l.MaxCount)
	}
	return l.tickets
}

func minterRestarted() Result {
	return Result{
		Outcome: Unknown,
		Reason:  "the VM that minted the ticket has stopped or restarted",
		Remedy:  "look the result up in the service before you send the request under a new ticket",
	}
}

func recordExpired() Result {
	return Result{
		Outcome: Unknown,
		Reason:  "the record of the ticket has expired",
		Remedy:  "look the result up in the service before you send the request under a new ticket",
	}
}
