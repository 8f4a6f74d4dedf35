package e2e_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqdocument"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
	"wisteriaquay/test/wqfakestore"
	"wisteriaquay/test/wqprocess"
)

const (
	maxInForceDelay = 7 * time.Second // from acceptance until a change is in force on all VMs
	maxZoneOutDelay = 3 * time.Second // from the command until a zone that is taken out receives no requests
)

func operatorClient(vm *wqprocess.VM) wqpbconnect.OperatorServiceClient {
	return wqpbconnect.NewOperatorServiceClient(&http.Client{Timeout: time.Minute}, "http://"+vm.CallerAddress)
}

// publish sends a note to a VM, which waits up to wait until the change is in force
// everywhere, and returns its answer.
func publish(t *testing.T, vm *wqprocess.VM, n *wqnote.Note, wait time.Duration) (*wqpb.PublishResponse, error) {
	t.Helper()
	data, err := wqdocument.EncodeNote(n)
	must.NoError(t, err)
	r := connect.NewRequest(&wqpb.PublishRequest{Note: data, WaitMillis: uint32(wait.Milliseconds())})
	r.Header().Set("Authorization", "Bearer "+wqprocess.OperatorToken)
	m, err := operatorClient(vm).Publish(t.Context(), r)
	if err != nil {
		return nil, wqconnecterror.Decode(err)
	}
	return m.Msg, nil
}

// revisionInForce returns the configuration revision in force on a VM, or 0 if the
// VM does not answer.
func revisionInForce(t *testing.T, vm *wqprocess.VM) uint64 {
	t.Helper()
	r := connect.NewRequest(&wqpb.StatusRequest{})
	r.Header().Set("Authorization", "Bearer "+wqprocess.OperatorToken)
	m, err := operatorClient(vm).Status(t.Context(), r)
	if err != nil {
		return 0
	}
	return m.Msg.GetRevision()
}

// waitRevision waits until a VM has revision want in force, and fails the test after
// timeout.
func waitRevision(t *testing.T, vm *wqprocess.VM, want uint64, timeout time.Duration) {
	t.Helper()
	start := time.Now()
	for revisionInForce(t, vm) != want {
		must.Less(t, timeout, time.Since(start), must.Sprintf("%s has revision %d, not %d, after the timeout", vm.ID, revisionInForce(t, vm), want))
		time.Sleep(20 * time.Millisecond)
	}
}

// startServingFleet starts three VMs and waits until they answer queries.
func startServingFleet(t *testing.T) *wqprocess.Fleet {
	t.Helper()
	f := wqprocess.Start(t, wqprocess.Options{VMs: 3, Shards: 2, Replicas: 3})
	f.WaitServing()
	return f
}

// Guards against a change that is dropped or delayed when the store fails right
// after it accepted the change, also when all VMs are then replaced, one by one,
// with the store down.
func TestZoneOutSurvivesStoreOutageAndVMReplacement(t *testing.T) {
	f := startServingFleet(t)
	f.Store.SetFaults(wqfakestore.Faults{OutageAfterSwaps: 1})
	start := time.Now()
	r, err := publish(t, f.VMs[1], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), maxZoneOutDelay)
	must.NoError(t, err)
	must.Eq(t, 3, r.GetVmsInForce(), must.Sprintf("limit %s, not confirmed by: %v", maxZoneOutDelay, r.GetVmsNotHeard()))
	t.Logf("in force on 3 VMs after %s", time.Since(start))
	for _, old := range f.VMs[:3] {
		old.Kill()
		waitRevision(t, f.StartVM(), 2, maxInForceDelay)
	}
}

// Guards against a note that is applied twice: the store drops the reply to a swap
// that took effect, alone and followed by an outage, and the note is published again.
func TestPublishRetryAfterDroppedReplyAppliesOnce(t *testing.T) {
	f := startServingFleet(t)
	f.Store.SetFaults(wqfakestore.Faults{DropReplies: 1})
	r, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), maxInForceDelay)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
	f.Store.SetFaults(wqfakestore.Faults{DropReplies: 1, OutageAfterSwaps: 1})
	_, err = publish(t, f.VMs[0], wqnote.ZoneBack("back-1", wqprocess.ZoneName(2)), maxInForceDelay)
	must.Eq(t, wqfault.OutcomeUnknown, wqfault.KindOf(err))
	f.Store.SetFaults(wqfakestore.Faults{})
	r, err = publish(t, f.VMs[1], wqnote.ZoneBack("back-1", wqprocess.ZoneName(2)), maxInForceDelay)
	must.NoError(t, err)
	must.True(t, r.GetAcceptedBefore())
	must.Eq(t, 3, r.GetRevision())
	for _, vm := range f.VMs {
		waitRevision(t, vm, 3, maxInForceDelay)
	}
}

// Guards against a frozen VM that the answer to a publish does not report, or that
// does not apply the change within maxZoneOutDelay after it resumes.
func TestFrozenVMIsReportedAndCatchesUp(t *testing.T) {
	f := startServingFleet(t)
	f.VMs[2].Freeze()
	r, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(1)), 2*time.Second)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetVmsInForce())
	must.Eq(t, []string{f.VMs[2].ID}, r.GetVmsNotHeard())
	f.VMs[2].Thaw()
	waitRevision(t, f.VMs[2], 2, maxZoneOutDelay)
}

// Guards against a note that is accepted while the store hangs, and against a VM
// that starts during the hang and cannot load the configuration from its peers.
func TestHangingStoreAcceptsNothing(t *testing.T) {
	f := startServingFleet(t)
	f.StoreProxy.Blackhole()
	_, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), maxInForceDelay)
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err))
	must.StrContains(t, err.Error(), "nothing was accepted")
	waitRevision(t, f.StartVM(), 1, maxInForceDelay)
	f.StoreProxy.Heal()
	r, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), maxInForceDelay)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
}

// Guards against an old revision in force: all VMs are killed and a new one starts
// while the store returns stale reads. It must not apply any revision until the
// store is current again.
func TestBootFromStaleStoreAppliesNoOldRevision(t *testing.T) {
	f := startServingFleet(t)
	_, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), maxInForceDelay)
	must.NoError(t, err)
	f.Store.SetFaults(wqfakestore.Faults{StaleWrites: 1})
	for _, vm := range f.VMs {
		vm.Kill()
	}
	vm := f.StartVM()
	for range 20 {
		must.Eq(t, 0, revisionInForce(t, vm))
		time.Sleep(100 * time.Millisecond)
	}
	f.Store.SetFaults(wqfakestore.Faults{})
	waitRevision(t, vm, 2, maxInForceDelay)
}

// Guards against VMs that end with different revisions when two operators publish
// zone out and zone back at the same time through different VMs.
func TestConcurrentPublishesConverge(t *testing.T) {
	f := startServingFleet(t)
	done := make(chan error)
	for i := range 2 {
		go func() {
			for j := range 3 {
				n := wqnote.ZoneOut(fmt.Sprintf("out-%d-%d", i, j), wqprocess.ZoneName(2))
				if (i+j)%2 == 1 {
					n = wqnote.ZoneBack(fmt.Sprintf("back-%d-%d", i, j), wqprocess.ZoneName(2))
				}
				if _, err := publish(t, f.VMs[i], n, maxInForceDelay); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	must.NoError(t, <-done)
	must.NoError(t, <-done)
	for _, vm := range f.VMs {
		waitRevision(t, vm, 7, maxInForceDelay)
	}
}
