package e2e_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqprocess"
)

// recoveryBound is the longest time for which quick kills may stop a fleet: the
// outage that nobody is awake for.
const recoveryBound = time.Minute

// Five of five VMs are killed two seconds apart, each replaced at once. No VM
// may be left that takes itself for cut off.
func TestFleetRecoversFromQuickKills(t *testing.T) {
	f := wqprocess.Start(t, wqprocess.Options{VMs: 5, Shards: shards, Replicas: 2})
	f.WaitServing()
	for _, vm := range f.VMs[:5] {
		vm.Kill()
		f.StartVM()
		time.Sleep(2 * time.Second)
	}
	began := time.Now()
	for _, vm := range f.RunningVMs() {
		for vm.CheckReady() != nil {
			must.Less(t, recoveryBound, time.Since(began), must.Sprintf("%s is not ready after the bound", vm.ID))
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("%s is ready %s after the last kill", vm.ID, time.Since(began).Round(100*time.Millisecond))
	}
}
