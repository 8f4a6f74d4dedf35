package wqpublish_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/test/wqfakestore"
)

func TestLostReplyNeverAppliesTwice(t *testing.T) {
	f := started(t, 3)
	f.store.SetFaults(wqfakestore.Faults{DropReplies: 1})
	r, err := f.at("vm1").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), bound)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
	must.False(t, r.GetAcceptedBefore())
	must.Eq(t, 3, r.GetVmsInForce())
	r, err = f.at("vm2").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), bound)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
	must.True(t, r.GetAcceptedBefore())
	_, err = f.at("vm2").publish(t.Context(), wqnote.ZoneOut("out-1", "z1"), bound)
	must.Eq(t, wqfault.Conflict, wqfault.KindOf(err))
	must.StrContains(t, err.Error(), "another note with the id out-1 was accepted as revision 2: zone z0 out")
}

func TestStoreThatDiesAtTheSwapLeavesTheOutcomeOpenThenTells(t *testing.T) {
	f := started(t, 3)
	f.store.SetFaults(wqfakestore.Faults{DropReplies: 1, OutageAfterSwaps: 1})
	_, err := f.at("vm0").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), bound)
	must.Eq(t, wqfault.OutcomeUnknown, wqfault.KindOf(err))
	must.StrContains(t, err.Error(), "publish the note again with the same id out-1")
	f.store.SetFaults(wqfakestore.Faults{})
	r, err := f.at("vm1").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), bound)
	must.NoError(t, err)
	must.True(t, r.GetAcceptedBefore())
	must.Eq(t, 2, r.GetRevision())
	must.Eq(t, 3, r.GetVmsInForce())
}

func TestStoreDownAcceptsNothing(t *testing.T) {
	f := started(t, 3)
	for _, faults := range []wqfakestore.Faults{{Outage: true}, {Hang: true}} {
		f.store.SetFaults(faults)
		_, err := f.at("vm0").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), bound)
		must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err))
		must.StrContains(t, err.Error(), "nothing was accepted")
		must.StrContains(t, err.Error(), "same id out-1")
		must.Eq(t, 1, f.at("vm0").history.Load().Revision())
	}
}

func TestAcceptedNoteIsInForceThoughTheStoreDiesRightAfter(t *testing.T) {
	f := started(t, 8)
	f.store.SetFaults(wqfakestore.Faults{OutageAfterSwaps: 1})
	r, err := f.at("vm3").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), bound)
	must.NoError(t, err)
	must.Eq(t, 8, r.GetVmsInForce(), must.Sprintf("bound %s, not heard: %v", bound, r.GetVmsNotHeard()))
}

func TestVMNotHeardFromIsNamed(t *testing.T) {
	f := started(t, 3)
	f.at("vm2").deaf.Store(true)
	f.store.SetFaults(wqfakestore.Faults{SuppressWatches: true})
	r, err := f.at("vm0").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), time.Second)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetVmsInForce())
	must.Eq(t, 3, r.GetVmsTotal())
	must.Eq(t, []string{"vm2"}, r.GetVmsNotHeard())
}

func TestStaleReadsNeverCauseAWrongRefusal(t *testing.T) {
	f := started(t, 3)
	r, err := f.at("vm0").publish(t.Context(), &wqnote.Note{ID: "zone", Added: wqnote.Entries{Zones: []wqtopology.Zone{{ID: "z9", Region: "r"}}}}, bound)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
	f.store.SetFaults(wqfakestore.Faults{StaleWrites: 1})
	_, err = f.at("vm1").publish(t.Context(), wqnote.ZoneOut("out-1", "z9"), bound)
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err), must.Sprint("z9 exists; the stale head does not know it"))
	f.store.SetFaults(wqfakestore.Faults{})
	r, err = f.at("vm1").publish(t.Context(), wqnote.ZoneOut("out-1", "z9"), bound)
	must.NoError(t, err)
	must.Eq(t, 3, r.GetRevision())
}

func TestRacingOperatorsGetOneWinnerAndClearConflicts(t *testing.T) {
	f := started(t, 3)
	var wg sync.WaitGroup
	errs := make([]error, 6)
	for i := range errs {
		wg.Go(func() {
			n := wqnote.ZoneOut(fmt.Sprintf("note-%d", i), fmt.Sprintf("z%d", i%3))
			n.BaseRevision = 1
			_, errs[i] = f.at(fmt.Sprintf("vm%d", i%3)).publish(t.Context(), n, bound)
		})
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		must.Eq(t, wqfault.Conflict, wqfault.KindOf(err))
		must.StrContains(t, err.Error(), "based on revision 1, but the newest is 2; since then note note-")
	}
	must.Eq(t, 1, won)
}

// Out, back and out again by two operators at different VMs: all are accepted
// in some order and all VMs end with the same one.
func TestRacingOutAndBackEndEqualEverywhere(t *testing.T) {
	f := started(t, 3)
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			n := wqnote.ZoneOut(fmt.Sprintf("out-%d", i), "z0")
			if i%2 == 1 {
				n = wqnote.ZoneBack(fmt.Sprintf("back-%d", i), "z0")
			}
			r, err := f.at(fmt.Sprintf("vm%d", i%3)).publish(t.Context(), n, bound)
			must.NoError(t, err)
			must.Eq(t, 3, r.GetVmsInForce())
		})
	}
	wg.Wait()
	want := f.at("vm0").history.Load()
	must.Eq(t, 7, want.Revision())
	for id := range f.members() {
		must.Eq(t, want, f.at(id).history.Load())
	}
}

func TestHalfValidNoteIsRefusedWhole(t *testing.T) {
	f := started(t, 3)
	_, err := f.at("vm0").publish(t.Context(), &wqnote.Note{ID: "half", Out: []string{"z0", "nowhere"}, Withdrawn: wqnote.Names{Searchers: []string{"s9"}}}, bound)
	must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
	must.StrContains(t, err.Error(), "has 2 faults")
	must.StrContains(t, err.Error(), "zone nowhere does not exist")
	must.StrContains(t, err.Error(), "s9 is withdrawn but does not exist")
	must.Eq(t, 1, f.at("vm0").history.Load().Revision())
}

func TestOperatorsNeedACredential(t *testing.T) {
	f := newFleet(t, 1)
	_, err := f.at("vm0").operator.Publish(t.Context(), connect.NewRequest(&wqpb.PublishRequest{}))
	must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	_, err = f.at("vm0").operator.Status(t.Context(), connect.NewRequest(&wqpb.StatusRequest{}))
	must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(err))
}

// All VMs are replaced, one by one, while the store hangs.
func TestAllVMsAreReplacedDuringAnOutage(t *testing.T) {
	f := started(t, 4)
	f.store.SetFaults(wqfakestore.Faults{Hang: true})
	for i := range 4 {
		f.kill(fmt.Sprintf("vm%d", i))
		n := f.boot(fmt.Sprintf("new%d", i), fmt.Sprintf("z%d", i%3))
		waitFor(t, "the new VM has the configuration", func() bool { return n.history.Load().Revision() == 1 })
	}
}

// A VM that boots while the store answers from the past and no peer is left
// serves nothing until the store proves its newest.
func TestBootWithAStaleStoreAdoptsNothingOld(t *testing.T) {
	f := started(t, 2)
	_, err := f.at("vm0").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), bound)
	must.NoError(t, err)
	f.store.SetFaults(wqfakestore.Faults{StaleWrites: 1})
	f.kill("vm0")
	f.kill("vm1")
	n := f.boot("new", "z0")
	time.Sleep(1500 * time.Millisecond)
	must.Eq(t, 0, n.history.Load().Revision())
	f.store.SetFaults(wqfakestore.Faults{})
	waitFor(t, "the new VM has the newest configuration", func() bool { return n.history.Load().Revision() == 2 })
}

// Store calls with watches counted, bytes and processor time of a change; the
// figures are in docs/capacity/configuration.md.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{8, 50, 200} {
		f := started(t, size)
		time.Sleep(time.Second)
		before, began := f.store.Counts(), time.Now()
		time.Sleep(3 * time.Second)
		after := f.store.Counts()
		rate := float64(after.Total()-before.Total()) / time.Since(began).Seconds()
		sent, used := f.bytes.Load(), processorTime()
		r := f.at("vm1").publishPatiently(t, wqnote.ZoneOut("out-1", "z0"))
		must.Eq(t, uint32(size), r.GetVmsInForce())
		t.Logf("%d VMs, 6 watchers: %.1f store calls/s (%d reads, %d watches); a change: %d bytes between VMs, %s of processor time in all",
			size, rate, after.Gets-before.Gets, after.Watches-before.Watches, f.bytes.Load()-sent, processorTime()-used)
		must.Less(t, 8, rate, must.Sprint("6 VMs watch whatever the size"))
	}
}

func processorTime() time.Duration {
	runtime.GC()
	u := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	for !done() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			t.Fatalf("not within %s: %s", bound, what)
		}
	}
}
