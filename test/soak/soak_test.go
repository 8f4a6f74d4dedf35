// Package soak_test runs the real program as several processes under random
// faults from outside and checks, from what callers and searchers see, that the
// promises hold.
//
// # Usage
//
//	go test ./test/soak -v -timeout 30m -seeds 50 # 50 seeds by hand
//	go test ./test/soak -v -seeds 1 -first 17     # one seed again
//
// Without flags it runs a short fixed series, as CI does, and every seed that
// ever failed. Each seed prints a line when it ends; a failure prints what was
// done, and the processes' logs are kept.
package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

var (
	seeds = flag.Int("seeds", 2, "how many seeds to run")
	first = flag.Uint64("first", 1, "the first seed")
)

// failed are the seeds that ever failed, each with its cause.
var failed = map[uint64]string{}

const (
	shards  = 5
	clients = 6
	steps   = 14
	// settleTime is how long after the last fault everything must hold again: the
	// stability time of the users' deployments and their bound for changes.
	settleTime = 4*time.Second + wqfakeplatform.MaxApplyTime
)

func TestSoak(t *testing.T) {
	series := make([]uint64, 0, *seeds+len(failed))
	for i := range *seeds {
		series = append(series, *first+uint64(i))
	}
	for seed := range failed {
		series = append(series, seed)
	}
	for _, seed := range series {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is one run.
type soak struct {
	*wqfakeplatform.Fleet
	t       *testing.T
	random  *rand.Rand
	version int
	set     []string // set are the shards of the newest version.
	sets    [][]string
	left    map[*wqfakeplatform.Searcher]time.Time // left is when each leaving searcher said so.
	states  map[*wqfakeplatform.Searcher]int       // states counts the words of each searcher.
	ending  map[*wqfakeplatform.VM]bool            // ending are the VMs that were told to stop.
	done    []string
	began   time.Time
}

func newSoak(t *testing.T, seed uint64) *soak {
	random := rand.New(rand.NewPCG(seed, seed))
	vms := 3 + random.IntN(3)
	if random.IntN(5) == 0 {
		vms = 14 // Large enough for hubs.
	}
	set := wqfakeplatform.Shards(1, shards)
	s := &soak{
		Fleet: wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: vms, Shards: shards}), t: t, random: random, version: 1,
		set: set, sets: [][]string{set}, left: make(map[*wqfakeplatform.Searcher]time.Time), states: make(map[*wqfakeplatform.Searcher]int),
		ending: make(map[*wqfakeplatform.VM]bool),
	}
	s.PutConfiguration(s.Configuration(1, set))
	s.WaitReady()
	s.began = time.Now()
	return s
}

func (s *soak) run() {
	stop := s.load()
	for range steps {
		s.step()
		time.Sleep(time.Duration(50+s.random.IntN(500)) * time.Millisecond)
	}
	s.heal()
	time.Sleep(settleTime)
	s.publish()
	time.Sleep(wqfakeplatform.MaxApplyTime)
	stop()
	s.check()
	s.t.Logf("seed ends after %s: %d VMs, %d replies, version %d", time.Since(s.began).Round(time.Second), len(s.VMs), s.ReplyCount(), s.version)
}

func (s *soak) note(format string, a ...any) {
	line := fmt.Sprintf("%6.2f s ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, a...)
	s.done = append(s.done, line)
}

// load asks all VMs until the function that it returns is called.
func (s *soak) load() func() {
	done := make(chan struct{})
	var g sync.WaitGroup
	for c := range clients {
		g.Go(func() {
			for n := c; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.IntN(15)) * time.Millisecond):
				}
				method, target := http.MethodGet, []string{"/all/x", "/one/x", "/write/x"}[n%3]
				if n%3 == 2 {
					method = http.MethodPost
				}
				s.Send(s.VMs[(n/3)%len(s.VMs)], method, target, "body", time.Second)
			}
		})
	}
	return func() {
		close(done)
		g.Wait()
	}
}

func (s *soak) check() {
	broken := s.Violations(s.sets...)
	for searcher, at := range s.left {
		for _, r := range searcher.Executions() {
			// Faults on VMs and the store may delay the news until all has healed.
			if r.StartedAt.After(at.Add(settleTime)) && r.StartedAt.After(s.began.Add(settleTime)) && r.StartedAt.Sub(at) > 2*settleTime {
				broken = append(broken, "request "+r.RequestID+" reached "+searcher.ID+", which had left")
				break
			}
		}
	}
	for _, vm := range s.VMs {
		if r := s.Send(vm, http.MethodGet, "/all/x", "", time.Second); r.Code != http.StatusOK {
			broken = append(broken, fmt.Sprintf("%s answers %d after all has healed", vm.Name, r.Code))
		}
		if r := s.Send(vm, http.MethodGet, fmt.Sprintf("/v%d/x", s.version), "", time.Second); r.Code != http.StatusOK {
			broken = append(broken, fmt.Sprintf("%s has not put version %d in force: %d", vm.Name, s.version, r.Code))
		}
	}
	if len(broken) == 0 {
		return
	}
	for _, line := range s.done {
		s.t.Log(line)
	}
	for _, line := range broken[:min(len(broken), 10)] {
		s.t.Log("broken: ", line)
	}
	must.SliceEmpty(s.t, broken[:min(len(broken), 1)])
}

// publish puts the next version in force, with a route of its own.
func (s *soak) publish() {
	s.version += 1 + s.random.IntN(3)
	c := s.Configuration(s.version, s.set)
	own := c.Routes[1]
	own.Name, own.Prefix = fmt.Sprint("v", s.version), fmt.Sprintf("/v%d/", s.version)
	c.Routes = append(c.Routes, own)
	s.PutConfiguration(c)
	s.note("version %d", s.version)
}

// heal ends all faults and starts the VMs that are down.
func (s *soak) heal() {
	s.Store.SetDown(false)
	s.Store.SetHanging(false)
	s.Store.Remove("op/evacuate/a")
	for _, searcher := range s.AllSearchers() {
		searcher.SetBehaviour(wqfakeplatform.Behaviour{})
		searcher.Proxy.Heal()
	}
	for _, vm := range s.VMs {
		vm.Signal(syscall.SIGCONT)
		vm.StoreProxy.Heal()
		if s.ending[vm] {
			<-vm.Exited() // A graceful stop takes its time.
		}
		if !vm.Running() {
			vm.Start()
		}
	}
	s.note("healed")
}
