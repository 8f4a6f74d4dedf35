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
	zoneVMs     = 6
	zoneShards  = 6
	leavingZone = 1                      // leavingZone is the number of the zone that is taken out.
	outWait     = time.Millisecond       // outWait returns from publish right after acceptance.
	stayOut     = 2 * time.Second        // stayOut is how long a zone is watched once nothing may reach it.
	frozenFor   = 4 * time.Second        // frozenFor is longer than zoneBound.
	watchPeriod = 5 * time.Millisecond   // watchPeriod is how often the searchers' counters are read.
	returnLimit = 20 * time.Second       // returnLimit bounds the wait until a zone serves again.
	warmTime    = time.Second            // warmTime is how long a searcher is in cold start.
	steadyTime  = 3 * time.Second        // steadyTime is long enough for a p99.
	lateArrival = 150 * time.Millisecond // lateArrival is how long before a VM wakes its last requests arrive.
)

// zoned returns a fleet of two VMs a zone whose searchers fall over when they
// get more than one request in cold start.
func zoned() wqprocess.Options {
	return wqprocess.Options{
		VMs: zoneVMs, Shards: zoneShards, Replicas: 2,
		BalancerLag: balancerLag, TicketTTL: ticketLife, StopTimeout: stopLimit,
		SearcherSettings: wqfakesearcher.Settings{Slots: 8, Connections: 24, Batch: 1, ServiceMillis: 5, ColdSlots: 1, WarmMillis: float64(warmTime.Milliseconds())},
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

// received returns how many sub-queries and writes reached searchers.
func received(searchers []*wqprocess.Searcher) uint64 {
	var sum uint64
	for _, s := range searchers {
		sum += s.Counters().Requests
	}
	return sum
}

// watch notes when searchers last got work.
type watch struct {
	searchers []*wqprocess.Searcher
	mu        sync.Mutex
	last      time.Time
}

func startWatch(ctx context.Context, searchers []*wqprocess.Searcher) *watch {
	w := &watch{searchers: searchers, last: time.Now()}
	go func() {
		for seen := received(searchers); ctx.Err() == nil; time.Sleep(watchPeriod) {
			if n := received(searchers); n != seen {
				seen = n
				w.mu.Lock()
				w.last = time.Now()
				w.mu.Unlock()
			}
		}
	}()
	return w
}

// quiet runs during once the bound after began has passed and fails the test if
// a searcher got work from then on.
func (w *watch) quiet(t *testing.T, began time.Time, during func()) {
	t.Helper()
	time.Sleep(time.Until(began.Add(zoneBound)))
	before := received(w.searchers)
	w.mu.Lock()
	t.Logf("last work %s after the command", w.last.Sub(began).Round(watchPeriod))
	w.mu.Unlock()
	during()
	test.Eq(t, before, received(w.searchers), test.Sprintf("no sub-query and no write later than %s after the command", zoneBound))
}

func out(t *testing.T, vm *wqprocess.VM, id string) {
	t.Helper()
	_, err := publish(t, vm, wqnote.ZoneOut(id, wqprocess.ZoneName(leavingZone)), outWait)
	must.NoError(t, err)
}

func back(t *testing.T, vm *wqprocess.VM, id string) {
	t.Helper()
	_, err := publish(t, vm, wqnote.ZoneBack(id, wqprocess.ZoneName(leavingZone)), outWait)
	must.NoError(t, err)
}

// waitWork waits until each searcher has got work.
func waitWork(t *testing.T, searchers []*wqprocess.Searcher) {
	t.Helper()
	began := time.Now()
	for _, s := range searchers {
		for before := s.Counters().Requests; s.Counters().Requests == before; time.Sleep(watchPeriod) {
			must.Less(t, returnLimit, time.Since(began), must.Sprintf("%s gets no work", s.ID))
		}
	}
	t.Logf("all searchers work after %s", time.Since(began).Round(watchPeriod))
}

// p99 returns the 99th percentile of the queries that began in a phase.
func (l *load) p99(from, to time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var took []time.Duration
	for _, s := range l.samples {
		if !s.began.Before(from) && s.began.Before(to) {
			took = append(took, s.took)
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)*99/100]
}

func TestZoneLeavesAndReturnsUnderLoad(t *testing.T) {
	f := wqprocess.Start(t, zoned())
	f.WaitServing()
	zone := leavingSearchers(f)
	l := startLoad(t, f)
	waitWork(t, f.Searchers)
	time.Sleep(warmTime)
	began := time.Now()
	time.Sleep(steadyTime)
	left := time.Now()
	out(t, f.VMs[0], "out")
	startWatch(t.Context(), zone).quiet(t, left, func() {
		time.Sleep(stayOut)
		for _, s := range zone {
			s.Restart()
		}
	})
	returned := time.Now()
	back(t, f.VMs[2], "back")
	waitWork(t, zone)
	time.Sleep(steadyTime)
	steady := l.p99(began, left)
	for _, p := range []struct {
		name     string
		from, to time.Time
	}{{"leaving", left, left.Add(zoneBound)}, {"out", left.Add(zoneBound), returned}, {"returning", returned, time.Now()}} {
		p99 := l.p99(p.from, p.to)
		t.Logf("%s: p99 %s, %.2f of the steady %s; the goal is at most 1.50", p.name, p99, float64(p99)/float64(steady), steady)
	}
	l.end(t, f)
	for _, s := range zone {
		test.Eq(t, 0, s.Counters().Crashes, test.Sprintf("%s returns in cold start", s.ID))
	}
}

func TestZoneOutBackAndOutAgain(t *testing.T) {
	f := wqprocess.Start(t, zoned())
	f.WaitServing()
	zone := leavingSearchers(f)
	l := startLoad(t, f)
	out(t, f.VMs[0], "out-1")
	back(t, f.VMs[1], "back-1")
	began := time.Now()
	out(t, f.VMs[2], "out-2")
	startWatch(t.Context(), zone).quiet(t, began, func() { time.Sleep(stayOut) })
	f.Store.SetFaults(wqfakestore.Faults{Outage: true})
	_, err := publish(t, f.VMs[0], wqnote.ZoneBack("back-2", wqprocess.ZoneName(leavingZone)), outWait)
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err), must.Sprint("nothing is accepted while the store is down"))
	f.Store.SetFaults(wqfakestore.Faults{})
	back(t, f.VMs[0], "back-2")
	waitWork(t, zone)
	l.end(t, f)
}

// The VMs that hold the zone's searchers are frozen before the command and wake
// with queued work and requests that arrived meanwhile.
func TestVMsThatWakeSendNothingToAZoneThatIsOut(t *testing.T) {
	f := wqprocess.Start(t, zoned())
	f.WaitServing()
	l := startLoad(t, f)
	waitWork(t, f.Searchers)
	frozen := []*wqprocess.VM{f.VMs[1], f.VMs[4]}
	for _, vm := range frozen {
		vm.Freeze()
	}
	began := time.Now()
	out(t, f.VMs[0], "out")
	startWatch(t.Context(), leavingSearchers(f)).quiet(t, began, func() {
		time.Sleep(time.Until(began.Add(frozenFor - lateArrival)))
		var late sync.WaitGroup
		for i := range 2 * callers {
			late.Go(func() { _ = query(t.Context(), frozen[i%len(frozen)], "late") })
		}
		time.Sleep(lateArrival)
		f.Heal()
		late.Wait()
		time.Sleep(stayOut)
	})
	l.halt(t, f)
}

// No VM hears of the command from the store or from a peer.
func TestVMsThatAreCutOffSendNothingToAZoneThatIsOut(t *testing.T) {
	f := wqprocess.Start(t, zoned())
	f.WaitServing()
	store := httptest.NewServer(f.Store.Handler())
	defer store.Close()
	head := wqconfigstore.Store[*wqstore.Client]{KV: &wqstore.Client{URL: store.URL, Timeout: time.Second, HTTP: http.DefaultClient}}
	l := startLoad(t, f)
	waitWork(t, f.Searchers)
	f.StoreProxy.Blackhole()
	for _, vm := range f.VMs {
		vm.PeerProxy.Blackhole()
	}
	began := time.Now()
	v, err := head.Read(t.Context())
	must.NoError(t, err)
	next, err := v.History.ApplyNote(wqnote.ZoneOut("out", wqprocess.ZoneName(leavingZone)))
	must.NoError(t, err)
	_, err = head.CompareAndSwap(t.Context(), next, v.Revision)
	must.NoError(t, err)
	startWatch(t.Context(), leavingSearchers(f)).quiet(t, began, func() {
		time.Sleep(stayOut)
		f.Heal()
		for _, vm := range f.VMs {
			waitRevision(t, vm, next.Revision(), inForceBound)
		}
		time.Sleep(stayOut)
	})
	l.halt(t, f)
}

// A searcher gets no work once it leaves, in whatever way, and answers stay whole.
func TestLeavingSearchersGetNoWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(t *testing.T, f *wqprocess.Fleet, s *wqprocess.Searcher)
	}{
		{"drains", func(_ *testing.T, _ *wqprocess.Fleet, s *wqprocess.Searcher) {
			s.Update(func(k *wqfakesearcher.Settings) { k.Draining = true })
		}},
		{"withdrawn", func(t *testing.T, f *wqprocess.Fleet, s *wqprocess.Searcher) {
			n := &wqnote.Note{ID: "withdraw", Withdrawn: wqnote.Names{Searchers: []string{s.ID}}}
			_, err := publish(t, f.VMs[0], n, outWait)
			must.NoError(t, err)
		}},
		{"killed", func(_ *testing.T, _ *wqprocess.Fleet, s *wqprocess.Searcher) { s.Proxy.Disconnect() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := wqprocess.Start(t, zoned())
			f.WaitServing()
			l := startLoad(t, f)
			waitWork(t, f.Searchers)
			s := f.Searchers[0]
			began := time.Now()
			c.leave(t, f, s)
			startWatch(t.Context(), []*wqprocess.Searcher{s}).quiet(t, began, func() { time.Sleep(stayOut) })
			l.halt(t, f)
			for _, err := range l.failed[:min(len(l.failed), 10)] {
				if c.name != "killed" || !errors.Is(err, errWriteOpen) {
					t.Errorf("in-flight work finishes and answers are whole: %v", err)
				}
			}
			test.LessEq(t, 1, s.Counters().Starts, test.Sprint("it does not fall over"))
		})
	}
}
