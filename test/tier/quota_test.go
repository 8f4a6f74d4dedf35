package tier_test

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

const (
	quotaWindow = 5 * time.Second
	quotaRate   = 4
	quotaBurst  = 10
	quota       = quotaRate*5 + quotaBurst // Requests in a window that are never refused.
	quotaBound  = quota*1.1 + 20           // And that may run at most.
)

// flood sends requests of both clients to all VMs for d: those of "shop", which has a
// quota, at the given rate, and few of "idle", which has none. It returns the replies to
// "shop".
func flood(f *wqfakeplatform.Fleet, perSecond int, d time.Duration) []wqfakeplatform.Reply {
	var g sync.WaitGroup
	var mutex sync.Mutex
	var replies []wqfakeplatform.Reply
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		vm := f.VMs[i%len(f.VMs)]
		g.Go(func() {
			if i%10 == 0 {
				f.SendWithHeader(vm, http.MethodPost, "/write/idle", "", time.Second, bearer(newKey))
			}
			r := f.SendWithHeader(vm, http.MethodPost, "/write/shop", "", time.Second, bearer(oldKey))
			mutex.Lock()
			defer mutex.Unlock()
			replies = append(replies, r)
		})
		<-ticker.C
	}
	g.Wait()
	return replies
}

// mostInWindow returns the most requests of "shop" that searchers ran in any window.
func mostInWindow(f *wqfakeplatform.Fleet) int {
	var times []time.Time
	for _, s := range f.SearchersOf("invoices") {
		for _, e := range s.Executions() {
			if e.Request == "POST /write/shop " {
				times = append(times, e.StartedAt)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= quotaWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func startQuotaFleet(t *testing.T, vms int) *wqfakeplatform.Fleet {
	t.Helper()
	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: vms, Shards: shardCount})
	c := f.Configuration(1, initialShards)
	c.Tenants = []wqfakeplatform.Tenant{{Name: "shop", APIKeys: []string{oldKey}, RatePerS: quotaRate, Burst: quotaBurst}, {Name: "idle", APIKeys: []string{newKey}}}
	f.PutConfiguration(c)
	f.WaitReady()
	time.Sleep(quotaWindow + time.Second) // VMs that have just started grant little.
	return f
}

// Guards against a quota that each VM counts for itself, refusals under it, and refusals of
// other client accounts.
func TestQuotaHoldsOverAllVMs(t *testing.T) {
	f := startQuotaFleet(t, 6)
	under := flood(f, quotaRate, 4*time.Second)
	must.False(t, slices.ContainsFunc(under, func(r wqfakeplatform.Reply) bool { return r.Code == http.StatusTooManyRequests }), must.Sprint("refused under the quota"))
	time.Sleep(quotaWindow)
	answered := 0
	for _, r := range flood(f, 40, 8*time.Second) {
		switch r.Code {
		case http.StatusOK:
			answered++
		case http.StatusTooManyRequests:
			delay, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
			must.NoError(t, err)
			must.Between(t, 0.001, delay, 10)
		}
	}
	must.GreaterEq(t, quota, answered)
	must.LessEq(t, int(math.Floor(quotaBound)), mostInWindow(f))
	for _, s := range f.SearchersOf("invoices") {
		for _, e := range s.Executions() {
			must.Eq(t, []string{e.Request[len("POST /write/") : len(e.Request)-1]}, e.Tenant)
		}
	}
	checkGuarantees(t, f)
}

// Guards against a quota that is used twice in a window because the VMs that have counted
// it are gone.
func TestQuotaHoldsWhenAllVMsAreKilled(t *testing.T) {
	f := startQuotaFleet(t, 4)
	flood(f, 40, 2*time.Second)
	for _, vm := range f.VMs {
		vm.Kill()
	}
	for _, vm := range f.VMs {
		vm.Start()
	}
	f.WaitReady()
	flood(f, 40, 2*time.Second)
	must.LessEq(t, int(math.Floor(quotaBound)), mostInWindow(f))
	must.Positive(t, mostInWindow(f))
	checkGuarantees(t, f)
}
