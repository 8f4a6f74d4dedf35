package wqfence

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqticket"
)

var (
	startTime  = time.Unix(1_000_000, 0)
	key        = Key{VM: "vm1", Epoch: 3, Sequence: 9, Searcher: "s1"}
	doneResult = wqticket.Result{Outcome: wqticket.Done, Body: []byte("ok")}
)

func newFence() *Fence {
	return &Fence{Epoch: 5, Retention: time.Minute, MaxCount: 2, MaxBytes: 10}
}

func TestDuplicateCallIsAdmittedOnce(t *testing.T) {
	f := newFence()
	run, _ := f.Admit(key, 5, startTime)
	must.True(t, run)
	run, r := f.Admit(key, 5, startTime)
	must.False(t, run)
	must.Eq(t, wqticket.Pending, r.Outcome)
	f.Finish(key, doneResult)
	run, r = f.Admit(key, 5, startTime)
	must.False(t, run)
	must.Eq(t, doneResult, r)
	must.Eq(t, doneResult, f.LookupOrRefuse(key, 5, startTime))
}

func TestCallForAnEarlierEpochIsUnknown(t *testing.T) {
	run, r := newFence().Admit(key, 4, startTime)
	must.False(t, run)
	must.Eq(t, wqticket.Unknown, r.Outcome)
	must.Eq(t, wqticket.Unknown, newFence().LookupOrRefuse(key, 4, startTime).Outcome)
	must.Eq(t, wqticket.Unknown, newFence().LookupOrRefuse(key, 0, startTime).Outcome)
}

func TestLookupRefusesADelayedCall(t *testing.T) {
	f := newFence()
	must.Eq(t, wqticket.NotRun, f.LookupOrRefuse(key, 5, startTime).Outcome)
	run, r := f.Admit(key, 5, startTime)
	must.False(t, run)
	must.Eq(t, wqticket.NotRun, r.Outcome)
}

func TestCallAfterItsRecordExpiredIsRefused(t *testing.T) {
	f := newFence()
	_, _ = f.Admit(key, 5, startTime)
	f.Finish(key, doneResult)
	expired := startTime.Add(f.Retention)
	run, r := f.Admit(key, 5, expired)
	must.False(t, run)
	must.Eq(t, wqticket.Unknown, r.Outcome)
	must.Eq(t, wqticket.Unknown, f.LookupOrRefuse(key, 5, expired).Outcome)
	next := key
	next.Sequence++
	run, _ = f.Admit(next, 5, expired)
	must.True(t, run)
}

func TestFenceBoundsRecordsAndReplyBytes(t *testing.T) {
	f := newFence()
	outcomes := []wqticket.Outcome{}
	for i := range uint64(6) {
		k := key
		k.Sequence += i
		_, r := f.Admit(k, 5, startTime)
		outcomes = append(outcomes, r.Outcome)
	}
	must.Eq(t, []wqticket.Outcome{
		wqticket.Pending, wqticket.Pending, wqticket.NotRun, wqticket.NotRun, wqticket.Unknown, wqticket.Unknown,
	}, outcomes)
	f.Finish(key, wqticket.Result{Outcome: wqticket.Done, Body: make([]byte, 11)})
	stored := f.LookupOrRefuse(key, 5, startTime)
	must.Eq(t, wqticket.Done, stored.Outcome)
	must.Eq(t, 0, len(stored.Body))
}
