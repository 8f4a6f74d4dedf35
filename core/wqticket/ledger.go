// Package wqticket decides that a write-like request runs at most once. A ticket
// names the VM that minted it and that VM's start, and only this start can ever
// dispatch it, from its own memory: no store and no agreement are needed, and
// neither a pause nor a partition makes a second owner. Other VMs forward to it
// and may repeat that call.
//
// # Usage
//
// The VM that minted the ticket asks its ledger at every step:
//
//	id, err := l.Mint(now)
//	step, err := l.Begin(id, content, now) // step.Run for the first request only
//	err = l.Dispatch(id, d, deadline, now) // before each send; checks the time
//	l.Retract(id, d)                       // d is proven not to have run
//	result = l.Settle(id, result)          // done, not run, or unknown
//
// A repeated request with the same content gets the recorded result, one with
// other content a Conflict. Results stay for Keep after the ticket's life. A
// Ledger is not safe for concurrent use.
package wqticket

import (
	"crypto/hmac"
	"fmt"
	"time"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqttl"
)

// Ledger is the memory of one start of a VM of the tickets that it minted. Set
// the fields before the first call.
type Ledger struct {
	VM              string
	Epoch           uint64
	Secret          []byte        // Secret is random and new at every start, at least 16 bytes.
	TTL             time.Duration // TTL is how long after minting a ticket may be dispatched.
	ResultRetention time.Duration // ResultRetention is how much longer its result can be asked for.
	MaxCount        int           // MaxCount bounds the tickets in memory.
	MaxBytes        int           // MaxBytes bounds the replies in memory, in bytes.

	sequence uint64
	bytes    int
	table    *wqttl.Table[uint64, entry]
}

type entry struct {
	expires    time.Time
	begun      bool
	content    digest
	dispatched bool // dispatched is true while a send is not proven not to have run.
	last       Dispatch
	result     Result
}

// Mint returns a new ticket. It returns an Overloaded fault when MaxCount
// tickets are in memory.
func (l *Ledger) Mint(now time.Time) (ID, error) {
	l.Expire(now)
	id := ID{VM: l.VM, Epoch: l.Epoch, Sequence: l.sequence + 1}
	if !l.entries().Add(id.Sequence, entry{expires: now.Add(l.TTL)}, now) {
		return ID{}, wqfault.New(wqfault.Overloaded, fmt.Sprintf("%d tickets are in use", l.MaxCount), "ask another VM for a ticket, or ask again later")
	}
	l.sequence++
	id.MAC = sign(l.Secret, id)
	return id, nil
}

// Begin takes one request that brings a ticket. It returns a BadInput fault for
// a ticket that this start did not mint and a Conflict for other content than
// the first request's.
func (l *Ledger) Begin(id ID, c Content, now time.Time) (Decision, error) {
	e, step, err := l.find(id, now)
	if e == nil {
		return step, err
	}
	content := c.digest()
	if e.begun && e.content != content {
		return Decision{}, wqfault.New(wqfault.Conflict, "the ticket was used with other content", "get a new ticket for a new request")
	}
	if e.begun || e.result.Outcome != Pending {
		return Decision{Result: e.result, LastDispatch: e.last}, nil
	}
	e.begun = true
	e.content = content
	return Decision{Run: true}, nil
}

// Lookup returns what is known of a ticket and never lets it run. It returns a
// BadInput fault for a ticket that this start did not mint.
func (l *Ledger) Lookup(id ID, now time.Time) (Decision, error) {
	e, step, err := l.find(id, now)
	if e == nil {
		return step, err
	}
	return Decision{Result: e.result, LastDispatch: e.last}, nil
}

// Dispatch records that a request is about to be sent. It returns an Expired
// fault, and records nothing, when the deadline or the ticket's life has
// passed, and a Conflict when an earlier send may have run. Call it with a
// fresh time, right before the send.
func (l *Ledger) Dispatch(id ID, d Dispatch, deadline, now time.Time) error {
	e := l.entries().Get(id.Sequence)
	if e == nil || !now.Before(e.expires) || !now.Before(deadline) {
		return wqfault.New(wqfault.Expired, "the time to send the request has passed", "get a new ticket and allow more time")
	}
	if e.dispatched || e.result.Outcome != Pending {
		return wqfault.New(wqfault.Conflict, "the request was sent already", "ask for its outcome")
	}
	e.dispatched = true
	e.last = d
	return nil
}

// Retract records proof that the send d did not run and never will. It changes
// nothing when d is not the last send.
func (l *Ledger) Retract(id ID, d Dispatch) {
	if e := l.entries().Get(id.Sequence); e != nil && e.last == d {
		e.dispatched = false
	}
}

// Settle records a result. Done and NotRun are final; Unknown gives way to
// them. A NotRun while a send may have run, or of a ticket that is forgotten, is
// Unknown. It returns the result that stands.
func (l *Ledger) Settle(id ID, r Result) Result {
	e := l.entries().Get(id.Sequence)
	if e == nil && r.Outcome != Done {
		return forgotten()
	}
	if e == nil {
		return r
	}
	if e.result.Outcome == Done || e.result.Outcome == NotRun {
		return e.result
	}
	if r.Outcome == NotRun && e.dispatched {
		r = Result{Outcome: Unknown, Reason: r.Reason, Remedy: "ask for the outcome again"}
	}
	e.result = l.bound(r)
	return r
}

// CountOpen counts the tickets that a stopping VM has to wait for: those that run
// and those that a caller may still use.
func (l *Ledger) CountOpen(now time.Time) int {
	open := 0
	l.entries().Each(func(_ uint64, e *entry) {
		running := e.begun && e.result.Outcome == Pending
		usable := !e.begun && now.Before(e.expires)
		if running || usable {
			open++
		}
	})
	return open
}

// Expire forgets the tickets whose life and Keep have passed.
func (l *Ledger) Expire(now time.Time) {
	l.entries().Expire(now, func(_ uint64, e *entry) { l.bytes -= len(e.result.Body) })
}

// find returns the entry of a ticket, or what to answer when there is none.
func (l *Ledger) find(id ID, now time.Time) (*entry, Decision, error) {
	if id.VM != l.VM || id.Epoch != l.Epoch {
		return nil, Decision{Result: gone()}, nil
	}
	if !hmac.Equal([]byte(id.MAC), []byte(sign(l.Secret, id))) {
		return nil, Decision{}, wqfault.New(wqfault.BadInput, "this VM did not mint the ticket", "send the ticket as it came from Ticket, unchanged")
	}
	l.Expire(now)
	e := l.entries().Get(id.Sequence)
	if e == nil {
		return nil, Decision{Result: forgotten()}, nil
	}
	if !e.begun && e.result.Outcome == Pending && !now.Before(e.expires) {
		e.result = Result{Outcome: NotRun, Reason: "the ticket expired before a request brought it", Remedy: "get a new ticket"}
	}
	return e, Decision{}, nil
}

// bound keeps a reply only while there is room for it.
func (l *Ledger) bound(r Result) Result {
	if l.bytes+len(r.Body) > l.MaxBytes {
		return Result{Outcome: r.Outcome, Reason: "the reply was not kept for lack of room", Remedy: "read the result from the service"}
	}
	l.bytes += len(r.Body)
	return r
}

func (l *Ledger) entries() *wqttl.Table[uint64, entry] {
	if l.table == nil {
		l.table = wqttl.New[uint64, entry](l.TTL+l.ResultRetention, l.MaxCount)
	}
	return l.table
}

func gone() Result {
	return Result{
		Outcome: Unknown,
		Reason:  "the VM that minted the ticket is gone",
		Remedy:  "look the result up in the service before you send the request under a new ticket",
	}
}

func forgotten() Result {
	return Result{
		Outcome: Unknown,
		Reason:  "the ticket is older than outcomes are kept",
		Remedy:  "look the result up in the service before you send the request under a new ticket",
	}
}
