package tier_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

const rolloutDuration = 20 * time.Second

// startRollout starts a fleet with load on the service orders, and the rollout of a
// version with two searchers. The stop function ends the load.
func startRollout(t *testing.T, vms int, b wqfakeplatform.Behaviour) (f *wqfakeplatform.Fleet, ordered time.Time, stop func()) {
	t.Helper()
	f = wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: vms, Shards: shardCount, Rollouts: true})
	f.PutConfiguration(f.Configuration(1, initialShards))
	f.WaitReady()
	t.Cleanup(func() { logSteps(t, f) })
	stop = startReads(f, 40)
	time.Sleep(time.Second)
	f.AddVersion("orders", "a", "v2", b)
	f.AddVersion("orders", "b", "v2", b)
	ordered = time.Now()
	f.OrderRollout("orders", "v2", rolloutDuration)
	return f, ordered, stop
}

// logSteps prints why the rollouts of a failed test ended as they did.
func logSteps(t *testing.T, f *wqfakeplatform.Fleet) {
	t.Helper()
	if !t.Failed() {
		return
	}
	for _, vm := range f.VMs {
		for line := range strings.SplitSeq(vm.Log(), "\n") {
			if strings.Contains(line, `"rollout `) {
				t.Log(line)
			}
		}
	}
}

// startReads sends this many requests a second to the service orders, to all VMs that run
// in turn.
func startReads(f *wqfakeplatform.Fleet, perSecond int) (stop func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if vm := f.VMs[n%len(f.VMs)]; vm.Running() {
				g.Go(func() { f.Send(vm, http.MethodGet, "/one/x", "", time.Second) })
			}
		}
	})
	return func() {
		close(done)
		g.Wait()
	}
}

// waitState waits until the status of the service orders has a state.
func waitState(f *wqfakeplatform.Fleet, state string, timeout time.Duration) {
	f.Eventually(timeout, func() bool {
		current, _ := f.RolloutState("orders")
		return current == state
	})
}

// checkExposure checks that the new version got no more than its share.
func checkExposure(t *testing.T, f *wqfakeplatform.Fleet, from time.Time) {
	t.Helper()
	ofVersion, others := f.CountExecutions("orders", "v2", from)
	must.LessEq(t, wqfakeplatform.CanaryShare*float64(ofVersion+others)+wqfakeplatform.CanarySlack, float64(ofVersion), must.Sprintf("%d of %d", ofVersion, ofVersion+others))
}

// Guards against a good version that is not completed by its deadline, and against
// requests that still reach the old version after it.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	f, ordered, stop := startRollout(t, 3, wqfakeplatform.Behaviour{})
	waitState(f, "completed", rolloutDuration)
	must.LessEq(t, rolloutDuration, time.Since(ordered))
	completed := time.Now()
	time.Sleep(500 * time.Millisecond)
	stop()
	_, others := f.CountExecutions("orders", "v2", completed)
	must.Eq(t, 0, others)
	must.Eq(t, []string{`{"state":"running","targetVersion":"v2"}`, `{"state":"completed","targetVersion":"v2"}`}, f.Store.ValuesOf("status/rollout/orders"))
	checkGuarantees(t, f)
}

// Guards against a bad version that gets more than its share, or anything after its
// verdict.
func TestFailingVersionIsRolledBack(t *testing.T) {
	for name, c := range map[string]struct {
		first, later wqfakeplatform.Behaviour
	}{
		"failing":       {wqfakeplatform.Behaviour{FailEvery: 2}, wqfakeplatform.Behaviour{FailEvery: 2}},
		"slow":          {wqfakeplatform.Behaviour{ProcessingTime: 150 * time.Millisecond}, wqfakeplatform.Behaviour{ProcessingTime: 150 * time.Millisecond}},
		"failing later": {wqfakeplatform.Behaviour{}, wqfakeplatform.Behaviour{FailEvery: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, ordered, stop := startRollout(t, 3, c.first)
			time.Sleep(8 * time.Second)
			for _, s := range f.SearchersOf("orders") {
				if s.Version == "v2" {
					s.SetBehaviour(c.later)
				}
			}
			waitState(f, "rolled_back", rolloutDuration)
			time.Sleep(time.Second)
			decided := time.Now()
			time.Sleep(time.Second)
			stop()
			checkExposure(t, f, ordered)
			ofVersion, _ := f.CountExecutions("orders", "v2", decided)
			must.Eq(t, 0, ofVersion)
			checkGuarantees(t, f)
		})
	}
}
