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

// holderCount is how many VMs hold each searcher.
const holderCount = 3

// startHolders gives VMs of one zone their shares of the fleet.
func (f *fleet) startHolders(t testing.TB) []*holder {
	t.Helper()
	if f.views == nil {
		f.views = make([]atomic.Pointer[wqview.View], holderCount)
	}
	members := make([]wqmember.Member, holderCount)
	for i := range members {
		members[i] = wqmember.Member{ID: fmt.Sprintf("vm-%d", i), Zone: "a"}
	}
	holders := make([]*holder, holderCount)
	for i, m := range members {
		v := &wqview.View{
			Self: m, Index: wqtopology.NewIndex(&f.topology), ConfirmedAt: time.Now().Add(time.Hour),
			Holders: make(map[string][]wqview.Holder),
		}
		for j := range f.topology.Searchers {
			s := &f.topology.Searchers[j]
			v.Holders[s.ID] = wqassignment.Assign(members, s, wqassignment.Limits{MaxHolders: holderCount})
		}
		f.views[i].Store(v)
		holders[i] = newHolder(t, f.views[i].Load)
		holders[i].ProbeInterval = 50 * time.Millisecond
	}
	return holders
}

// run starts the holders' upkeep for the length of a test.
func run(t *testing.T, holders []*holder) {
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

// flood sends fans from every holder, several at once, until the time is over.
func (f *fleet) flood(holders []*holder, atOnce int, d time.Duration) (answered, sent int) {
	var mu sync.Mutex
	var senders sync.WaitGroup
	end := time.Now().Add(d)
	for i, h := range holders {
		for j := range atOnce {
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

func TestHoldersTogetherKeepSlotsAndConnections(t *testing.T) {
	k := bench()
	k.Slots, k.Connections, k.Batch = 3, 5, 1
	k.ServiceMillis = 20 // Long enough that three holders overlap on a busy machine.
	f := startFleet(t, 4, k)
	holders := f.startHolders(t)
	run(t, holders)
	answered, _ := f.flood(holders, 6, time.Second)
	must.Positive(t, answered)
	for _, s := range f.servers {
		c := s.Counters()
		must.EqOp(t, 3, c.MaxInFlight)
		must.LessEq(t, 5, c.MaxConnections)
		must.EqOp(t, 0, c.RefusedConnections)
		must.EqOp(t, 0, c.Shed)
	}
}

// coldFleet is searchers that need 300 ms of light load after each start, and
// whose health endpoint never says so.
func coldFleet(t *testing.T, coldSlots int) *fleet {
	k := bench()
	k.ColdSlots, k.WarmMillis, k.DowntimeMillis, k.MisreportHealth = coldSlots, 300, 30, true
	return startFleet(t, 3, k)
}

// mustSpare fails when a searcher fell over.
func (f *fleet) mustSpare(t *testing.T, starts uint64) {
	t.Helper()
	for _, s := range f.servers {
		c := s.Counters()
		must.EqOp(t, 0, c.Crashes, must.Sprintf("%+v", c))
		must.EqOp(t, starts, c.Starts)
	}
}

// Searchers restart without warning, also all at once, under full load of
// several holders; none falls over, and each is used fully again.
func TestHoldersTogetherSpareColdSearchers(t *testing.T) {
	for _, coldSlots := range []int{1, 2, 3} {
		f := coldFleet(t, coldSlots)
		holders := f.startHolders(t)
		run(t, holders)
		var restarts sync.WaitGroup
		for i, s := range f.servers {
			restarts.Go(func() { restartTwice(s, i) })
		}
		_, _ = f.flood(holders, 4, 1500*time.Millisecond)
		restarts.Wait()
		answered, sent := f.flood(holders, 4, 300*time.Millisecond)
		must.Positive(t, answered)
		must.LessEq(t, sent, answered)
		f.mustSpare(t, 3)
	}
}

// restartTwice restarts a searcher at its own moment and together with the others.
func restartTwice(s *wqfakesearcher.Server, i int) {
	time.Sleep(time.Duration(300+i*30) * time.Millisecond)
	s.Restart()
	time.Sleep(time.Duration(500-i*30) * time.Millisecond)
	s.Restart()
}

// Searchers restart between two requests of holders that are idle; the first
// burst afterwards comes from all holders at once.
func TestBurstAfterRestartWhileIdle(t *testing.T) {
	f := coldFleet(t, 1)
	holders := f.startHolders(t)
	_, _ = f.flood(holders, 2, 800*time.Millisecond)
	for _, s := range f.servers {
		s.Restart()
	}
	time.Sleep(40 * time.Millisecond)
	_, _ = f.flood(holders, 8, 700*time.Millisecond)
	f.mustSpare(t, 2)
}

// All holders restart and forget while the searchers are cold.
func TestForgetfulHolderSparesColdSearchers(t *testing.T) {
	f := coldFleet(t, 2)
	holders := f.startHolders(t)
	for _, s := range f.servers {
		s.Restart()
	}
	time.Sleep(40 * time.Millisecond)
	_, _ = f.flood(holders, 2, 50*time.Millisecond)
	_, _ = f.flood(f.startHolders(t), 2, 50*time.Millisecond)
	f.mustSpare(t, 2)
}

// A whole zone is taken out, its searchers restart, and it comes back cold.
func TestZoneReturnsCold(t *testing.T) {
	f := coldFleet(t, 1)
	holders := f.startHolders(t)
	run(t, holders)
	_, _ = f.flood(holders, 2, 600*time.Millisecond)
	back := f.topology
	out := back
	out.Zones = []wqtopology.Zone{{ID: "a", Out: true}}
	f.setTopology(&out)
	time.Sleep(100 * time.Millisecond) // Requests that were written before the change arrive.
	before := f.requests()
	_, _ = f.flood(holders, 2, 200*time.Millisecond)
	must.EqOp(t, before, f.requests())
	for _, s := range f.servers {
		s.Restart()
	}
	time.Sleep(40 * time.Millisecond)
	f.setTopology(&back)
	answered, _ := f.flood(holders, 8, 600*time.Millisecond)
	must.Positive(t, answered)
	f.mustSpare(t, 2)
}

// setTopology gives every VM another topology.
func (f *fleet) setTopology(to *wqtopology.Topology) {
	for i := range f.views {
		v := *f.views[i].Load()
		v.Index = wqtopology.NewIndex(to)
		f.views[i].Store(&v)
	}
}

// A new holder connects before the first request, within its share.
func TestConnectionsAreMadeBeforeUse(t *testing.T) {
	f := startFleet(t, 3, bench())
	run(t, f.startHolders(t))
	for _, s := range f.servers {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.Counters().MaxConnections >= 3 }),
			wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
		must.EqOp(t, 0, s.Counters().Requests)
	}
}

// A cancelled request closes its connection, which is no restart: a holder
// without cold slots goes on.
func TestCancelledRequestIsNoRestart(t *testing.T) {
	k := bench()
	k.ServiceMillis, k.WarmMillis = 60, 1000
	f := startFleet(t, 1, k)
	v := f.view("vm-1", wqview.Holder{Slots: 1, Connections: 5})
	h := newHolder(t, func() *wqview.View { return v })
	run(t, []*holder{h})
	shard := f.topology.Searchers[0].Shard
	answered := func() bool {
		results, _ := fan(t, h, f.request("q-1", time.Second))
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

// Requests are given up while a searcher is cold, which it notices a moment
// later.
func TestCancelledRequestsSpareColdSearchers(t *testing.T) {
	f := coldFleet(t, 1)
	holders := f.startHolders(t)
	run(t, holders)
	for began := time.Now(); time.Since(began) < 250*time.Millisecond; {
		for _, h := range holders {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
			_ = h.FanOut(ctx, f.request("q-1", time.Second), func(*wqpb.FanPart) error { return nil })
			cancel()
		}
	}
	f.mustSpare(t, 1)
}
