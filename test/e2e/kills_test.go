package e2e_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqprocess"
)

// maxRecoveryTime is the maximum time from the last kill until all VMs are ready.
// The fleet has to recover without an operator, as none may be available then.
const maxRecoveryTime = time.Minute

// Guards against VMs that stay isolated: five of five VMs are killed, two seconds
// apart, and each is replaced at once.
func TestFleetRecoversFromQuickKills(t *testing.T) {
	f := wqprocess.Start(t, wqprocess.Options{VMs: 5, Shards: shardCount, Replicas: 2})
	f.WaitServing()
	for _, vm := range f.VMs[:5] {
		vm.Kill()
		f.StartVM()
		time.Sleep(2 * time.Second)
	}
	lastKill := time.Now()
	for _, vm := range f.RunningVMs() {
		for vm.CheckReady() != nil {
			must.Less(t, maxRecoveryTime, time.Since(lastKill), must.Sprintf("%s is not ready in time", vm.ID))
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("%s is ready %s after the last kill", vm.ID, time.Since(lastKill).Round(100*time.Millisecond))
	}
}
