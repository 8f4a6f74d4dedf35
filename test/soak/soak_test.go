// Package soak_test runs the real program as several processes under random
// external faults, and checks the guarantees by the replies of callers and the
// executions of searchers.
//
// # Usage
//
//	go test ./test/soak -v -timeout 30m -seeds 50 # 50 seeds, for a manual run
//	go test ./test/soak -v -seeds 1 -first 17     # repeats seed 17
//
// Without flags it runs seeds 1 and 2, as CI does, and every seed in failedSeeds.
// Some seeds have client accounts, some an order of a rollout, to a good or a bad
// version, some a searcher that limits its requests, and some restores of the store.
// Each seed logs one line when it ends. A failed seed logs all actions with their
// times as well, and the processes' logs are kept.
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
	seedCount = flag.Int("seeds", 2, "number of seeds to run")
	firstSeed = flag.Uint64("first", 1, "the first seed")
)

// failedSeeds are seeds that failed in the past, each with the cause. All runs
// repeat them.
var failedSeeds = map[uint64]string{}

const (
	shardCount  = 5
	callerCount = 6
	actionCount = 14
	// partsStream gives accounts to seed 1 and the rollout of a bad version to seed 2.
	partsStream = 1252
	// drillStream gives a limit to seed 1, and a restore of the store to both.
	drillStream                                    = 26
	copyAction, restoreAction, secondRestoreAction = 2, 6, 10 // Numbers of the actions before which the store is copied and restored.
	// settleTime is the time from the end of the last fault until all guarantees
	// must hold again: 4 s, the time after which the users' deployments count as
	// stable, and the longest time until a change is in force.
	settleTime = 4*time.Second + wqfakeplatform.MaxApplyTime
)

func TestSoak(t *testing.T) {
	runSeeds := make([]uint64, 0, *seedCount+len(failedSeeds))
	for i := range *seedCount {
		runSeeds = append(runSeeds, *firstSeed+uint64(i))
	}
	for seed := range failedSeeds {
		runSeeds = append(runSeeds, seed)
	}
	for _, seed := range runSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is the run of one seed.
type soak struct {
	*wqfakeplatform.Fleet
	t             *testing.T
	random        *rand.Rand
	version       int
	shards        []string // Of the newest configuration.
	shardSets     [][]string
	drainedAt     map[*wqfakeplatform.Searcher]time.Time // Time of each draining searcher's registration as such.
	registrations map[*wqfakeplatform.Searcher]int       // Number of registrations after the first one.
	stopping      map[*wqfakeplatform.VM]bool            // VMs that were sent SIGTERM or SIGKILL.
	actions       []string
	startedAt     time.Time

	limited     *wqfakeplatform.Searcher // Searcher that limits its requests; nil for none.
	limitRate   int
	withRestore bool
	copy        wqfakeplatform.StoreCopy
	drills      *rand.Rand

	*accounts
	withAccounts     bool
	withRollout      bool
	versionBehaviour wqfakeplatform.Behaviour // Of the version that is rolled out; the zero value is a good version.
	orderedAt        time.Time
}

func newSoak(t *testing.T, seed uint64) *soak {
	random := rand.New(rand.NewPCG(seed, seed))
	vms := 3 + random.IntN(3)
	if random.IntN(5) == 0 {
		vms = 14 // Enough VMs for hubs.
	}
	initialShards := wqfakeplatform.Shards(1, shardCount)
	// Drawn from a stream of their own, so that they leave the actions of the seed as they are.
	parts := rand.New(rand.NewPCG(seed, partsStream))
	withAccounts, withRollout := parts.IntN(2) == 0, parts.IntN(3) == 0
	s := &soak{
		Fleet: wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: vms, Shards: shardCount, Rollouts: withRollout}), t: t, random: random, version: 1,
		accounts: newAccounts(), withAccounts: withAccounts, withRollout: withRollout,
		shards: initialShards, shardSets: [][]string{initialShards}, drainedAt: make(map[*wqfakeplatform.Searcher]time.Time), registrations: make(map[*wqfakeplatform.Searcher]int),
		stopping: make(map[*wqfakeplatform.VM]bool),
	}
	if parts.IntN(3) > 0 {
		s.versionBehaviour = badVersions[parts.IntN(len(badVersions))]
	}
	s.drills = rand.New(rand.NewPCG(seed, drillStream))
	s.withRestore = s.drills.IntN(2) == 0
	withLimit, rate := s.drills.IntN(2) == 0, 2+s.drills.IntN(20)
	s.PutConfiguration(s.configuration(1, initialShards))
	s.WaitReady()
	s.startedAt = time.Now()
	if withLimit {
		s.limitSearcher(rate)
	}
	return s
}

func (s *soak) run() {
	stop := s.startLoad()
	if s.withRollout {
		s.orderRollout()
	}
	for i := range actionCount {
		if s.withAccounts && i%5 == 0 {
			s.changeKeys()
		}
		s.drill(i)
		s.doRandomAction()
		time.Sleep(time.Duration(50+s.random.IntN(500)) * time.Millisecond)
	}
	s.heal()
	time.Sleep(settleTime)
	s.publishVersion()
	time.Sleep(wqfakeplatform.MaxApplyTime)
	if s.withRollout {
		time.Sleep(time.Until(s.orderedAt.Add(rolloutDuration)))
	}
	stop()
	s.checkGuarantees()
	s.t.Logf("seed ended after %s: %d VMs, %d replies, version %d", time.Since(s.startedAt).Round(time.Second), len(s.VMs), s.ReplyCount(), s.version)
}

// drill copies or restores the store before an action.
func (s *soak) drill(action int) {
	switch {
	case !s.withRestore:
	case action == copyAction:
		s.copy = s.Store.Copy()
	case action == restoreAction || action == secondRestoreAction:
		s.restoreStore(time.Duration(s.drills.IntN(1000))*time.Millisecond, time.Duration(s.drills.IntN(1500))*time.Millisecond)
	}
}

func (s *soak) record(format string, a ...any) {
	line := fmt.Sprintf("%6.2f s ", time.Since(s.startedAt).Seconds()) + fmt.Sprintf(format, a...)
	s.actions = append(s.actions, line)
}

// startLoad sends requests to all VMs until the returned function is called.
func (s *soak) startLoad() func() {
	done := make(chan struct{})
	var g sync.WaitGroup
	for c := range callerCount {
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
				s.request(s.VMs[(n/3)%len(s.VMs)], method, target)
			}
		})
	}
	return func() {
		close(done)
		g.Wait()
	}
}

func (s *soak) checkGuarantees() {
	violations := s.Violations(s.shardSets...)
	for searcher, drainedAt := range s.drainedAt {
		for _, r := range searcher.Executions() {
			// Faults on VMs and the store may delay the change until they have ended.
			if r.StartedAt.After(drainedAt.Add(settleTime)) && r.StartedAt.After(s.startedAt.Add(settleTime)) && r.StartedAt.Sub(drainedAt) > 2*settleTime {
				violations = append(violations, "request "+r.RequestID+" reached "+searcher.ID+" after its drain time")
				break
			}
		}
	}
	if s.withAccounts {
		violations = append(violations, s.accountViolations()...)
	}
	if s.limited != nil {
		violations = append(violations, s.limitViolations()...)
	}
	if s.withRollout {
		violations = append(violations, s.rolloutViolations()...)
	}
	for _, vm := range s.VMs {
		if r := s.sendWithKey(vm, http.MethodGet, "/all/x", "newest"); r.Code != http.StatusOK {
			violations = append(violations, fmt.Sprintf("%s answers %d after all faults have ended", vm.Name, r.Code))
		}
		if r := s.sendWithKey(vm, http.MethodGet, fmt.Sprintf("/v%d/x", s.version), "newest"); r.Code != http.StatusOK {
			violations = append(violations, fmt.Sprintf("%s has not put version %d in force: %d", vm.Name, s.version, r.Code))
		}
	}
	if len(violations) == 0 {
		return
	}
	for _, line := range s.actions {
		s.t.Log(line)
	}
	for _, line := range violations[:min(len(violations), 10)] {
		s.t.Log("violation: ", line)
	}
	must.SliceEmpty(s.t, violations[:min(len(violations), 1)])
}

// publishVersion writes the next configuration, with an additional route named
// after its version. A VM that serves this route has the version in force.
func (s *soak) publishVersion() {
	s.version += 1 + s.random.IntN(3)
	s.putVersion()
}

func (s *soak) putVersion() {
	c := s.configuration(s.version, s.shards)
	versionRoute := c.Routes[1]
	versionRoute.Name, versionRoute.Prefix = fmt.Sprint("v", s.version), fmt.Sprintf("/v%d/", s.version)
	c.Routes = append(c.Routes, versionRoute)
	s.PutConfiguration(c)
	s.record("version %d", s.version)
}

// heal ends all faults and starts the VMs that have exited.
func (s *soak) heal() {
	s.Store.SetDown(false)
	s.Store.SetHanging(false)
	s.Store.Remove("op/evacuate/a")
	for _, searcher := range s.AllSearchers() {
		if searcher.Version != targetVersion && searcher != s.limited {
			searcher.SetBehaviour(wqfakeplatform.Behaviour{})
		}
		searcher.Proxy.Heal()
	}
	for _, vm := range s.VMs {
		vm.Signal(syscall.SIGCONT)
		vm.StoreProxy.Heal()
		if s.stopping[vm] {
			<-vm.Exited() // A graceful stop takes some seconds.
		}
		if !vm.Running() {
			vm.Start()
		}
		s.setFaulty(vm, false)
		s.setFaulty(vm.StoreProxy, false)
	}
	s.setFaulty(s.Store, false)
	s.record("all faults ended")
}
