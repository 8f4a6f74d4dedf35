package tier_test

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

const (
	statusKey  = "status/rollout/orders"
	rolledBack = `{"state":"rolled_back","targetVersion":"v2"}`
	isRunning  = `{"state":"running","targetVersion":"v2"}`
)

// coordinator returns the VM that coordinated a rollout first.
func coordinator(f *wqfakeplatform.Fleet) *wqfakeplatform.VM {
	for _, vm := range f.VMs {
		if strings.Contains(vm.Log(), "coordinating a rollout") {
			return vm
		}
	}
	return nil
}

// Guards against a verdict that is written twice or changed after the coordinator ended
// between the write and its response.
func TestCoordinatorKilledAfterTheWriteWithoutItsResponse(t *testing.T) {
	t.Parallel()
	f, ordered, stop := startRollout(t, 3, wqfakeplatform.Behaviour{FailEvery: 2})
	waitState(f, "running", 5*time.Second)
	var once sync.Once
	f.Store.SetTransactions(wqfakeplatform.Transactions{LoseResponse: true, OnApplied: func() { once.Do(func() { coordinator(f).Kill() }) }})
	waitState(f, "rolled_back", rolloutDuration)
	time.Sleep(3 * time.Second)
	f.Store.SetTransactions(wqfakeplatform.Transactions{})
	decided := time.Now()
	time.Sleep(3 * time.Second)
	stop()
	must.Eq(t, []string{isRunning, rolledBack}, f.Store.ValuesOf(statusKey))
	checkExposure(t, f, ordered)
	ofVersion, _ := f.CountExecutions("orders", "v2", decided)
	must.Eq(t, 0, ofVersion)
}

// Guards against a verdict that has to wait for the store: the VMs act on it at once, and
// it is written when the store takes it.
func TestVerdictHoldsWhileItCanNotBeWritten(t *testing.T) {
	t.Parallel()
	f, ordered, stop := startRollout(t, 3, wqfakeplatform.Behaviour{Fail: true})
	waitState(f, "running", 5*time.Second)
	f.Store.SetTransactions(wqfakeplatform.Transactions{Refuse: true})
	f.Eventually(rolloutDuration, func() bool {
		for _, vm := range f.VMs {
			if !strings.Contains(vm.Log(), "rollout verdict") {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	decided := time.Now()
	time.Sleep(3 * time.Second)
	ofVersion, _ := f.CountExecutions("orders", "v2", decided)
	must.Eq(t, 0, ofVersion)
	state, _ := f.RolloutState("orders")
	must.Eq(t, "running", state)
	f.Store.SetTransactions(wqfakeplatform.Transactions{})
	waitState(f, "rolled_back", 10*time.Second)
	stop()
	checkExposure(t, f, ordered)
}

// Guards against a rollout that is forgotten when all VMs end, and against one that starts
// again with its whole share and time.
func TestRolloutGoesOnAfterAllVMsWereKilled(t *testing.T) {
	t.Parallel()
	f, ordered, stop := startRollout(t, 3, wqfakeplatform.Behaviour{})
	waitState(f, "running", 5*time.Second)
	time.Sleep(2 * time.Second)
	for _, vm := range f.VMs {
		vm.Kill()
	}
	for _, vm := range f.VMs {
		vm.Start()
	}
	f.WaitReady()
	waitState(f, "completed", rolloutDuration-time.Since(ordered))
	stop()
}

// Guards against a bad version that is used again after all VMs ended.
func TestRolledBackVersionStaysUnusedAfterAllVMsWereKilled(t *testing.T) {
	t.Parallel()
	f, ordered, stop := startRollout(t, 3, wqfakeplatform.Behaviour{Fail: true})
	waitState(f, "rolled_back", rolloutDuration)
	for _, vm := range f.VMs {
		vm.Kill()
	}
	restarted := time.Now()
	for _, vm := range f.VMs {
		vm.Start()
	}
	f.WaitReady()
	time.Sleep(2 * time.Second)
	stop()
	ofVersion, others := f.CountExecutions("orders", "v2", restarted)
	must.Eq(t, 0, ofVersion)
	must.Positive(t, others)
	checkExposure(t, f, ordered)
}

// Guards against orders that are mixed up: a replaced order ends, the new version counts;
// a withdrawn one leaves the old version; a repeated one is judged again.
func TestOrderIsReplacedWithdrawnAndRepeated(t *testing.T) {
	t.Parallel()
	f, _, stop := startRollout(t, 3, wqfakeplatform.Behaviour{})
	defer stop()
	waitState(f, "running", 5*time.Second)
	f.AddVersion("orders", "a", "v3", wqfakeplatform.Behaviour{Fail: true})
	f.OrderRollout("orders", "v3", rolloutDuration)
	waitState(f, "rolled_back", rolloutDuration)
	_, version := f.RolloutState("orders")
	must.Eq(t, "v3", version)
	f.OrderRollout("orders", "v3", rolloutDuration)
	f.Eventually(5*time.Second, func() bool { return strings.Count(strings.Join(f.Store.ValuesOf(statusKey), ""), "running") == 3 })
	f.Store.Remove("op/rollout/orders")
	waitState(f, "rolled_back", 5*time.Second)
	time.Sleep(time.Second)
	withdrawn := time.Now()
	time.Sleep(time.Second)
	ofVersion, _ := f.CountExecutions("orders", "v3", withdrawn)
	must.Eq(t, 0, ofVersion)
}

// Guards against an order that can't be carried out and never ends.
func TestOrderThatCanNotBeJudgedIsRolledBack(t *testing.T) {
	for name, c := range map[string]struct {
		version  string
		duration time.Duration
		reason   string
	}{
		"no searcher": {"v9", 15 * time.Second, "too little evidence"},
		"too short":   {"v2", 3 * time.Second, "too short for a verdict"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 2, Shards: shardCount, Rollouts: true})
			f.PutConfiguration(f.Configuration(1, initialShards))
			f.WaitReady()
			defer startReads(f, 20)()
			f.OrderRollout("orders", c.version, c.duration)
			waitState(f, "rolled_back", c.duration)
			must.StrContains(t, f.VMs[0].Log()+f.VMs[1].Log(), c.reason)
		})
	}
}

// Guards against a limit that gives way when the old searchers are gone: what can't be sent
// is refused as not run.
func TestLimitHoldsWhenOnlyNewSearchersAreLeft(t *testing.T) {
	t.Parallel()
	f, ordered, stop := startRollout(t, 3, wqfakeplatform.Behaviour{})
	waitState(f, "running", 5*time.Second)
	for _, s := range f.SearchersOf("orders")[:2] {
		f.Register(s, "draining", 2)
	}
	time.Sleep(wqfakeplatform.MaxDrainTime)
	r := f.Send(f.VMs[0], http.MethodGet, "/one/x", "", time.Second)
	must.Eq(t, http.StatusServiceUnavailable, r.Code)
	time.Sleep(2 * time.Second)
	stop()
	checkExposure(t, f, ordered)
	checkGuarantees(t, f)
}

// Guards against rollouts that share their evidence: one shard's version is good, the
// service orders gets a bad one at the same time.
func TestTwoServicesRollOutAtOnce(t *testing.T) {
	t.Parallel()
	f, ordered, stop := startRollout(t, 3, wqfakeplatform.Behaviour{FailEvery: 2})
	shard := initialShards[0]
	f.AddVersion(shard, "a", "v2", wqfakeplatform.Behaviour{})
	f.OrderRollout(shard, "v2", rolloutDuration)
	stopAll := startLoad(f, 2)
	waitState(f, "rolled_back", rolloutDuration)
	f.Eventually(rolloutDuration, func() bool {
		state, _ := f.RolloutState(shard)
		return state == "completed"
	})
	stopAll()
	stop()
	checkExposure(t, f, ordered)
	checkGuarantees(t, f)
}

// Guards against a coordinator that was frozen and goes on with old evidence, and against a
// fleet that waits for it.
func TestFrozenCoordinatorDoesNotStopARollout(t *testing.T) {
	t.Parallel()
	f, ordered, stop := startRollout(t, 5, wqfakeplatform.Behaviour{})
	waitState(f, "running", 5*time.Second)
	vm := coordinator(f)
	vm.Signal(syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	vm.Signal(syscall.SIGCONT)
	waitState(f, "completed", rolloutDuration-time.Since(ordered))
	stop()
	must.Eq(t, 1, strings.Count(strings.Join(f.Store.ValuesOf(statusKey), ""), "completed"))
}
