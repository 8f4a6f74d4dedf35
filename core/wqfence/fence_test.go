package wqfence

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqticket"
)

var (
	start = time.Unix(1_000_000, 0)
	key   = Key{VM: "vm1", Epoch: 3, Sequence: 9, Searcher: "s1"}
	done  = wqticket.Result{Outcome: wqticket.Done, Body: []byte("ok")}
)

func newFence() *Fence {
	return &Fence{Epoch: 5, Retention: time.Minute, MaxCount: 2, MaxBytes: 10}
}

func TestDoubledCallIsAdmittedOnce(t *testing.T) {
	f := newFence()
	run, _ := f.Admit(key, 5, start)
	must.True(t, run)
	run, r := f.Admit(key, 5, start)
	must.False(t, run)
	must.Eq(t, wqticket.Pending, r.Outcome)
	f.Finish(key, done)
	run, r = f.Admit(key, 5, start)
	must.False(t, run)
	must.Eq(t, done, r)
	must.Eq(t, done, f.LookupOrRefuse(key, 5, start))
}

func TestCallForAnotherStartIsUnknown(t *testing.T) {
	run, r := newFence().Admit(key, 4, start)
	must.False(t, run)
	must.Eq(t, wqticket.Unknown, r.Outcome)
	must.Eq(t, wqticket.Unknown, newFence().LookupOrRefuse(key, 4, start).Outcome)
	must.Eq(t, wqticket.Unknown, newFence().LookupOrRefuse(key, 0, start).Outcome)
}

func TestAskingRefusesALateCall(t *testing.T) {
	f := newFence()
	must.Eq(t, wqticket.NotRun, f.LookupOrRefuse(key, 5, start).Outcome)
	run, r := f.Admit(key, 5, start)
	must.False(t, run)
	must.Eq(t, wqticket.NotRun, r.Outcome)
}

func TestCallAfterTheRecordIsForgottenIsRefused(t *testing.T) {
	f := newFence()
	_, _ = f.Admit(key, 5, start)
	f.Finish(key, done)
	late := start.Add(f.Retention)
	run, r := f.Admit(key, 5, late)
	must.False(t, run)
	must.Eq(t, wqticket.Unknown, r.Outcome)
	must.Eq(t, wqticket.Unknown, f.LookupOrRefuse(key, 5, late).Outcome)
	next := key
	next.Sequence++
	run, _ = f.Admit(next, 5, late)
	must.True(t, run)
}

func TestFenceIsBounded(t *testing.T) {
	f := newFence()
	outcomes := []wqticket.Outcome{}
	for i := range uint64(6) {
		k := key
		k.Sequence += i
		_, r := f.Admit(k, 5, start)
		outcomes = append(outcomes, r.Outcome)
	}
	must.Eq(t, []wqticket.Outcome{
		wqticket.Pending, wqticket.Pending, wqticket.NotRun, wqticket.NotRun, wqticket.Unknown, wqticket.Unknown,
	}, outcomes)
	f.Finish(key, wqticket.Result{Outcome: wqticket.Done, Body: make([]byte, 11)})
	kept := f.LookupOrRefuse(key, 5, start)
	must.Eq(t, wqticket.Done, kept.Outcome)
	must.Eq(t, 0, len(kept.Body))
}
