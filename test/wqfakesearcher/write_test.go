package wqfakesearcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/io/wqpb"
	"wisteriaquay/test/wqfakesearcher"
)

// outcomes is what the holders said of each ticket.
type outcomes struct {
	mu sync.Mutex
	of map[string]wqpb.Outcome
}

func (o *outcomes) set(ticket string, r *wqpb.WriteResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of[ticket] = r.Outcome
}

// spoil changes the searchers at random until the channel closes.
func (f *fleet) spoil(random *rand.Rand, done <-chan struct{}) {
	faults := []wqfakesearcher.Fault{
		wqfakesearcher.FaultNone, wqfakesearcher.FaultNone, wqfakesearcher.FaultNoReply, wqfakesearcher.FaultTruncated, wqfakesearcher.FaultGarbage,
	}
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		s := f.servers[random.IntN(len(f.servers))]
		fault := faults[random.IntN(len(faults))]
		s.Update(func(k *wqfakesearcher.Settings) { k.Fault = fault })
		if random.IntN(10) == 0 {
			s.Restart()
		}
	}
}

// Write-like requests run at most once through restarts, lost, truncated and
// garbled replies, full queues and calls that end early; what is called not run
// did not run, and what is called done ran.
func TestWritesRunAtMostOnce(t *testing.T) {
	k := bench()
	k.DowntimeMillis = 10
	f := startFleet(t, 4, k)
	holders := f.startHolders(t)
	run(t, holders)
	done := make(chan struct{})
	var spoiler sync.WaitGroup
	spoiler.Go(func() { f.spoil(rand.New(rand.NewPCG(seed, 1)), done) })
	said := &outcomes{of: make(map[string]wqpb.Outcome)}
	var writers sync.WaitGroup
	for i := range 24 {
		writers.Go(func() { f.write(holders[i%len(holders)], i, said) })
	}
	writers.Wait()
	close(done)
	spoiler.Wait()
	f.mustRunOnce(t, said)
}

// write sends write-like requests, some with a call that ends early.
func (f *fleet) write(h *holder, writer int, said *outcomes) {
	random := rand.New(rand.NewPCG(seed, uint64(writer)))
	for n := range 50 {
		s := f.topology.Searchers[random.IntN(len(f.topology.Searchers))]
		ticket := fmt.Sprintf("ticket-%d-%d", writer, n)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(40))*time.Millisecond)
		response, _ := h.DispatchWrite(ctx, &wqpb.DispatchWriteRequest{
			Ticket: ticket, Searcher: s.ID, Service: s.Service, Shard: s.Shard, RemainingMicros: 30_000,
		})
		cancel()
		said.set(ticket, response)
	}
}

func (f *fleet) mustRunOnce(t *testing.T, said *outcomes) {
	t.Helper()
	time.Sleep(50 * time.Millisecond)
	ran := make(map[string]int)
	for _, s := range f.servers {
		for _, r := range s.Executions() {
			ran[r.RequestID]++
		}
	}
	counts := make(map[wqpb.Outcome]int)
	for ticket, outcome := range said.of {
		counts[outcome]++
		must.LessEq(t, 1, ran[ticket], must.Sprint(ticket))
		switch outcome {
		case wqpb.Outcome_OUTCOME_NOT_RUN:
			must.EqOp(t, 0, ran[ticket], must.Sprint(ticket))
		case wqpb.Outcome_OUTCOME_DONE:
			must.EqOp(t, 1, ran[ticket], must.Sprint(ticket))
		}
	}
	t.Logf("of %d: %v", len(said.of), counts)
	must.Positive(t, counts[wqpb.Outcome_OUTCOME_DONE])
	must.Positive(t, counts[wqpb.Outcome_OUTCOME_NOT_RUN])
}
