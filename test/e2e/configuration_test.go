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
	inForceBound = 7 * time.Second // inForceBound is the longest time from acceptance until a change is in force everywhere.
	zoneBound    = 3 * time.Second // zoneBound is the longest time until a zone that is taken out gets no new work.
)

func operator(vm *wqprocess.VM) wqpbconnect.OperatorServiceClient {
	return wqpbconnect.NewOperatorServiceClient(&http.Client{Timeout: time.Minute}, "http://"+vm.CallerAddress)
}

// publish sends a note to a VM and returns what it answers.
func publish(t *testing.T, vm *wqprocess.VM, n *wqnote.Note, wait time.Duration) (*wqpb.PublishResponse, error) {
	t.Helper()
	data, err := wqdocument.EncodeNote(n)
	must.NoError(t, err)
	r := connect.NewRequest(&wqpb.PublishRequest{Note: data, WaitMillis: uint32(wait.Milliseconds())})
	r.Header().Set("Authorization", "Bearer "+wqprocess.OperatorToken)
	m, err := operator(vm).Publish(t.Context(), r)
	if err != nil {
		return nil, wqconnecterror.Decode(err)
	}
	return m.Msg, nil
}

// revision returns the configuration that a VM has in force, 0 when it does
// not answer.
func revision(t *testing.T, vm *wqprocess.VM) uint64 {
	t.Helper()
	r := connect.NewRequest(&wqpb.StatusRequest{})
	r.Header().Set("Authorization", "Bearer "+wqprocess.OperatorToken)
	m, err := operator(vm).Status(t.Context(), r)
	if err != nil {
		return 0
	}
	return m.Msg.GetRevision()
}

func waitRevision(t *testing.T, vm *wqprocess.VM, want uint64, bound time.Duration) {
	t.Helper()
	began := time.Now()
	for revision(t, vm) != want {
		must.Less(t, bound, time.Since(began), must.Sprintf("%s has revision %d, not %d, after the bound", vm.ID, revision(t, vm), want))
		time.Sleep(20 * time.Millisecond)
	}
}

// ready returns a small fleet that serves.
func ready(t *testing.T) *wqprocess.Fleet {
	t.Helper()
	f := wqprocess.Start(t, wqprocess.Options{VMs: 3, Shards: 2, Replicas: 3})
	f.WaitServing()
	return f
}

// The store dies right after accepting. All VMs have the change within the
// bound, and all of them are then replaced, one by one, with the store down.
func TestZoneOutOutlivesTheStoreAndAllVMs(t *testing.T) {
	f := ready(t)
	f.Store.SetFaults(wqfakestore.Faults{OutageAfterSwaps: 1})
	began := time.Now()
	r, err := publish(t, f.VMs[1], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), zoneBound)
	must.NoError(t, err)
	must.Eq(t, 3, r.GetVmsInForce(), must.Sprintf("bound %s, not heard: %v", zoneBound, r.GetVmsNotHeard()))
	t.Logf("in force on 3 VMs after %s", time.Since(began))
	for _, old := range f.VMs[:3] {
		old.Kill()
		waitRevision(t, f.StartVM(), 2, inForceBound)
	}
}

// A reply is lost after the swap took effect, first on the way and then with
// an outage that follows: publishing again never applies the note twice.
func TestPublishAgainAfterALostReply(t *testing.T) {
	f := ready(t)
	f.Store.SetFaults(wqfakestore.Faults{DropReplies: 1})
	r, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), inForceBound)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
	f.Store.SetFaults(wqfakestore.Faults{DropReplies: 1, OutageAfterSwaps: 1})
	_, err = publish(t, f.VMs[0], wqnote.ZoneBack("back-1", wqprocess.ZoneName(2)), inForceBound)
	must.Eq(t, wqfault.OutcomeUnknown, wqfault.KindOf(err))
	f.Store.SetFaults(wqfakestore.Faults{})
	r, err = publish(t, f.VMs[1], wqnote.ZoneBack("back-1", wqprocess.ZoneName(2)), inForceBound)
	must.NoError(t, err)
	must.True(t, r.GetAcceptedBefore())
	must.Eq(t, 3, r.GetRevision())
	for _, vm := range f.VMs {
		waitRevision(t, vm, 3, inForceBound)
	}
}

// A VM is frozen while a zone goes out: the operator learns that it was not
// heard from, and it has the change soon after it wakes.
func TestFrozenVMIsNamedAndCatchesUp(t *testing.T) {
	f := ready(t)
	f.VMs[2].Freeze()
	r, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(1)), 2*time.Second)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetVmsInForce())
	must.Eq(t, []string{f.VMs[2].ID}, r.GetVmsNotHeard())
	f.VMs[2].Thaw()
	waitRevision(t, f.VMs[2], 2, zoneBound)
}

// With the store hanging nothing is accepted, and a VM that boots takes the
// configuration from its peers.
func TestStoreThatHangsAcceptsNothing(t *testing.T) {
	f := ready(t)
	f.StoreProxy.Blackhole()
	_, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), inForceBound)
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err))
	must.StrContains(t, err.Error(), "nothing was accepted")
	waitRevision(t, f.StartVM(), 1, inForceBound)
	f.StoreProxy.Heal()
	r, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), inForceBound)
	must.NoError(t, err)
	must.Eq(t, 2, r.GetRevision())
}

// The only VM left boots while the store answers from the past: it serves
// nothing until the store is current again.
func TestBootFromAStaleStoreServesNothingOld(t *testing.T) {
	f := ready(t)
	_, err := publish(t, f.VMs[0], wqnote.ZoneOut("out-1", wqprocess.ZoneName(2)), inForceBound)
	must.NoError(t, err)
	f.Store.SetFaults(wqfakestore.Faults{StaleWrites: 1})
	for _, vm := range f.VMs {
		vm.Kill()
	}
	vm := f.StartVM()
	for range 20 {
		must.Eq(t, 0, revision(t, vm))
		time.Sleep(100 * time.Millisecond)
	}
	f.Store.SetFaults(wqfakestore.Faults{})
	waitRevision(t, vm, 2, inForceBound)
}

// Two operators race with out and back through different VMs: every VM ends
// with the same last word.
func TestRacingOperatorsEndEqualOnAllVMs(t *testing.T) {
	f := ready(t)
	done := make(chan error)
	for i := range 2 {
		go func() {
			for j := range 3 {
				n := wqnote.ZoneOut(fmt.Sprintf("out-%d-%d", i, j), wqprocess.ZoneName(2))
				if (i+j)%2 == 1 {
					n = wqnote.ZoneBack(fmt.Sprintf("back-%d-%d", i, j), wqprocess.ZoneName(2))
				}
				if _, err := publish(t, f.VMs[i], n, inForceBound); err != nil {
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
		waitRevision(t, vm, 7, inForceBound)
	}
}
