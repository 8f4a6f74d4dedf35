// Package wqfence decides at a holder whether a write-like request may be sent
// to a searcher, so that a doubled or late call of the VM that minted the ticket
// never sends twice, and keeps outcomes for a while, so that a lost reply can be
// asked for again.
//
// # Usage
//
//	run, result := f.Admit(key, epoch, now) // run is true once for each key
//	f.Finish(key, result)
//	result = f.Ask(key, epoch, now) // no record: refuses the key from now on
//
// A call names the start of the holder that is meant. Another start sends nothing
// and answers Unknown: the one that was meant may have had the same call before
// it ended. Keep must be longer than the life of tickets: a sequence number at or below one that was forgotten is
// too old to be sent. A Fence is not safe for concurrent use.
package wqfence

import (
	"time"

	"wisteriaquay/core/wqticket"
	"wisteriaquay/core/wqttl"
)

// Key is one send of a ticket to a searcher.
type Key struct {
	VM       string // VM minted the ticket.
	Epoch    uint64 // Epoch is that VM's start.
	Sequence uint64
	Searcher string
}

// KeyOf returns the key of a ticket and a searcher.
func KeyOf(id wqticket.ID, searcher string) Key {
	return Key{VM: id.VM, Epoch: id.Epoch, Sequence: id.Sequence, Searcher: searcher}
}

// Fence is the memory of one start of a holder. Set the fields before the first
// call.
type Fence struct {
	Epoch     uint64        // Epoch is the start of this holder.
	Retention time.Duration // Retention is how long outcomes are kept, longer than the life of tickets.
	MaxCount  int           // MaxCount bounds the requests in memory; as many refusals are kept besides.
	MaxBytes  int           // MaxBytes bounds the replies in memory, in bytes.

	bytes int
	table *wqttl.Table[Key, wqticket.Result]
	marks map[minter]uint64
}

type minter struct {
	vm    string
	epoch uint64
}

// Admit reports whether the caller is to send the request now; if not, it
// returns what to answer. epoch is the start of the holder that the call means.
func (f *Fence) Admit(k Key, epoch uint64, now time.Time) (bool, wqticket.Result) {
	f.expire(now)
	if epoch != f.Epoch {
		return false, otherStart()
	}
	if r := f.records().Get(k); r != nil {
		return false, *r
	}
	if f.tooOld(k) {
		return false, forgotten()
	}
	if f.records().Len() >= f.MaxCount {
		return false, f.refuse(k, now, "the holder has too many write-like requests")
	}
	f.records().Add(k, wqticket.Result{}, now)
	return true, wqticket.Result{}
}

// Finish records how an admitted request ended.
func (f *Fence) Finish(k Key, r wqticket.Result) {
	held := f.records().Get(k)
	if held == nil || held.Outcome != wqticket.Pending {
		return
	}
	if f.bytes+len(r.Body) > f.MaxBytes {
		r.Body = nil
		r.Reason = "the reply was not kept for lack of room"
		r.Remedy = "read the result from the service"
	}
	f.bytes += len(r.Body)
	*held = r
}

// LookupOrRefuse returns what became of a request and never lets it run. When this start
// of the holder is the one that is meant and has no record, it refuses the
// request from then on, so that NotRun is true. epoch 0 only looks it up.
func (f *Fence) LookupOrRefuse(k Key, epoch uint64, now time.Time) wqticket.Result {
	f.expire(now)
	if r := f.records().Get(k); r != nil {
		return *r
	}
	if epoch != f.Epoch {
		return otherStart()
	}
	if f.tooOld(k) {
		return forgotten()
	}
	return f.refuse(k, now, "the holder never had the request")
}

// refuse records that k will never run here. Without room for the record it
// can't promise that.
func (f *Fence) refuse(k Key, now time.Time, reason string) wqticket.Result {
	r := notRun(reason)
	if !f.records().Add(k, r, now) {
		return wqticket.Result{Outcome: wqticket.Unknown, Reason: "the holder has no room to remember a refusal", Remedy: "ask again for the outcome"}
	}
	return r
}

func (f *Fence) tooOld(k Key) bool { return k.Sequence <= f.marks[minter{k.VM, k.Epoch}] }

func (f *Fence) expire(now time.Time) {
	f.records().Expire(now, func(k Key, r *wqticket.Result) {
		f.bytes -= len(r.Body)
		m := minter{k.VM, k.Epoch}
		f.marks[m] = max(f.marks[m], k.Sequence)
	})
}

func (f *Fence) records() *wqttl.Table[Key, wqticket.Result] {
	if f.table == nil {
		f.table = wqttl.New[Key, wqticket.Result](f.Retention, 2*f.MaxCount)
		f.marks = make(map[minter]uint64)
	}
	return f.table
}

func notRun(reason string) wqticket.Result {
	return wqticket.Result{Outcome: wqticket.NotRun, Reason: reason, Remedy: "get a new ticket"}
}

func otherStart() wqticket.Result {
	return wqticket.Result{Outcome: wqticket.Unknown, Reason: "the holder was restarted", Remedy: "look the result up in the service"}
}

func forgotten() wqticket.Result {
	return wqticket.Result{Outcome: wqticket.Unknown, Reason: "the request is older than outcomes are kept", Remedy: "look the result up in the service"}
}
