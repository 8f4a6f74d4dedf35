package tier_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// Guards against a verdict that is lost with the store's latest writes: a good version whose
// rollout begins anew, or a bad one that gets requests again.
func TestVerdictThatARestoreLosesIsWrittenAgain(t *testing.T) {
	for state, b := range map[string]wqfakeplatform.Behaviour{"completed": {}, "rolled_back": {FailEvery: 2}} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			f, _, stop := startRollout(t, 3, b)
			waitState(f, "running", rolloutDuration)
			copied := f.Store.Copy()
			waitState(f, state, rolloutDuration)
			time.Sleep(500 * time.Millisecond)
			f.Store.SetDown(true)
			time.Sleep(300 * time.Millisecond)
			f.Store.Restore(copied)
			f.Store.SetDown(false)
			restored := time.Now()
			f.Store.WriteAgain()
			waitState(f, state, 5*time.Second)
			time.Sleep(time.Second)
			stop()
			ofNew, ofOld := f.CountExecutions("orders", "v2", restored)
			if state == "completed" {
				must.Eq(t, 0, ofOld)
			} else {
				must.Eq(t, 0, ofNew)
			}
			values := f.Store.ValuesByEra("status/rollout/orders")
			must.Eq(t, values[0][len(values[0])-1], values[1][len(values[1])-1])
			must.Len(t, 1, values[1])
			checkGuarantees(t, f)
		})
	}
}
