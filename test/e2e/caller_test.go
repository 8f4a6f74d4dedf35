package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/test/wqprocess"
)

const (
	callTimeout      = 800 * time.Millisecond // sent as the timeout of each request
	replyGrace       = 400 * time.Millisecond // time after that timeout for which callers still wait
	maxWriteTries    = 4                      // sends of one request, the first included
	maxTicketTries   = 500
	readyCheckPeriod = 20 * time.Millisecond // between two readiness checks of all VMs
	retryDelay       = 50 * time.Millisecond
)

// callRecord combines the answers that a caller received about one ticket.
type callRecord struct {
	Ticket      string
	Done        bool
	NotRun      bool
	LastOutcome wqpb.Outcome
	LastReason  string // reason or error text of the last answer
	// StaysUnknown is true once a VM has answered, with all faults ended, that the
	// outcome is unknown.
	StaysUnknown bool
}

// record adds one answer, or the error that came in its place.
func (c *callRecord) record(reply *wqpb.WriteResponse, err error) {
	if err != nil {
		c.LastOutcome = wqpb.Outcome_OUTCOME_UNSPECIFIED
		refusal := wqconnecterror.Decode(err)
		c.LastReason = refusal.Error()
		c.NotRun = c.NotRun || wqfault.KindOf(refusal).NotRun()
		return
	}
	c.LastOutcome, c.LastReason = reply.GetOutcome(), reply.GetReason()
	c.Done = c.Done || c.LastOutcome == wqpb.Outcome_OUTCOME_DONE
	c.NotRun = c.NotRun || c.LastOutcome == wqpb.Outcome_OUTCOME_NOT_RUN
}

func (c *callRecord) outcomeKnown() bool { return c.Done || c.NotRun }

// balancer picks random ready VMs. Like the platform's load balancer it polls
// readiness, so a VM may still be picked for readyCheckPeriod after it became
// unready.
type balancer struct {
	fleet  *wqprocess.Fleet
	mu     sync.Mutex
	ready  []*wqprocess.VM
	random *rand.Rand
}

func newBalancer(ctx context.Context, f *wqprocess.Fleet, seed uint64) *balancer {
	b := &balancer{fleet: f, random: rand.New(rand.NewPCG(seed, 2))}
	b.refresh()
	go func() {
		for ctx.Err() == nil {
			b.refresh()
			time.Sleep(readyCheckPeriod)
		}
	}()
	return b
}

func (b *balancer) refresh() {
	var ready []*wqprocess.VM
	for _, vm := range b.fleet.RunningVMs() {
		if vm.CheckReady() == nil {
			ready = append(ready, vm)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pickVM returns a random ready VM, or any running VM if none is ready.
func (b *balancer) pickVM() *wqprocess.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	vms := b.ready
	if len(vms) == 0 {
		vms = b.fleet.RunningVMs()
	}
	return vms[b.random.IntN(len(vms))]
}

// getTicket gets a ticket from any VM and retries on errors, which is safe because
// a ticket request executes nothing.
func getTicket(ctx context.Context, b *balancer) (string, error) {
	var lastErr error
	for range maxTicketTries {
		id, err := requestTicket(ctx, b.pickVM())
		if err == nil {
			return id, nil
		}
		lastErr = err
		time.Sleep(retryDelay)
	}
	return "", lastErr
}

// requestTicket sends one ticket request to a VM.
func requestTicket(ctx context.Context, vm *wqprocess.VM) (string, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := vm.Client().Ticket(callCtx, connect.NewRequest(&wqpb.TicketRequest{
		Tenant: wqprocess.Tenant, Class: wqprocess.Class, Service: wqprocess.Service,
	}))
	if err != nil {
		return "", err
	}
	return reply.Msg.GetTicket(), nil
}

// sendWrite sends a write-like request once, without retries.
func sendWrite(ctx context.Context, vm *wqprocess.VM, ticket, shard string) (*wqpb.WriteResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+replyGrace)
	defer cancel()
	reply, err := vm.Client().Write(callCtx, connect.NewRequest(&wqpb.WriteRequest{
		Ticket: ticket, Tenant: wqprocess.Tenant, Class: wqprocess.Class, Service: wqprocess.Service,
		Shard: shard, Body: []byte("set"), TimeoutMillis: uint32(callTimeout.Milliseconds()),
	}))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// writeUntilKnown sends a request under its ticket to a random VM each time, until
// its outcome is known or after maxWriteTries sends.
func writeUntilKnown(ctx context.Context, b *balancer, ticket, shard string) *callRecord {
	c := &callRecord{Ticket: ticket}
	for range maxWriteTries {
		c.record(sendWrite(ctx, b.pickVM(), ticket, shard))
		if c.outcomeKnown() {
			break
		}
		time.Sleep(retryDelay)
	}
	return c
}

// requestOutcome sends one request for the outcome of a ticket.
func requestOutcome(ctx context.Context, vm *wqprocess.VM, ticket string) (*wqpb.WriteResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+replyGrace)
	defer cancel()
	reply, err := vm.Client().Outcome(callCtx, connect.NewRequest(&wqpb.OutcomeRequest{
		Ticket: ticket, TimeoutMillis: uint32(callTimeout.Milliseconds()),
	}))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// sendQuery sends a query once. It returns an error unless the answer has the
// query's request ID and includes all shards.
func sendQuery(ctx context.Context, vm *wqprocess.VM, id string) error {
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout+replyGrace)
	defer cancel()
	reply, err := vm.Client().Query(callCtx, connect.NewRequest(&wqpb.QueryRequest{
		RequestId: id, Tenant: wqprocess.Tenant, Class: wqprocess.Class, Service: wqprocess.Service,
		Body: []byte("pump"), TimeoutMillis: uint32(2 * callTimeout.Milliseconds()),
	}))
	if err != nil {
		return fmt.Errorf("query at %s: %w", vm.ID, err)
	}
	a := reply.Msg
	if a.GetRequestId() != id || a.GetShardsAnswered() != a.GetShardsTotal() || a.GetShardsTotal() == 0 {
		return fmt.Errorf("query at %s: %d of %d shards, missing %v", vm.ID, a.GetShardsAnswered(), a.GetShardsTotal(), a.GetMissing())
	}
	return nil
}

// checkRecords compares the answers to callers with the executions that the
// searchers recorded. It fails the test if a request was executed twice or an
// answer was wrong, and returns the number of requests by result.
func checkRecords(t *testing.T, f *wqprocess.Fleet, records []*callRecord) map[string]int {
	t.Helper()
	executions := f.ExecutionCounts()
	for id, n := range executions {
		if n > 1 {
			t.Errorf("%s was executed %d times; a write-like request is executed at most once", id, n)
		}
	}
	summary := map[string]int{"requests": len(records)}
	for _, c := range records {
		n := executions[c.Ticket]
		switch {
		case c.NotRun && n > 0:
			t.Errorf("%s was reported as not run but was executed", c.Ticket)
		case c.Done && n != 1:
			t.Errorf("%s was reported as done but was executed %d times", c.Ticket, n)
		case c.Done:
			summary["done"]++
		case c.NotRun:
			summary["not_run"]++
		case n == 1:
			summary["unknown_ran"]++
		default:
			summary["unknown_did_not_run"]++
		}
	}
	return summary
}
