package e2e_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/io/wqconfigstore"
	"wisteriaquay/io/wqstore"
	"wisteriaquay/test/wqfakesearcher"
	"wisteriaquay/test/wqfakestore"
	"wisteriaquay/test/wqprocess"
)

const (
	zoneVMCount       = 6
	zoneShardCount    = 6
	leavingZone       = 1                      // index of the zone that is taken out
	publishWait       = time.Millisecond       // so short that publish returns right after acceptance
	outDuration       = 2 * time.Second        // for which a zone that is out has to receive nothing
	freezeDuration    = 4 * time.Second        // longer than maxZoneOutDelay
	pollPeriod        = 5 * time.Millisecond   // between two reads of the searchers' counters
	returnTimeout     = 20 * time.Second       // from putting a zone back until it receives requests
	coldStartDuration = time.Second            // of each searcher
	steadyDuration    = 3 * time.Second        // long enough for a p99
	thawDelay         = 150 * time.Millisecond // from the queries to frozen VMs until these are resumed
)

// zoneOptions returns options for a fleet with two VMs per zone, whose searchers
// crash if they receive more than one request at once during cold start.
func zoneOptions() wqprocess.Options {
	return wqprocess.Options{
		VMs: zoneVMCount, Shards: zoneShardCount, Replicas: 2,
		BalancerLag: balancerLag, TicketTTL: ticketTTL, StopLimit: stopLimit,
		SearcherSettings: wqfakesearcher.Settings{Slots: 8, Connections: 24, Batch: 1, ServiceMillis: 5, ColdSlots: 1, WarmMillis: float64(coldStartDuration.Milliseconds())},
	}
}

// leavingSearchers returns the searchers of the zone that is taken out.
func leavingSearchers(f *wqprocess.Fleet) []*wqprocess.Searcher {
	var found []*wqprocess.Searcher
	for i, s := range f.Searchers {
		if wqprocess.ZoneName(i/f.Options.Replicas+i%f.Options.Replicas) == wqprocess.ZoneName(leavingZone) {
			found = append(found, s)
		}
	}
	return found
}

// requestsReceived returns the number of requests that searchers have received, of
// queries and writes.
func requestsReceived(searchers []*wqprocess.Searcher) uint64 {
	var sum uint64
	for _, s := range searchers {
		sum += s.Counters().Requests
	}
	return sum
}

// requestMonitor records when searchers last received a request.
type requestMonitor struct {
	searchers     []*wqprocess.Searcher
	mu            sync.Mutex
	lastRequestAt time.Time
}

// startMonitor reads the counters of searchers every pollPeriod until ctx is
// canceled.
func startMonitor(ctx context.Context, searchers []*wqprocess.Searcher) *requestMonitor {
	m := &requestMonitor{searchers: searchers, lastRequestAt: time.Now()}
	go func() {
		for count := requestsReceived(searchers); ctx.Err() == nil; time.Sleep(pollPeriod) {
			if n := requestsReceived(searchers); n != count {
				count = n
				m.mu.Lock()
				m.lastRequestAt = time.Now()
				m.mu.Unlock()
			}
		}
	}()
	return m
}

// requireNoRequests waits until maxZoneOutDelay after start, calls during, and fails
// the test if a searcher received a request while during ran.
func (m *requestMonitor) requireNoRequests(t *testing.T, start time.Time, during func()) {
	t.Helper()
	time.Sleep(time.Until(start.Add(maxZoneOutDelay)))
	before := requestsReceived(m.searchers)
	m.mu.Lock()
	t.Logf("last request %s after the command", m.lastRequestAt.Sub(start).Round(pollPeriod))
	m.mu.Unlock()
	during()
	test.Eq(t, before, requestsReceived(m.searchers), test.Sprintf("no request later than %s after the command", maxZoneOutDelay))
}

// takeZoneOut publishes a note that takes leavingZone out, and returns once it is
// accepted.
func takeZoneOut(t *testing.T, vm *wqprocess.VM, id string) {
	t.Helper()
	_, err := publish(t, vm, wqnote.ZoneOut(id, wqprocess.ZoneName(leavingZone)), publishWait)
	must.NoError(t, err)
}

// putZoneBack publishes a note that puts leavingZone back, and returns once it is
// accepted.
func putZoneBack(t *testing.T, vm *wqprocess.VM, id string) {
	t.Helper()
	_, err := publish(t, vm, wqnote.ZoneBack(id, wqprocess.ZoneName(leavingZone)), publishWait)
	must.NoError(t, err)
}

// waitForRequests waits until each searcher has received a request, and fails the
// test after returnTimeout.
func waitForRequests(t *testing.T, searchers []*wqprocess.Searcher) {
	t.Helper()
	start := time.Now()
	for _, s := range searchers {
		for before := s.Counters().Requests; s.Counters().Requests == before; time.Sleep(pollPeriod) {
			must.Less(t, returnTimeout, time.Since(start), must.Sprintf("%s receives no requests", s.ID))
		}
	}
	t.Logf("all searchers receive requests after %s", time.Since(start).Round(pollPeriod))
}

// p99 returns the 99th percentile latency of the queries that started at from or
// later and before to, or 0 if there are none.
func (l *load) p99(from, to time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var latencies []time.Duration
	for _, s := range l.querySamples {
		if !s.start.Before(from) && s.start.Before(to) {
			latencies = append(latencies, s.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// Guards against failed requests, requests to a zone that is out and searchers that
// crash in cold start when the zone returns.
func TestZoneLeavesAndReturnsUnderLoad(t *testing.T) {
	f := wqprocess.Start(t, zoneOptions())
	f.WaitServing()
	zone := leavingSearchers(f)
	l := startLoad(t, f)
	waitForRequests(t, f.Searchers)
	time.Sleep(coldStartDuration)
	steadyStart := time.Now()
	time.Sleep(steadyDuration)
	outStart := time.Now()
	takeZoneOut(t, f.VMs[0], "out")
	startMonitor(t.Context(), zone).requireNoRequests(t, outStart, func() {
		time.Sleep(outDuration)
		for _, s := range zone {
			s.Restart()
		}
	})
	backStart := time.Now()
	putZoneBack(t, f.VMs[2], "back")
	waitForRequests(t, zone)
	time.Sleep(steadyDuration)
	steady := l.p99(steadyStart, outStart)
	for _, p := range []struct {
		name     string
		from, to time.Time
	}{{"leaving", outStart, outStart.Add(maxZoneOutDelay)}, {"out", outStart.Add(maxZoneOutDelay), backStart}, {"returning", backStart, time.Now()}} {
		p99 := l.p99(p.from, p.to)
		t.Logf("%s: p99 %s, %.2f of the steady %s; the goal is at most 1.50", p.name, p99, float64(p99)/float64(steady), steady)
	}
	l.stopAndRequireNoFailure(t, f)
	for _, s := range zone {
		test.Eq(t, 0, s.Counters().Crashes, test.Sprintf("%s does not crash in cold start", s.ID))
	}
}

// Guards against requests to a zone after out, back and out in quick succession, and
// against a note that is accepted while the store is down.
func TestZoneOutBackAndOutAgain(t *testing.T) {
	f := wqprocess.Start(t, zoneOptions())
	f.WaitServing()
	zone := leavingSearchers(f)
	l := startLoad(t, f)
	takeZoneOut(t, f.VMs[0], "out-1")
	putZoneBack(t, f.VMs[1], "back-1")
	outStart := time.Now()
	takeZoneOut(t, f.VMs[2], "out-2")
	startMonitor(t.Context(), zone).requireNoRequests(t, outStart, func() { time.Sleep(outDuration) })
	f.Store.SetFaults(wqfakestore.Faults{Outage: true})
	_, err := publish(t, f.VMs[0], wqnote.ZoneBack("back-2", wqprocess.ZoneName(leavingZone)), publishWait)
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err), must.Sprint("nothing is accepted while the store is down"))
	f.Store.SetFaults(wqfakestore.Faults{})
	putZoneBack(t, f.VMs[0], "back-2")
	waitForRequests(t, zone)
	l.stopAndRequireNoFailure(t, f)
}

// Guards against stale configurations in VMs that were frozen: two VMs, which hold
// the zone's searchers, are frozen before the command and resume with queued work
// and with requests that arrived in the meantime.
func TestThawedVMsSendNothingToZoneTakenOut(t *testing.T) {
	f := wqprocess.Start(t, zoneOptions())
	f.WaitServing()
	l := startLoad(t, f)
	waitForRequests(t, f.Searchers)
	frozen := []*wqprocess.VM{f.VMs[1], f.VMs[4]}
	for _, vm := range frozen {
		vm.Freeze()
	}
	outStart := time.Now()
	takeZoneOut(t, f.VMs[0], "out")
	startMonitor(t.Context(), leavingSearchers(f)).requireNoRequests(t, outStart, func() {
		time.Sleep(time.Until(outStart.Add(freezeDuration - thawDelay)))
		var queuedQueries sync.WaitGroup
		for i := range 2 * callerCount {
			queuedQueries.Go(func() { _ = sendQuery(t.Context(), frozen[i%len(frozen)], "late") })
		}
		time.Sleep(thawDelay)
		f.Heal()
		queuedQueries.Wait()
		time.Sleep(outDuration)
	})
	l.stopAndCheckWrites(t, f)
}

// Guards against VMs that continue to use a stale configuration: no VM receives the
// command, as connections to the store and between VMs forward nothing.
func TestIsolatedVMsSendNothingToZoneTakenOut(t *testing.T) {
	f := wqprocess.Start(t, zoneOptions())
	f.WaitServing()
	store := httptest.NewServer(f.Store.Handler())
	defer store.Close()
	configStore := wqconfigstore.Store[*wqstore.Client]{KV: &wqstore.Client{URL: store.URL, Timeout: time.Second, HTTP: http.DefaultClient}}
	l := startLoad(t, f)
	waitForRequests(t, f.Searchers)
	f.StoreProxy.Blackhole()
	for _, vm := range f.VMs {
		vm.PeerProxy.Blackhole()
	}
	outStart := time.Now()
	v, err := configStore.Read(t.Context())
	must.NoError(t, err)
	next, err := v.History.ApplyNote(wqnote.ZoneOut("out", wqprocess.ZoneName(leavingZone)))
	must.NoError(t, err)
	_, err = configStore.CompareAndSwap(t.Context(), next, v.Revision)
	must.NoError(t, err)
	startMonitor(t.Context(), leavingSearchers(f)).requireNoRequests(t, outStart, func() {
		time.Sleep(outDuration)
		f.Heal()
		for _, vm := range f.VMs {
			waitRevision(t, vm, next.Revision(), maxInForceDelay)
		}
		time.Sleep(outDuration)
	})
	l.stopAndCheckWrites(t, f)
}

// Guards against requests to a searcher that drains, is withdrawn or was killed, and
// against incomplete answers while it leaves.
func TestLeavingSearchersGetNoRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(t *testing.T, f *wqprocess.Fleet, s *wqprocess.Searcher)
	}{
		{"drains", func(_ *testing.T, _ *wqprocess.Fleet, s *wqprocess.Searcher) {
			s.Update(func(settings *wqfakesearcher.Settings) { settings.Draining = true })
		}},
		{"withdrawn", func(t *testing.T, f *wqprocess.Fleet, s *wqprocess.Searcher) {
			n := &wqnote.Note{ID: "withdraw", Withdrawn: wqnote.Names{Searchers: []string{s.ID}}}
			_, err := publish(t, f.VMs[0], n, publishWait)
			must.NoError(t, err)
		}},
		{"killed", func(_ *testing.T, _ *wqprocess.Fleet, s *wqprocess.Searcher) { s.Proxy.Disconnect() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := wqprocess.Start(t, zoneOptions())
			f.WaitServing()
			l := startLoad(t, f)
			waitForRequests(t, f.Searchers)
			s := f.Searchers[0]
			leaveStart := time.Now()
			c.leave(t, f, s)
			startMonitor(t.Context(), []*wqprocess.Searcher{s}).requireNoRequests(t, leaveStart, func() { time.Sleep(outDuration) })
			l.stopAndCheckWrites(t, f)
			for _, err := range l.failures[:min(len(l.failures), 10)] {
				if c.name != "killed" || !errors.Is(err, errWriteNotDone) {
					t.Errorf("request failed while a searcher left: %v", err)
				}
			}
			test.LessEq(t, 1, s.Counters().Starts, test.Sprint("the searcher does not crash"))
		})
	}
}
