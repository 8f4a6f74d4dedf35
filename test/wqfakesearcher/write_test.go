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

// outcomes holds the outcome that the holders returned for each ticket.
type outcomes struct {
	mu       sync.Mutex
	byTicket map[string]wqpb.Outcome
}

func (o *outcomes) set(ticket string, r *wqpb.WriteResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byTicket[ticket] = r.Outcome
}

// injectFaults sets random faults and restarts searchers until stop is closed.
func (f *fleet) injectFaults(random *rand.Rand, stop <-chan struct{}) {
	faults := []wqfakesearcher.Fault{
		wqfakesearcher.FaultNone, wqfakesearcher.FaultNone, wqfakesearcher.FaultNoReply, wqfakesearcher.FaultTruncated, wqfakesearcher.FaultGarbage,
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		s := f.servers[random.IntN(len(f.servers))]
		fault := faults[random.IntN(len(faults))]
		s.Update(func(settings *wqfakesearcher.Settings) { settings.Fault = fault })
		if random.IntN(10) == 0 {
			s.Restart()
		}
	}
}

// Restarts, missing, truncated and garbled replies, full queues and cancelled
// calls must not make a write-like request run twice. One reported as not run
// didn't run, and one reported as done ran once.
func TestWritesRunAtMostOnce(t *testing.T) {
	settings := benchSettings()
	settings.DowntimeMillis = 10
	f := startFleet(t, 4, settings)
	holders := f.startHolders(t)
	runHolders(t, holders)
	stop := make(chan struct{})
	var injector sync.WaitGroup
	injector.Go(func() { f.injectFaults(rand.New(rand.NewPCG(seed, 1)), stop) })
	recorded := &outcomes{byTicket: make(map[string]wqpb.Outcome)}
	var writers sync.WaitGroup
	for i := range 24 {
		writers.Go(func() { f.sendWrites(holders[i%len(holders)], i, recorded) })
	}
	writers.Wait()
	close(stop)
	injector.Wait()
	f.mustRunAtMostOnce(t, recorded)
}

// sendWrites sends write-like requests one after another and cancels some of them
// before they complete.
func (f *fleet) sendWrites(h *holder, writer int, recorded *outcomes) {
	random := rand.New(rand.NewPCG(seed, uint64(writer)))
	for n := range 50 {
		s := f.topology.Searchers[random.IntN(len(f.topology.Searchers))]
		ticket := fmt.Sprintf("ticket-%d-%d", writer, n)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(40))*time.Millisecond)
		response, _ := h.DispatchWrite(ctx, &wqpb.DispatchWriteRequest{
			Ticket: ticket, Searcher: s.ID, Service: s.Service, Shard: s.Shard, RemainingMicros: 30_000,
		})
		cancel()
		recorded.set(ticket, response)
	}
}

func (f *fleet) mustRunAtMostOnce(t *testing.T, recorded *outcomes) {
	t.Helper()
	time.Sleep(50 * time.Millisecond)
	executions := make(map[string]int)
	for _, s := range f.servers {
		for _, r := range s.Executions() {
			executions[r.RequestID]++
		}
	}
	counts := make(map[wqpb.Outcome]int)
	for ticket, outcome := range recorded.byTicket {
		counts[outcome]++
		must.LessEq(t, 1, executions[ticket], must.Sprint(ticket))
		switch outcome {
		case wqpb.Outcome_OUTCOME_NOT_RUN:
			must.EqOp(t, 0, executions[ticket], must.Sprint(ticket))
		case wqpb.Outcome_OUTCOME_DONE:
			must.EqOp(t, 1, executions[ticket], must.Sprint(ticket))
		}
	}
	t.Logf("of %d: %v", len(recorded.byTicket), counts)
	must.Positive(t, counts[wqpb.Outcome_OUTCOME_DONE])
	must.Positive(t, counts[wqpb.Outcome_OUTCOME_NOT_RUN])
}
