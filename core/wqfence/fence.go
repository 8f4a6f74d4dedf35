// Package wqfence makes a holder send each write-like request to a searcher at
// most once, even when a call of the VM that minted the ticket arrives twice or
// late. It keeps outcomes for a limited time, so that the minting VM can query
// them when a reply is lost.
//
// # Usage
//
//	run, result := f.Admit(key, epoch, now) // run is true once for each key
//	f.Finish(key, result)
//	result = f.LookupOrRefuse(key, epoch, now) // without a record: refuses the key from now on
//
// Each call names the epoch of the holder process that it is meant for. A process
// with another epoch sends nothing and returns Unknown, because the earlier
// process may have sent the request before it ended.
//
// Retention must be longer than the TTL of tickets. Once the record of a key has
// expired, every key of the same VM and epoch with the same or a lower sequence
// number is refused. A Fence is not safe for concurrent use.
package wqfence

import (
	"time"

	"wisteriaquay/core/wqticket"
	"wisteriaquay/core/wqttl"
)

// Key identifies the send of one ticket to one searcher.
type Key struct {
	VM       string // id of the VM that minted the ticket
	Epoch    uint64 // epoch of that VM
	Sequence uint64 // sequence number of the ticket
	Searcher string // id of the searcher
}

// KeyOf returns the key for sending a ticket to a searcher.
func KeyOf(id wqticket.ID, searcher string) Key {
	return Key{VM: id.VM, Epoch: id.Epoch, Sequence: id.Sequence, Searcher: searcher}
}

// Fence records the write-like requests that one process of a holder has sent
// or refused. Set the exported fields before the first call.
type Fence struct {
	Epoch     uint64        // epoch of this holder, as in wqmember.Member
	Retention time.Duration // how long outcomes are kept; longer than the TTL of tickets
	MaxCount  int           // limit on requests in memory; up to as many refusals are kept in addition
	MaxBytes  int           // limit on the reply bodies in memory, in bytes

	replyBytes int // total size of the recorded reply bodies
	results    *wqttl.Table[Key, wqticket.Result]
	maxExpired map[minter]uint64 // high-water mark: the highest sequence number whose record has expired
}

type minter struct {
	vm    string
	epoch uint64
}

// Admit reports whether the caller has to send the request now. If not, it
// returns the result to reply with. epoch is the epoch of the holder that the
// call is meant for.
func (f *Fence) Admit(k Key, epoch uint64, now time.Time) (bool, wqticket.Result) {
	f.expire(now)
	if epoch != f.Epoch {
		return false, holderRestarted()
	}
	if r := f.records().Get(k); r != nil {
		return false, *r
	}
	if f.mayBeExpired(k) {
		return false, recordExpired()
	}
	if f.records().Len() >= f.MaxCount {
		return false, f.refuse(k, now, "the holder has too many write-like requests")
	}
	f.records().Add(k, wqticket.Result{}, now)
	return true, wqticket.Result{}
}

// Finish records the result of an admitted request. It does nothing when the
// record has expired or already has a result.
func (f *Fence) Finish(k Key, r wqticket.Result) {
	record := f.records().Get(k)
	if record == nil || record.Outcome != wqticket.Pending {
		return
	}
	if f.replyBytes+len(r.Body) > f.MaxBytes {
		r.Body = nil
		r.Reason = "the reply did not fit in the memory for replies"
		r.Remedy = "read the result from the service"
	}
	f.replyBytes += len(r.Body)
	*record = r
}

// LookupOrRefuse returns the result of a request without admitting it. Without
// a record, it refuses the request from then on and returns NotRun, or Unknown
// when the record may have expired. When epoch is not this holder's, such as 0,
// it refuses nothing and returns Unknown for a missing record.
func (f *Fence) LookupOrRefuse(k Key, epoch uint64, now time.Time) wqticket.Result {
	f.expire(now)
	if r := f.records().Get(k); r != nil {
		return *r
	}
	if epoch != f.Epoch {
		return holderRestarted()
	}
	if f.mayBeExpired(k) {
		return recordExpired()
	}
	return f.refuse(k, now, "the holder never received the request")
}

// refuse records that k will never run here and returns NotRun. When there is
// no room for the record it returns Unknown, because a later call could then
// still be admitted.
func (f *Fence) refuse(k Key, now time.Time, reason string) wqticket.Result {
	r := notRun(reason)
	if !f.records().Add(k, r, now) {
		return wqticket.Result{Outcome: wqticket.Unknown, Reason: "the holder has no room to record a refusal", Remedy: "query the outcome again"}
	}
	return r
}

// mayBeExpired reports whether the record of k may have expired.
func (f *Fence) mayBeExpired(k Key) bool { return k.Sequence <= f.maxExpired[minter{k.VM, k.Epoch}] }

func (f *Fence) expire(now time.Time) {
	f.records().Expire(now, func(k Key, r *wqticket.Result) {
		f.replyBytes -= len(r.Body)
		m := minter{k.VM, k.Epoch}
		f.maxExpired[m] = max(f.maxExpired[m], k.Sequence)
	})
}

func (f *Fence) records() *wqttl.Table[Key, wqticket.Result] {
	if f.results == nil {
		f.results = wqttl.New[Key, wqticket.Result](f.Retention, 2*f.MaxCount)
		f.maxExpired = make(map[minter]uint64)
	}
	return f.results
}

func notRun(reason string) wqticket.Result {
	return wqticket.Result{Outcome: wqticket.NotRun, Reason: reason, Remedy: "get a new ticket"}
}

func holderRestarted() wqticket.Result {
	return wqticket.Result{Outcome: wqticket.Unknown, Reason: "the holder was restarted", Remedy: "look the result up in the service"}
}

func recordExpired() wqticket.Result {
	return wqticket.Result{Outcome: wqticket.Unknown, Reason: "the record of the request has expired", Remedy: "look the result up in the service"}
}
