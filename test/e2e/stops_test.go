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
	balancerLag = 400 * time.Millisecond // balancerLag is well above the period of the test's balancer.
	stopLimit   = 8 * time.Second
	ticketLife  = 3 * time.Second
)

// errWriteOpen is a write-like request that was not answered as done.
var errWriteOpen = errors.New("write-like request is not done")

// load is callers that query and write through the balancer until it ends.
type load struct {
	mu      sync.Mutex
	failed  []error
	samples []sample // samples are the queries.
	claims  []*claims
	stop    context.CancelFunc
	group   sync.WaitGroup
}

// sample is one query.
type sample struct {
	began time.Time
	took  time.Duration
}

func startLoad(t *testing.T, f *wqprocess.Fleet) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{stop: cancel}
	b := newBalancer(ctx, f, 1)
	for i := range 8 {
		l.group.Go(func() { l.query(ctx, b, i) })
		l.group.Go(func() { l.write(ctx, b, i) })
	}
	return l
}

func (l *load) query(ctx context.Context, b *balancer, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		began := time.Now()
		err := query(context.WithoutCancel(ctx), b.pick(), fmt.Sprintf("q-%d-%d", caller, n))
		l.mu.Lock()
		l.samples = append(l.samples, sample{began, time.Since(began)})
		if err != nil {
			l.failed = append(l.failed, err)
		}
		l.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

func (l *load) write(ctx context.Context, b *balancer, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		vm := b.pick()
		id, err := ticketAt(context.WithoutCancel(ctx), vm)
		c := &claims{Ticket: id}
		if err == nil {
			c.hear(write(context.WithoutCancel(ctx), b.pick(), id, wqprocess.ShardName((caller+n)%shards)))
		}
		l.mu.Lock()
		l.claims = append(l.claims, c)
		switch {
		case err != nil:
			l.failed = append(l.failed, fmt.Errorf("ticket at %s: %w", vm.ID, err))
		case !c.Done:
			l.failed = append(l.failed, fmt.Errorf("%w: %+v", errWriteOpen, c))
		}
		l.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// halt stops the load and checks what was told of write-like requests.
func (l *load) halt(t *testing.T, f *wqprocess.Fleet) {
	t.Helper()
	l.stop()
	l.group.Wait()
	t.Logf("%d queries, %v, %d failed", len(l.samples), check(t, f, l.claims), len(l.failed))
}

// end stops the load and fails the test if any request was cut.
func (l *load) end(t *testing.T, f *wqprocess.Fleet) {
	t.Helper()
	l.halt(t, f)
	for _, s := range f.Searchers {
		test.Eq(t, 0, s.Counters().RefusedConnections, test.Sprintf("%s is never sent more connections than its limit", s.ID))
	}
	for _, err := range l.failed[:min(len(l.failed), 10)] {
		t.Errorf("a stop cuts no request: %v", err)
	}
}

func stoppable() wqprocess.Options {
	return wqprocess.Options{
		VMs: 4, Shards: shards, Replicas: 2,
		BalancerLag: balancerLag, TicketTTL: ticketLife, StopTimeout: stopLimit,
	}
}

// awaitEnd fails the test unless the VM exits cleanly within its stop limit.
func awaitEnd(t *testing.T, vm *wqprocess.VM) {
	t.Helper()
	started := time.Now()
	select {
	case <-vm.Exited():
		test.NoError(t, vm.ExitError(), test.Sprintf("%s exits cleanly", vm.ID))
		t.Logf("%s stopped in %s", vm.ID, time.Since(started).Round(10*time.Millisecond))
	case <-time.After(stopLimit + time.Second):
		t.Errorf("%s runs on %s after its signal; it exits within its stop limit of %s", vm.ID, time.Since(started), stopLimit)
	}
}

func TestStopsUnderLoadCutNoRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		store wqfakestore.Faults
		stops int
	}{
		{"one", wqfakestore.Faults{}, 1},
		{"two at once", wqfakestore.Faults{}, 2},
		{"store hangs", wqfakestore.Faults{Hang: true}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := wqprocess.Start(t, stoppable())
			f.WaitServing()
			l := startLoad(t, f)
			time.Sleep(300 * time.Millisecond)
			f.Store.SetFaults(c.store)
			leaving := f.RunningVMs()[:c.stops]
			for _, vm := range leaving {
				vm.Terminate()
			}
			for _, vm := range leaving {
				awaitEnd(t, vm)
			}
			time.Sleep(300 * time.Millisecond)
			f.Store.SetFaults(wqfakestore.Faults{})
			l.end(t, f)
		})
	}
}

func TestRollingReplacementCutsNoRequest(t *testing.T) {
	f := wqprocess.Start(t, stoppable())
	f.WaitServing()
	l := startLoad(t, f)
	for _, vm := range f.RunningVMs() {
		f.StartVM().WaitReady()
		vm.Terminate()
		awaitEnd(t, vm)
	}
	l.end(t, f)
}

func TestSecondSignalCutsNothingShort(t *testing.T) {
	f := wqprocess.Start(t, stoppable())
	f.WaitServing()
	vm := f.VMs[0]
	id, err := ticketAt(t.Context(), vm)
	must.NoError(t, err)
	vm.Terminate()
	time.Sleep(balancerLag / 2)
	vm.Terminate()
	time.Sleep(balancerLag)
	must.True(t, vm.Running(), must.Sprint("a stopping VM outlives its tickets"))
	c := &claims{Ticket: id}
	c.hear(write(t.Context(), f.VMs[1], id, wqprocess.ShardName(0)))
	must.True(t, c.Done, must.Sprintf("a ticket of a stopping VM is good: %+v", c))
	awaitEnd(t, vm)
	c = &claims{Ticket: id}
	c.hear(outcome(t.Context(), f.VMs[1], id))
	must.False(t, c.NotRun, must.Sprint("a VM that is gone can't prove that nothing ran"))
}
