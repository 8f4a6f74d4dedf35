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

// lookEvery is the time between two checks of what is in force.
const lookEvery = 20 * time.Millisecond

// oneProcessor has bubbles run on one thread at a time until the test ends: in
// Go 1.26, timers of a bubble that fire on two threads at once share one context
// of the race detector, which then crashes.
func oneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// watchOver checks the fleet for a time.
func (m *model) watchOver(t *testing.T, d time.Duration) {
	t.Helper()
	start := time.Now()
	for time.Since(start) < d {
		time.Sleep(lookEvery)
		if err := m.late(); err != nil {
			t.Fatalf("after %v: %v", time.Since(start), err)
		}
	}
}

func (m *model) end() {
	for _, v := range m.vms {
		v.cancel()
	}
	time.Sleep(time.Hour) // Calls that were never answered end.
	synctest.Wait()
}

// The silence ends at any moment of a watch that all VMs began together.
func TestChangeAfterTheStoreFellSilentIsInForceInTime(t *testing.T) {
	oneProcessor(t)
	for length := 500 * time.Millisecond; length <= 12*time.Second; length += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(7)
			defer m.end()
			m.write()
			m.watchOver(t, 10*time.Second)
			m.write()
			m.watchOver(t, time.Second)
			go func() {
				m.disturb(silent, length)
				time.Sleep(100 * time.Millisecond)
				m.write()
			}()
			m.watchOver(t, length+8*time.Second)
		})
	}
}

// The faults overlap; set WISTERIAQUAY_SEEDS to draw more runs.
func TestConfirmedChangesAreInForceInTimeUnderFaults(t *testing.T) {
	oneProcessor(t)
	seeds := uint64(200)
	if s := os.Getenv("WISTERIAQUAY_SEEDS"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		must.NoError(t, err)
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFaults(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

// events are what a drawn run consists of, each as often as it stands here.
var events = []string{"write", "write", "write", "write", "write", "store", "compact", "refuse", "refuse", "cut", "kill", "kill"}

func playFaults(t *testing.T, random *rand.Rand) {
	m := newModel(1 + random.IntN(14))
	defer m.end()
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(random.Int64N(int64(to-from)))
	}
	m.write()
	m.watchOver(t, 8*time.Second)
	var at time.Duration
	for at < 40*time.Second {
		gap := between(0, 1500*time.Millisecond)
		m.watchOver(t, gap)
		at += gap
		d := between(200*time.Millisecond, 8*time.Second)
		v, event := m.vms[random.IntN(len(m.vms))], events[random.IntN(len(events))]
		t.Logf("at %v: %s for %v, %s", at, event, d, v.member.ID)
		switch event {
		case "write":
			go m.write()
		case "store":
			if m.undisturbed() {
				go m.disturb(manner(1+random.IntN(3)), d)
			}
		case "compact":
			go m.compact(time.Second)
		case "refuse":
			if m.mayRefuse(v) {
				go v.refuse(manner(1+random.IntN(3)), d)
			}
		case "cut":
			if v.reachable() {
				go v.cutOff(d)
			}
		case "kill":
			if v.reachable() {
				go v.kill(between(10*time.Millisecond, time.Second), -time.Duration(random.IntN(2))*between(0, time.Minute))
			}
		}
	}
	m.watchOver(t, 15*time.Second)
}

func (m *model) undisturbed() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store == serves
}

func (v *modelVM) reachable() bool {
	v.model.mutex.Lock()
	defer v.model.mutex.Unlock()
	return !v.cut
}

// mayRefuse reports whether the store may refuse one more VM: a third at most.
func (m *model) mayRefuse(v *modelVM) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	n := 1
	for _, o := range m.vms {
		if o.refused != serves {
			n++
		}
	}
	return v.refused == serves && n <= len(m.vms)/3
}
