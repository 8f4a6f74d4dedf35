package wqsearcher_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqhold"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/test/wqsearcher"
)

// startHolders gives VMs of one zone their shares of the fleet.
func (f *fleet) startHolders(t testing.TB, count int) []*holder {
	t.Helper()
	members := make([]wqmember.Member, count)
	for i := range members {
		members[i] = wqmember.Member{ID: fmt.Sprintf("vm-%d", i), Zone: "a"}
	}
	holders := make([]*holder, count)
	for i, m := range members {
		v := &wqview.View{
			Self: m, Index: wqtopology.NewIndex(&f.topology), FreshAt: time.Now().Add(time.Hour),
			Holders: make(map[string][]wqview.Holder),
		}
		for j := range f.topology.Searchers {
			s := &f.topology.Searchers[j]
			v.Holders[s.ID] = wqhold.Assign(members, s, wqhold.Limits{MaxHolders: count})
		}
		holders[i] = newHolder(t, func() *wqview.View { return v })
		holders[i].ProbeEvery = 50 * time.Millisecond
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
					_ = h.FanTo(context.Background(), r, func(p *wqpb.FanPart) error {
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
	f := startFleet(t, 4, k)
	holders := f.startHolders(t, 3)
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

// Searchers restart without warning, also all at once, under full load of
// several holders; none falls over, and each is used fully again.
func TestHoldersTogetherSpareColdSearchers(t *testing.T) {
	for _, coldSlots := range []int{1, 2, 3} {
		k := bench()
		k.ColdSlots, k.WarmMillis, k.FallMillis = coldSlots, 400, 30
		f := startFleet(t, 3, k)
		holders := f.startHolders(t, 3)
		run(t, holders)
		var restarts sync.WaitGroup
		for i, s := range f.servers {
			restarts.Go(func() { restartTwice(s, i) })
		}
		_, _ = f.flood(holders, 4, 2*time.Second)
		restarts.Wait()
		answered, sent := f.flood(holders, 4, 500*time.Millisecond)
		must.Positive(t, answered)
		must.LessEq(t, sent, answered, must.Sprintf("%d sent, %d answered", sent, answered))
		for _, s := range f.servers {
			c := s.Counters()
			must.EqOp(t, 0, c.Falls, must.Sprintf("%d cold slots: %+v", coldSlots, c))
			must.EqOp(t, 3, c.Starts)
			must.False(t, s.Cold())
		}
	}
}

// restartTwice restarts a searcher at its own moment and together with the others.
func restartTwice(s *wqsearcher.Server, i int) {
	time.Sleep(time.Duration(500+i*30) * time.Millisecond)
	s.Restart()
	time.Sleep(time.Duration(500-i*30) * time.Millisecond)
	s.Restart()
}
