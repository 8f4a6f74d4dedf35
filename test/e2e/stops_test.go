package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakestore"
	"wisteriaquay/test/wqprocess"
)

const (
	balancerLag = 400 * time.Millisecond // well above readyCheckPeriod
	stopLimit   = 8 * time.Second
	ticketTTL   = 3 * time.Second
)

// errWriteNotDone reports a write-like request whose answer is not "done".
var errWriteNotDone = errors.New("write-like request is not done")

// load runs callers that send queries and write-like requests through a balancer
// until it is stopped.
type load struct {
	mu           sync.Mutex
	failures     []error
	querySamples []querySample
	writeRecords []*callRecord
	cancel       context.CancelFunc
	group        sync.WaitGroup
}

// querySample is the start and the latency of one query, failed ones included.
type querySample struct {
	start   time.Time
	latency time.Duration
}

func startLoad(t *testing.T, f *wqprocess.Fleet) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{cancel: cancel}
	b := newBalancer(ctx, f, 1)
	for i := range 8 {
		l.group.Go(func() { l.runQueries(ctx, b, i) })
		l.group.Go(func() { l.runWrites(ctx, b, i) })
	}
	return l
}

func (l *load) runQueries(ctx context.Context, b *balancer, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		start := time.Now()
		err := sendQuery(context.WithoutCancel(ctx), b.pickVM(), fmt.Sprintf("q-%d-%d", caller, n))
		l.mu.Lock()
		l.querySamples = append(l.querySamples, querySample{start, time.Since(start)})
		if err != nil {
			l.failures = append(l.failures, err)
		}
		l.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

func (l *load) runWrites(ctx context.Context, b *balancer, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		vm := b.pickVM()
		id, err := requestTicket(context.WithoutCancel(ctx), vm)
		c := &callRecord{Ticket: id}
		if err == nil {
			c.record(sendWrite(context.WithoutCancel(ctx), b.pickVM(), id, wqprocess.ShardName((caller+n)%shardCount)))
		}
		l.mu.Lock()
		l.writeRecords = append(l.writeRecords, c)
		switch {
		case err != nil:
			l.failures = append(l.failures, fmt.Errorf("ticket at %s: %w", vm.ID, err))
		case !c.Done:
			l.failures = append(l.failures, fmt.Errorf("%w: %+v", errWriteNotDone, c))
		}
		l.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// stopAndCheckWrites stops the load and checks the answers to write-like requests
// against the searchers' executions. Failed requests are only logged.
func (l *load) stopAndCheckWrites(t *testing.T, f *wqprocess.Fleet) {
	t.Helper()
	l.cancel()
	l.group.Wait()
	t.Logf("%d queries, %v, %d failed", len(l.querySamples), checkRecords(t, f, l.writeRecords), len(l.failures))
}

// stopAndRequireNoFailure stops the load and fails the test if any request failed
// or a searcher refused a connection.
func (l *load) stopAndRequireNoFailure(t *testing.T, f *wqprocess.Fleet) {
	t.Helper()
	l.stopAndCheckWrites(t, f)
	for _, s := range f.Searchers {
		test.Eq(t, 0, s.Counters().RefusedConnections, test.Sprintf("%s receives no more connections than its limit", s.ID))
	}
	for _, err := range l.failures[:min(len(l.failures), 10)] {
		t.Errorf("request failed under load: %v", err)
	}
}

func stopOptions() wqprocess.Options {
	return wqprocess.Options{
		VMs: 4, Shards: shardCount, Replicas: 2,
		BalancerLag: balancerLag, TicketTTL: ticketTTL, StopLimit: stopLimit,
	}
}

// waitExit waits until the VM exits. It fails the test if the exit status is not 0
// or the exit takes more than a second longer than stopLimit.
func waitExit(t *testing.T, vm *wqprocess.VM) {
	t.Helper()
	start := time.Now()
	select {
	case <-vm.Exited():
		test.NoError(t, vm.ExitError(), test.Sprintf("%s exits cleanly", vm.ID))
		t.Logf("%s stopped in %s", vm.ID, time.Since(start).Round(10*time.Millisecond))
	case <-time.After(stopLimit + time.Second):
		t.Errorf("%s still runs %s after its signal; its stop limit is %s", vm.ID, time.Since(start), stopLimit)
	}
}

// Guards against VMs that fail requests while they stop: one alone, two at once,
// and one while the store hangs.
func TestStopsUnderLoadFailNoRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults wqfakestore.Faults
		vms    int
	}{
		{"one", wqfakestore.Faults{}, 1},
		{"two at once", wqfakestore.Faults{}, 2},
		{"store hangs", wqfakestore.Faults{Hang: true}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := wqprocess.Start(t, stopOptions())
			f.WaitServing()
			l := startLoad(t, f)
			time.Sleep(300 * time.Millisecond)
			f.Store.SetFaults(c.faults)
			stopping := f.RunningVMs()[:c.vms]
			for _, vm := range stopping {
				vm.Terminate()
			}
			for _, vm := range stopping {
				waitExit(t, vm)
			}
			time.Sleep(300 * time.Millisecond)
			f.Store.SetFaults(wqfakestore.Faults{})
			l.stopAndRequireNoFailure(t, f)
		})
	}
}

// Guards against failed requests while every VM is replaced, one after the other.
func TestRollingReplacementFailsNoRequest(t *testing.T) {
	f := wqprocess.Start(t, stopOptions())
	f.WaitServing()
	l := startLoad(t, f)
	for _, vm := range f.RunningVMs() {
		f.StartVM().WaitReady()
		vm.Terminate()
		waitExit(t, vm)
	}
	l.stopAndRequireNoFailure(t, f)
}

// Guards against a second SIGTERM that makes a stopping VM exit before its tickets
// have expired.
func TestSecondSignalDoesNotShortenStop(t *testing.T) {
	f := wqprocess.Start(t, stopOptions())
	f.WaitServing()
	vm := f.VMs[0]
	id, err := requestTicket(t.Context(), vm)
	must.NoError(t, err)
	vm.Terminate()
	time.Sleep(balancerLag / 2)
	vm.Terminate()
	time.Sleep(balancerLag)
	must.True(t, vm.Running(), must.Sprint("a stopping VM runs until its tickets have expired"))
	c := &callRecord{Ticket: id}
	c.record(sendWrite(t.Context(), f.VMs[1], id, wqprocess.ShardName(0)))
	must.True(t, c.Done, must.Sprintf("a ticket from a stopping VM remains valid: %+v", c))
	waitExit(t, vm)
	c = &callRecord{Ticket: id}
	c.record(requestOutcome(t.Context(), f.VMs[1], id))
	must.False(t, c.NotRun, must.Sprint("NotRun cannot be reported once the VM that issued the ticket has exited"))
}
