package wqhost

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// checkInterval is the simulated time between two checks of the versions in force.
const checkInterval = 20 * time.Millisecond

// useOneProcessor sets GOMAXPROCS to 1 until the test ends: in Go 1.26, timers of
// a synctest bubble that fire on two threads at once share one context of the race
// detector, which then crashes.
func useOneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// checkAppliedFor repeats checkApplied for d and fails the test on its first error.
func (m *fleetModel) checkAppliedFor(t *testing.T, d time.Duration) {
	t.Helper()
	start := time.Now()
	for time.Since(start) < d {
		time.Sleep(checkInterval)
		if err := m.checkApplied(); err != nil {
			t.Fatalf("after %v: %v", time.Since(start), err)
		}
	}
}

func (m *fleetModel) stop() {
	for _, v := range m.vms {
		v.cancel()
	}
	time.Sleep(time.Hour) // Until calls without a response fail.
	synctest.Wait()
}

// Guards against a change that comes late because VMs still wait in watches that
// the store never answers. The store stops answering for 0.5 s to 12 s, so that it
// recovers at any point of watches that all VMs began together.
func TestChangeAfterTheStoreStoppedAnsweringIsInForceInTime(t *testing.T) {
	useOneProcessor(t)
	for outage := 500 * time.Millisecond; outage <= 12*time.Second; outage += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(7)
			defer m.stop()
			m.writeVersion()
			m.checkAppliedFor(t, 10*time.Second)
			m.writeVersion()
			m.checkAppliedFor(t, time.Second)
			go func() {
				m.setMode(modeSilent, outage)
				time.Sleep(100 * time.Millisecond)
				m.writeVersion()
			}()
			m.checkAppliedFor(t, outage+8*time.Second)
		})
	}
}

// Guards against VMs that compare revisions from before and after a restore of the store:
// with a copy of any age, and a second writing at any time after the return.
func TestChangeAfterARestoreIsInForceInTime(t *testing.T) {
	useOneProcessor(t)
	for age := time.Duration(0); age <= 9*time.Second; age += 500 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(7)
			defer m.stop()
			for range 5 {
				m.writeVersion()
				m.checkAppliedFor(t, 2*time.Second)
			}
			m.restore(2*time.Second, age, age/4)
			m.writeVersion()
			m.checkAppliedFor(t, 8*time.Second)
			m.restore(time.Second, age, 0)
			m.checkAppliedFor(t, 8*time.Second)
		})
	}
}

// Random faults of the store and of VMs overlap. WISTERIAQUAY_SEEDS sets the
// number of runs.
func TestConfirmedChangesAreInForceInTimeUnderFaults(t *testing.T) {
	useOneProcessor(t)
	seeds := uint64(200)
	if s := os.Getenv("WISTERIAQUAY_SEEDS"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		must.NoError(t, err)
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

// faultKinds are the events of a random run, repeated for a higher probability.
var faultKinds = []string{"write", "write", "write", "write", "write", "store", "compact", "refuse", "refuse", "cut", "kill", "kill", "restore"}

func runFaults(t *testing.T, random *rand.Rand) {
	m := newModel(1 + random.IntN(14))
	defer m.stop()
	randomDuration := func(from, to time.Duration) time.Duration {
		return from + time.Duration(random.Int64N(int64(to-from)))
	}
	m.writeVersion()
	m.checkAppliedFor(t, 8*time.Second)
	var elapsed time.Duration
	for elapsed < 40*time.Second {
		gap := randomDuration(0, 1500*time.Millisecond)
		m.checkAppliedFor(t, gap)
		elapsed += gap
		d := randomDuration(200*time.Millisecond, 8*time.Second)
		v, event := m.vms[random.IntN(len(m.vms))], faultKinds[random.IntN(len(faultKinds))]
		t.Logf("at %v: %s for %v, %s", elapsed, event, d, v.member.ID)
		switch event {
		case "write":
			go m.writeVersion()
		case "store":
			if m.storeServes() {
				go m.setMode(storeMode(1+random.IntN(3)), d)
			}
		case "compact":
			go m.compact(time.Second)
		case "restore":
			if m.storeServes() {
				go m.restore(d/4, randomDuration(0, 9*time.Second), randomDuration(0, 2*time.Second))
			}
		case "refuse":
			if m.mayChangeMode(v) {
				go v.setMode(storeMode(1+random.IntN(3)), d)
			}
		case "cut":
			if v.connected() {
				go v.isolate(d)
			}
		case "kill":
			if v.connected() {
				go v.restart(randomDuration(10*time.Millisecond, time.Second), -time.Duration(random.IntN(2))*randomDuration(0, time.Minute))
			}
		}
	}
	m.checkAppliedFor(t, 15*time.Second)
}

func (m *fleetModel) storeServes() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.mode == modeServing
}

func (v *modelVM) connected() bool {
	v.model.mutex.Lock()
	defer v.model.mutex.Unlock()
	return !v.down
}

// mayChangeMode reports whether the store may stop serving this VM alone: it
// serves at least two thirds of the VMs.
func (m *fleetModel) mayChangeMode(v *modelVM) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	n := 1
	for _, o := range m.vms {
		if o.mode != modeServing {
			n++
		}
	}
	return v.mode == modeServing && n <= len(m.vms)/3
}
