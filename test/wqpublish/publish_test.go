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

func TestPublishWithDroppedReplyAppliesOnce(t *testing.T) {
	f := startConfiguredFleet(t, 3)
	f.store.SetFaults(wqfakestore.Faults{DropReplies: 1})
	r, err := f.nodeByID("vm1").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), maxApplyTime)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
	must.False(t, r.GetAcceptedBefore())
	must.Eq(t, 3, r.GetVmsInForce())
	r, err = f.nodeByID("vm2").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), maxApplyTime)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
	must.True(t, r.GetAcceptedBefore())
	_, err = f.nodeByID("vm2").publish(t.Context(), wqnote.ZoneOut("out-1", "z1"), maxApplyTime)
	must.Eq(t, wqfault.Conflict, wqfault.KindOf(err))
	must.StrContains(t, err.Error(), "another note with the id out-1 was accepted as revision 2: zone z0 out")
}

func TestStoreOutageAtSwapReturnsOutcomeUnknown(t *testing.T) {
	f := startConfiguredFleet(t, 3)
	f.store.SetFaults(wqfakestore.Faults{DropReplies: 1, OutageAfterSwaps: 1})
	_, err := f.nodeByID("vm0").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), maxApplyTime)
	must.Eq(t, wqfault.OutcomeUnknown, wqfault.KindOf(err))
	must.StrContains(t, err.Error(), "publish the note again with the same id out-1")
	f.store.SetFaults(wqfakestore.Faults{})
	r, err := f.nodeByID("vm1").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), maxApplyTime)
	must.NoError(t, err)
	must.True(t, r.GetAcceptedBefore())
	must.Eq(t, 2, r.GetRevision())
	must.Eq(t, 3, r.GetVmsInForce())
}

func TestPublishFailsWhileStoreIsDown(t *testing.T) {
	f := startConfiguredFleet(t, 3)
	for _, faults := range []wqfakestore.Faults{{Outage: true}, {Hang: true}} {
		f.store.SetFaults(faults)
		_, err := f.nodeByID("vm0").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), maxApplyTime)
		must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err))
		must.StrContains(t, err.Error(), "nothing was accepted")
		must.StrContains(t, err.Error(), "same id out-1")
		must.Eq(t, 1, f.nodeByID("vm0").history.Load().Revision())
	}
}

func TestAcceptedNoteIsInForceAfterStoreOutage(t *testing.T) {
	f := startConfiguredFleet(t, 8)
	f.store.SetFaults(wqfakestore.Faults{OutageAfterSwaps: 1})
	r, err := f.nodeByID("vm3").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), maxApplyTime)
	must.NoError(t, err)
	must.Eq(t, 8, r.GetVmsInForce(), must.Sprintf("within %s, unconfirmed VMs: %v", maxApplyTime, r.GetVmsNotHeard()))
}

func TestPublishNamesUnconfirmedVMs(t *testing.T) {
	f := startConfiguredFleet(t, 3)
	f.nodeByID("vm2").partitioned.Store(true)
	f.store.SetFaults(wqfakestore.Faults{SuppressWatches: true})
	r, err := f.nodeByID("vm0").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), time.Second)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetVmsInForce())
	must.Eq(t, 3, r.GetVmsTotal())
	must.Eq(t, []string{"vm2"}, r.GetVmsNotHeard())
}

func TestStaleReadDoesNotRejectValidNote(t *testing.T) {
	f := startConfiguredFleet(t, 3)
	r, err := f.nodeByID("vm0").publish(t.Context(), &wqnote.Note{ID: "zone", Added: wqnote.Entries{Zones: []wqtopology.Zone{{ID: "z9", Region: "r"}}}}, maxApplyTime)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
	f.store.SetFaults(wqfakestore.Faults{StaleWrites: 1})
	_, err = f.nodeByID("vm1").publish(t.Context(), wqnote.ZoneOut("out-1", "z9"), maxApplyTime)
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err), must.Sprint("z9 exists but is missing from the stale read"))
	f.store.SetFaults(wqfakestore.Faults{})
	r, err = f.nodeByID("vm1").publish(t.Context(), wqnote.ZoneOut("out-1", "z9"), maxApplyTime)
	must.NoError(t, err)
	must.Eq(t, 3, r.GetRevision())
}

func TestConcurrentPublishesOneWinsOthersConflict(t *testing.T) {
	f := startConfiguredFleet(t, 3)
	var wg sync.WaitGroup
	errs := make([]error, 6)
	for i := range errs {
		wg.Go(func() {
			n := wqnote.ZoneOut(fmt.Sprintf("note-%d", i), fmt.Sprintf("z%d", i%3))
			n.BaseRevision = 1
			_, errs[i] = f.nodeByID(fmt.Sprintf("vm%d", i%3)).publish(t.Context(), n, maxApplyTime)
		})
	}
	wg.Wait()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		must.Eq(t, wqfault.Conflict, wqfault.KindOf(err))
		must.StrContains(t, err.Error(), "based on revision 1, but the newest is 2; since then note note-")
	}
	must.Eq(t, 1, accepted)
}

// Notes that take a zone out or back, published concurrently at several VMs, are
// all accepted in some order, and all VMs end with the same history.
func TestConcurrentZoneChangesConverge(t *testing.T) {
	f := startConfiguredFleet(t, 3)
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			n := wqnote.ZoneOut(fmt.Sprintf("out-%d", i), "z0")
			if i%2 == 1 {
				n = wqnote.ZoneBack(fmt.Sprintf("back-%d", i), "z0")
			}
			r, err := f.nodeByID(fmt.Sprintf("vm%d", i%3)).publish(t.Context(), n, maxApplyTime)
			must.NoError(t, err)
			must.Eq(t, 3, r.GetVmsInForce())
		})
	}
	wg.Wait()
	want := f.nodeByID("vm0").history.Load()
	must.Eq(t, 7, want.Revision())
	for id := range f.members() {
		must.Eq(t, want, f.nodeByID(id).history.Load())
	}
}

func TestPartlyInvalidNoteIsRejected(t *testing.T) {
	f := startConfiguredFleet(t, 3)
	_, err := f.nodeByID("vm0").publish(t.Context(), &wqnote.Note{ID: "half", Out: []string{"z0", "nowhere"}, Withdrawn: wqnote.Names{Searchers: []string{"s9"}}}, maxApplyTime)
	must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
	must.StrContains(t, err.Error(), "has 2 faults")
	must.StrContains(t, err.Error(), "zone nowhere does not exist")
	must.StrContains(t, err.Error(), "s9 is withdrawn but does not exist")
	must.Eq(t, 1, f.nodeByID("vm0").history.Load().Revision())
}

func TestOperatorCallsRequireToken(t *testing.T) {
	f := newFleet(t, 1)
	_, err := f.nodeByID("vm0").operatorHandler.Publish(t.Context(), connect.NewRequest(&wqpb.PublishRequest{}))
	must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	_, err = f.nodeByID("vm0").operatorHandler.Status(t.Context(), connect.NewRequest(&wqpb.StatusRequest{}))
	must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(err))
}

// All VMs are replaced one by one while the store hangs. New VMs get the
// configuration from their peers.
func TestRollingReplacementDuringStoreOutage(t *testing.T) {
	f := startConfiguredFleet(t, 4)
	f.store.SetFaults(wqfakestore.Faults{Hang: true})
	for i := range 4 {
		f.killNode(fmt.Sprintf("vm%d", i))
		n := f.startNode(fmt.Sprintf("new%d", i), fmt.Sprintf("z%d", i%3))
		waitFor(t, "the new VM has put the configuration in force", func() bool { return n.history.Load().Revision() == 1 })
	}
}

// A VM that starts while store reads are stale and no peer is left puts no
// configuration in force until a read is confirmed as the newest.
func TestNewVMIgnoresStaleStore(t *testing.T) {
	f := startConfiguredFleet(t, 2)
	_, err := f.nodeByID("vm0").publish(t.Context(), wqnote.ZoneOut("out-1", "z0"), maxApplyTime)
	must.NoError(t, err)
	f.store.SetFaults(wqfakestore.Faults{StaleWrites: 1})
	f.killNode("vm0")
	f.killNode("vm1")
	n := f.startNode("new", "z0")
	time.Sleep(1500 * time.Millisecond)
	must.Eq(t, 0, n.history.Load().Revision())
	f.store.SetFaults(wqfakestore.Faults{})
	waitFor(t, "the new VM has put the newest configuration in force", func() bool { return n.history.Load().Revision() == 2 })
}

// A fixed number of VMs per zone watches the store, so the rate of store calls
// does not depend on the size of the fleet. Also logs the bytes between VMs and the
// CPU time of one change; docs/capacity/configuration.md records these.
func TestStoreCallRateIndependentOfFleetSize(t *testing.T) {
	for _, size := range []int{8, 50, 200} {
		f := startConfiguredFleet(t, size)
		time.Sleep(time.Second)
		before, began := f.store.Counts(), time.Now()
		time.Sleep(3 * time.Second)
		after := f.store.Counts()
		callsPerSecond := float64(after.Total()-before.Total()) / time.Since(began).Seconds()
		bytesBefore, cpuBefore := f.peerBytes.Load(), cpuTime()
		r := f.nodeByID("vm1").publishWithRetry(t, wqnote.ZoneOut("out-1", "z0"))
		must.Eq(t, uint32(size), r.GetVmsInForce())
		t.Logf("%d VMs, 6 watchers: %.1f store calls/s (%d reads, %d watches); a change: %d bytes between VMs, %s of CPU time in total",
			size, callsPerSecond, after.Gets-before.Gets, after.Watches-before.Watches, f.peerBytes.Load()-bytesBefore, cpuTime()-cpuBefore)
		must.Less(t, 8, callsPerSecond, must.Sprint("6 VMs watch the store, independent of the size of the fleet"))
	}
}

func cpuTime() time.Duration {
	runtime.GC()
	u := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func waitFor(t *testing.T, condition string, check func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), maxApplyTime)
	defer cancel()
	for !check() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			t.Fatalf("condition does not hold within %s: %s", maxApplyTime, condition)
		}
	}
}
