package wqplacementmodel_test

import (
	"flag"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqplacementmodel"
)

var (
	loads = flag.String("loads", "", "with these loads, print the table of all policies")
	seed  = flag.Uint64("seed", 1, "seed of the table")
	only  = flag.String("fleets", "", "fleets of the table whose names contain this")
)

func singles(name string, vms, zones, searchers, slots int, work, objective time.Duration) wqplacementmodel.Fleet {
	return wqplacementmodel.Fleet{
		Name: name, VMs: vms, Zones: zones, Services: 1, Searchers: searchers, Slots: slots, QueueLimit: 12, Work: work, Spread: 0.5,
		Objective: objective, Timeout: 2 * time.Second, Pauses: true, Slow: true, Idempotent: true, Duration: 40 * time.Second,
	}
}

func fanOuts(name string, hubs, shards int, work, objective time.Duration) wqplacementmodel.Fleet {
	return wqplacementmodel.Fleet{
		Name: name, VMs: hubs, Zones: 5, Services: shards, Searchers: 3, Slots: 2, QueueLimit: 12, Work: work, Spread: 0.35, LongShare: 0.01,
		Objective: objective, Timeout: time.Second, Pauses: true, Slow: true, Idempotent: true, Duration: 16 * time.Second,
	}
}

// fleets returns those of the two deployments; fan-outs have 20 shards instead of 90 and
// 135, and one slow searcher in 30.
func fleets() []wqplacementmodel.Fleet {
	big := singles("143 VMs", 143, 5, 9, 3, 160*time.Millisecond, 600*time.Millisecond)
	once, kinds, cold, flood := big, big, big, big
	once.Name, once.Idempotent = "143 VMs, not repeatable", false
	kinds.Name, kinds.Kinds = "143 VMs, four kinds", []float64{0.3, 0.6, 1, 2.1}
	cold.Name, cold.Cold = "143 VMs, one cold", true
	flood.Name, flood.Kinds, flood.HighRate = "143 VMs, four kinds, one client half", kinds.Kinds, true
	return []wqplacementmodel.Fleet{
		big, once, kinds, cold, flood,
		singles("63 VMs", 63, 3, 5, 2, 60*time.Millisecond, 500*time.Millisecond),
		fanOuts("4 hubs, 20 ms", 4, 20, 20*time.Millisecond, 200*time.Millisecond),
		fanOuts("4 hubs, 6.7 ms", 4, 20, 6700*time.Microsecond, 60*time.Millisecond),
		fanOuts("4 hubs, 7.5 ms", 4, 20, 7500*time.Microsecond, 150*time.Millisecond),
	}
}

type namedPolicy struct {
	name   string
	policy wqplacementmodel.Policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"latency", &wqplacementmodel.LeastLatency{}},
		{"latency, all known", &wqplacementmodel.LeastLatency{Shared: true}},
		{"work", &wqplacementmodel.LeastWork{}},
		{"work, one place", &wqplacementmodel.LeastWork{Sharing: wqplacementmodel.OnePlace}},
		{"work, all known", &wqplacementmodel.LeastWork{Sharing: wqplacementmodel.Instant}},
		{"oracle", wqplacementmodel.Oracle{}},
	}
}

// TestTable prints docs/measurements/placement.md's table:
// go test -v -run Table ./wqplacementmodel -args -loads 0.5,0.9.
func TestTable(t *testing.T) {
	if *loads == "" {
		t.Skip("needs -loads")
	}
	t.Log("| fleet | load | policy | within | p50 | p99 | worst tenth | rejected | extra |")
	for _, f := range fleets() {
		for field := range strings.SplitSeq(*loads, ",") {
			load, err := strconv.ParseFloat(field, 64)
			must.NoError(t, err)
			for _, p := range policies() {
				if !strings.Contains(f.Name, *only) || f.Services > 1 && p.name == "work, one place" {
					continue
				}
				m := wqplacementmodel.Model{Fleet: f, Load: load, Seed: *seed, Policy: p.policy}
				t.Logf("| %s | %.1f | %s | %s |", f.Name, load, p.name, m.Run())
			}
		}
	}
}

// moderateLoad is a share of what the searchers can do.
const moderateLoad = 0.7

// mean returns the share within the objective over some seeds, at moderateLoad.
func mean(f wqplacementmodel.Fleet, newPolicy func() wqplacementmodel.Policy) float64 {
	sum := 0.0
	for s := range uint64(3) {
		m := wqplacementmodel.Model{Fleet: f, Load: moderateLoad, Seed: s + 1, Policy: newPolicy()}
		sum += m.Run().Within()
	}
	return sum / 3
}

func byLatency() wqplacementmodel.Policy { return &wqplacementmodel.LeastLatency{} }
func byWork() wqplacementmodel.Policy    { return &wqplacementmodel.LeastWork{} }
func oracle() wqplacementmodel.Policy    { return wqplacementmodel.Oracle{} }
func inOnePlace() wqplacementmodel.Policy {
	return &wqplacementmodel.LeastWork{Sharing: wqplacementmodel.OnePlace}
}

// The load of many VMs that share few searchers: guards against a placement in one place
// that is no better than each VM's own, which sees a hundredth of the load.
func TestPlacementInOnePlaceIsNearTheOracle(t *testing.T) {
	for _, f := range fleets() {
		if f.Services > 1 {
			continue
		}
		f.Duration = 24 * time.Second
		latency, placed, best := mean(f, byLatency), mean(f, inOnePlace), mean(f, oracle)
		t.Logf("%s: %.3f by latency, %.3f in one place, %.3f by the oracle", f.Name, latency, placed, best)
		must.GreaterEq(t, latency+(best-latency)/2, placed, must.Sprint(f.Name))
	}
}

// The load of hubs: guards against a placement by work that is worse than by latency
// where VMs have only their own view.
func TestPlacementByWorkIsNoWorseOnHubs(t *testing.T) {
	f := fleets()[6]
	f.Services, f.Duration = 10, 12*time.Second
	must.GreaterEq(t, mean(f, byLatency)-0.01, mean(f, byWork))
}

// Guards against runs that can't be compared, because a policy changes the load.
func TestSameSeedGivesTheSameRun(t *testing.T) {
	f := fleets()[0]
	f.Duration = 12 * time.Second
	run := func() string {
		m := wqplacementmodel.Model{Fleet: f, Load: 0.9, Seed: 3, Policy: byWork()}
		return m.Run().String()
	}
	must.Eq(t, run(), run())
}
