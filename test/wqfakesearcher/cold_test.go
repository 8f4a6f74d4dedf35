package wqfakesearcher_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/core/wqassignment"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/test/wqfakesearcher"
)

// holdersPerSearcher is the number of VMs that hold each searcher.
const holdersPerSearcher = 3

// startHolders returns the holders of holdersPerSearcher VMs in one zone, which
// share the slots and connections of all searchers.
func (f *fleet) startHolders(t testing.TB) []*holder {
	t.Helper()
	if f.views == nil {
		f.views = make([]atomic.Pointer[wqview.View], holdersPerSearcher)
	}
	members := make([]wqmember.Member, holdersPerSearcher)
	for i := range members {
		members[i] = wqmember.Member{ID: fmt.Sprintf("vm-%d", i), Zone: "a"}
	}
	holders := make([]*holder, holdersPerSearcher)
	for i, m := range members {
		v := &wqview.View{
			Self: m, Index: wqtopology.NewIndex(&f.topology), ConfirmedAt: time.Now().Add(time.Hour),
			Holders: make(map[string][]wqview.Holder),
		}
		for j := range f.topology.Searchers {
			s := &f.topology.Searchers[j]
			v.Holders[s.ID] = wqassignment.Assign(members, s, wqassignment.Limits{MaxHolders: holdersPerSearcher})
		}
		f.views[i].Store(v)
		holders[i] = newHolder(t, f.views[i].Load)
		holders[i].ProbeInterval = 50 * time.Millisecond
	}
	return holders
}

// runHolders runs the holders' background work (health probes, connections)
// until the test ends.
func runHolders(t *testing.T, holders []*holder) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, h := range holders {
		running.Go(func() { h.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// sendLoad sends requests for d, perHolder at once from every holder. It
// returns how many sub-queries were answered and how many were sent to
// searchers.
func (f *fleet) sendLoad(holders []*holder, perHolder int, d time.Duration) (answered, sent int) {
	var mu sync.Mutex
	var senders sync.WaitGroup
	end := time.Now().Add(d)
	for i, h := range holders {
		for j := range perHolder {
			senders.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					r := f.request(fmt.Sprintf("q-%d-%d-%d", i, j, n), 100*time.Millisecond)
					_ = h.FanOut(context.Background(), r, func(p *wqpb.FanPart) error {
						mu.Lock()
						defer mu.Unlock()
						for _, s := range p.Results {
							sent += int(s.Sent)
							if s.Status == wqpb.SubStatus_SUB_STATUS_ANSWERED {
								answered++
							}
						}
						return nil
					})
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	senders.Wait()
	return answered, sent
}

func TestHoldersTogetherStayWithinSlotsAndConnections(t *testing.T) {
	settings := benchSettings()
	settings.Slots, settings.Connections, settings.Batch = 3, 5, 1
	settings.ServiceMillis = 20 // Long enough for the requests of three holders to overlap on a busy machine.
	f := startFleet(t, 4, settings)
	holders := f.startHolders(t)
	runHolders(t, holders)
	answered, _ := f.sendLoad(holders, 6, time.Second)
	must.Positive(t, answered)
	for _, s := range f.servers {
		c := s.Counters()
		must.EqOp(t, 3, c.MaxInFlight)
		must.LessEq(t, 5, c.MaxConnections)
		must.EqOp(t, 0, c.RefusedConnections)
		must.EqOp(t, 0, c.Shed)
	}
}

// startColdFleet starts searchers with a cold start of 300 ms that their health
// endpoint doesn't report.
func startColdFleet(t *testing.T, coldSlots int) *fleet {
	settings := benchSettings()
	settings.ColdSlots, settings.WarmMillis, settings.DowntimeMillis, settings.MisreportHealth = coldSlots, 300, 30, true
	return startFleet(t, 3, settings)
}

// mustNotCrash checks that no searcher crashed from overload in cold start and
// that each started as often as the test made it.
func (f *fleet) mustNotCrash(t *testing.T, starts uint64) {
	t.Helper()
	for _, s := range f.servers {
		c := s.Counters()
		must.EqOp(t, 0, c.Crashes, must.Sprintf("%+v", c))
		must.EqOp(t, starts, c.Starts)
	}
}

// Searchers restart unannounced, one by one and all at once, under full load
// from several holders. A holder that detects a restart with a delay overloads the
// cold searcher.
func TestNoCrashWhenSearchersRestartUnderLoad(t *testing.T) {
	for _, coldSlots := range []int{1, 2, 3} {
		f := startColdFleet(t, coldSlots)
		holders := f.startHolders(t)
		runHolders(t, holders)
		var restarts sync.WaitGroup
		for i, s := range f.servers {
			restarts.Go(func() { restartTwice(s, i) })
		}
		_, _ = f.sendLoad(holders, 4, 1500*time.Millisecond)
		restarts.Wait()
		answered, sent := f.sendLoad(holders, 4, 300*time.Millisecond)
		must.Positive(t, answered)
		must.LessEq(t, sent, answered)
		f.mustNotCrash(t, 3)
	}
}

// restartTwice restarts searcher i first at a different time than the others, then
// at the same time.
func restartTwice(s *wqfakesearcher.Server, i int) {
	time.Sleep(time.Duration(300+i*30) * time.Millisecond)
	s.Restart()
	time.Sleep(time.Duration(500-i*30) * time.Millisecond)
	s.Restart()
}

// Searchers restart while all holders are idle, so that no failed request shows
// the restart. The next burst comes from all holders at once.
func TestNoCrashWhenBurstFollowsRestartWhileIdle(t *testing.T) {
	f := startColdFleet(t, 1)
	holders := f.startHolders(t)
	_, _ = f.sendLoad(holders, 2, 800*time.Millisecond)
	for _, s := range f.servers {
		s.Restart()
	}
	time.Sleep(40 * time.Millisecond)
	_, _ = f.sendLoad(holders, 8, 700*time.Millisecond)
	f.mustNotCrash(t, 2)
}

// All holders restart, and lose their state, while the searchers are in cold
// start.
func TestNoCrashWhenHoldersRestart(t *testing.T) {
	f := startColdFleet(t, 2)
	holders := f.startHolders(t)
	for _, s := range f.servers {
		s.Restart()
	}
	time.Sleep(40 * time.Millisecond)
	_, _ = f.sendLoad(holders, 2, 50*time.Millisecond)
	_, _ = f.sendLoad(f.startHolders(t), 2, 50*time.Millisecond)
	f.mustNotCrash(t, 2)
}

// A zone is taken out, its searchers restart, and the zone comes back while they
// are in cold start. While it is out, no request reaches it.
func TestNoCrashWhenZoneComesBackCold(t *testing.T) {
	f := startColdFleet(t, 1)
	holders := f.startHolders(t)
	runHolders(t, holders)
	_, _ = f.sendLoad(holders, 2, 600*time.Millisecond)
	initial := f.topology
	zoneOut := initial
	zoneOut.Zones = []wqtopology.Zone{{ID: "a", Out: true}}
	f.setTopology(&zoneOut)
	time.Sleep(100 * time.Millisecond) // Requests sent before the change arrive.
	requestsBefore := f.requestCount()
	_, _ = f.sendLoad(holders, 2, 200*time.Millisecond)
	must.EqOp(t, requestsBefore, f.requestCount())
	for _, s := range f.servers {
		s.Restart()
	}
	time.Sleep(40 * time.Millisecond)
	f.setTopology(&initial)
	answered, _ := f.sendLoad(holders, 8, 600*time.Millisecond)
	must.Positive(t, answered)
	f.mustNotCrash(t, 2)
}

// setTopology replaces the topology in every VM's view.
func (f *fleet) setTopology(topology *wqtopology.Topology) {
	for i := range f.views {
		v := *f.views[i].Load()
		v.Index = wqtopology.NewIndex(topology)
		f.views[i].Store(&v)
	}
}

// A new holder opens connections, within its share, before the first request, so
// that this request doesn't wait for one.
func TestConnectionsOpenBeforeFirstRequest(t *testing.T) {
	f := startFleet(t, 3, benchSettings())
	runHolders(t, f.startHolders(t))
	for _, s := range f.servers {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.Counters().MaxConnections >= 3 }),
			wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
		must.EqOp(t, 0, s.Counters().Requests)
	}
}

// A cancelled request closes its connection. A holder that treats this as a
// restart of the searcher and has no cold slots would refuse all requests until
// the end of the assumed cold start.
func TestCancelledRequestIsNotTreatedAsRestart(t *testing.T) {
	settings := benchSettings()
	settings.ServiceMillis, settings.WarmMillis = 60, 1000
	f := startFleet(t, 1, settings)
	v := f.view("vm-1", wqview.Holder{Slots: 1, Connections: 5})
	h := newHolder(t, func() *wqview.View { return v })
	runHolders(t, []*holder{h})
	shard := f.topology.Searchers[0].Shard
	answered := func() bool {
		results, _ := fanOut(t, h, f.request("q-1", time.Second))
		return results[shard].Status == wqpb.SubStatus_SUB_STATUS_ANSWERED
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(answered), wait.Timeout(20*time.Second)), must.Sprint("the searcher is warm"))
	time.Sleep(2 * time.Second)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_ = h.FanOut(ctx, f.request("q-2", time.Second), func(*wqpb.FanPart) error { return nil })
		cancel()
	}
	must.True(t, answered(), must.Sprint("a cancelled request does not make the holder refuse"))
}

// Requests to a searcher in cold start are cancelled. The searcher detects this
// with a delay, so a holder that reuses the slot at once overloads it.
func TestNoCrashWhenRequestsToColdSearchersAreCancelled(t *testing.T) {
	f := startColdFleet(t, 1)
	holders := f.startHolders(t)
	runHolders(t, holders)
	for start := time.Now(); time.Since(start) < 250*time.Millisecond; {
		for _, h := range holders {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
			_ = h.FanOut(ctx, f.request("q-1", time.Second), func(*wqpb.FanPart) error { return nil })
			cancel()
		}
	}
	f.mustNotCrash(t, 1)
}
