package wqrollout_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	duration = flag.Duration("rollout.duration", time.Minute, "time from the order to the deadline")
	runs     = flag.Int("rollout.runs", 2, "simulated rollouts of each kind, fleet and rate")
)

// measuredRuns is the number of runs from which the table of
// docs/measurements/rollouts.md is printed rather than checked.
const measuredRuns = 10

// drawFault draws how bad a version is: it fails 20 to 60% of its requests or is 3 to 6
// times slower.
func drawFault(s *simulation) {
	if s.random.IntN(2) == 0 {
		s.failing = 0.2 + 0.4*s.random.Float64()
	} else {
		s.slow = 3 + 3*s.random.Float64()
	}
}

func drawWindow(s *simulation) {
	s.from = time.Duration((0.1 + 0.6*s.random.Float64()) * float64(s.duration))
	s.to = s.from + 5*time.Second + time.Duration(s.random.Int64N(int64(5*time.Second)))
}

func onlyNew(when func(s *simulation, route, searcher int) bool) func(*simulation, bool, int, int) (float64, float64, float64) {
	return func(s *simulation, isNew bool, route, searcher int) (float64, float64, float64) {
		if !isNew || !when(s, route, searcher) {
			return 0, 1, 0
		}
		return s.failing, s.slow, 0
	}
}

func bothSides(s *simulation, _ bool, _, _ int) (failing, slow, lost float64) {
	if !s.within() {
		return 0, 1, 0
	}
	return s.failing, s.slow, s.lost
}

func always(*simulation, int, int) bool { return true }

var scenarios = []scenario{
	{"failing", true, func(s *simulation) { s.failing = 0.2 + 0.4*s.random.Float64() }, onlyNew(always)},
	{"slower", true, func(s *simulation) { s.slow = 3 + 3*s.random.Float64() }, onlyNew(always)},
	{"later", true, func(s *simulation) {
		drawFault(s)
		s.from, s.to = time.Duration((0.3+0.4*s.random.Float64())*float64(s.duration)), time.Hour
	}, onlyNew(func(s *simulation, _, _ int) bool { return s.within() })},
	{"under load", true, drawFault, onlyNew(func(s *simulation, _, searcher int) bool { return s.loaded(searcher) })},
	{"one route", true, func(s *simulation) {
		drawFault(s)
		s.route = s.random.IntN(len(routeShares))
	}, onlyNew(func(s *simulation, route, _ int) bool { return route == s.route })},
	{"good", false, func(*simulation) {}, onlyNew(always)},
	{"good, losses", false, func(s *simulation) {
		drawWindow(s)
		s.lost = 0.1 + 0.3*s.random.Float64()
	}, bothSides},
	{"good, failures", false, func(s *simulation) {
		drawWindow(s)
		s.failing = 0.1 + 0.3*s.random.Float64()
	}, bothSides},
	{"good, slowness", false, func(s *simulation) {
		drawWindow(s)
		s.slow = 2 + 4*s.random.Float64()
	}, bothSides},
	{"good, searcher slow", false, func(s *simulation) {
		drawWindow(s)
		s.searcher, s.slow = s.random.IntN(2*searchersPerVersion), 5+7*s.random.Float64()
	}, func(s *simulation, _ bool, _, searcher int) (float64, float64, float64) {
		if searcher != s.searcher || !s.within() {
			return 0, 1, 0
		}
		return 0, s.slow, 0
	}},
	{"good, third cut off", false, func(s *simulation) {
		drawWindow(s)
		s.after(s.from, func() { s.cutOff(true) })
		s.after(s.from+9*time.Second, func() { s.cutOff(false) })
	}, onlyNew(always)},
}

func (s *simulation) cutOff(cut bool) {
	for i, v := range s.vms {
		v.cutOff = cut && i%3 == 0
	}
}

// Guards against a verdict that exceeds the limit of a bad version, which is the worst
// outcome, and against good versions that are not completed.
func TestSimulatedRollouts(t *testing.T) {
	fleets, rates := []int{61}, []float64{5, 50}
	if *runs >= measuredRuns {
		fleets, rates = []int{7, 61, 300}, []float64{5, 20, 50, 500}
	}
	for _, rate := range rates {
		for _, vms := range fleets {
			for i := range scenarios {
				sc := &scenarios[i]
				t.Run(fmt.Sprintf("%s/%d VMs/%v a second", sc.name, vms, rate), func(t *testing.T) {
					t.Parallel()
					r := simulate(sc, vms, rate)
					t.Logf("| %s | %d | %v | %.1f%% | %d | %.2f |%s", sc.name, vms, rate, 100*float64(r.right)/float64(*runs), r.over, r.exposure, r.reasons)
					if *runs < measuredRuns {
						must.Eq(t, 0, r.over, must.Sprint(r.reasons))
						must.True(t, sc.bad || r.right == *runs, must.Sprint(r.reasons))
					}
				})
			}
		}
	}
}

// results are the outcomes of the runs of one kind, fleet and rate.
type results struct {
	right    int     // right counts good versions completed, or bad ones rolled back.
	over     int     // over counts bad versions that got more than the limit.
	exposure float64 // exposure is the largest number of requests to the new version, as a part of the limit.
	reasons  string
}

func simulate(sc *scenario, vms int, rate float64) results {
	var r results
	for seed := range *runs {
		s := newSimulation(sc, uint64(seed)+1, vms, rate, *duration)
		s.run()
		exposure := float64(s.sentNew) / (limits.Share*float64(s.sentAll) + limits.Slack)
		r.exposure = max(r.exposure, exposure)
		_, reason := s.rollout.Phase()
		if s.completedAt.IsZero() == sc.bad {
			r.right++
		} else {
			r.reasons += fmt.Sprintf(" seed %d: %q failing %.2f slow %.1f;", seed+1, reason, s.failing, s.slow)
		}
		if sc.bad && exposure > 1 {
			r.over++
			r.reasons += fmt.Sprintf(" seed %d: %.2f of the limit;", seed+1, exposure)
		}
	}
	return r
}
