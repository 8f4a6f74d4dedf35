package wqwrite

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcandidate"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqticket"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqdispatch"
	"wisteriaquay/io/wqpb"
)

var (
	errUnsent         = errors.New("connection refused")
	errConnectionLost = errors.New("connection reset")
)

// testFleet is several VMs in one process. Their calls fail at random.
type testFleet struct {
	t             *testing.T
	view          *wqview.View
	vms           map[string]*testVM
	mu            sync.Mutex
	random        *rand.Rand
	lossPercent   int // requests lost, and replies lost, in percent
	runCounts     map[string]int
	searcherReply func(ticket string) (*wqpb.WriteResponse, error) // reply of a searcher to the request of a ticket
}

type testVM struct {
	fleet      *testFleet
	writer     *Writer[wqcandidate.NearFirst]
	dispatcher *wqdispatch.Dispatcher
	dead       bool
}

func newTestFleet(t *testing.T, seed uint64) *testFleet {
	t.Helper()
	f := &testFleet{t: t, vms: map[string]*testVM{}, runCounts: map[string]int{}, random: rand.New(rand.NewPCG(seed, 1))}
	f.searcherReply = func(string) (*wqpb.WriteResponse, error) {
		return &wqpb.WriteResponse{Outcome: wqpb.Outcome_OUTCOME_DONE, Body: []byte("ok")}, nil
	}
	topology := &wqtopology.Topology{
		Revision:  1,
		Zones:     []wqtopology.Zone{{ID: "a"}},
		Rules:     []wqtopology.Rule{{Tenant: "t", Class: "c", Service: "orders"}},
		Searchers: []wqtopology.Searcher{{ID: "s1", Zone: "a", Service: "orders", Shard: "o1"}, {ID: "s2", Zone: "a", Service: "orders", Shard: "o1"}},
	}
	f.view = &wqview.View{Index: wqtopology.NewIndex(topology), Members: map[string]wqmember.Member{}, Holders: map[string][]wqview.Holder{}}
	for i := range 3 {
		f.add(fmt.Sprintf("vm%d", i))
	}
	return f
}

func (f *testFleet) add(id string) {
	member := wqmember.Member{ID: id, Address: id, Zone: "a", Epoch: 5}
	f.view.Members[id] = member
	for _, s := range []string{"s1", "s2"} {
		f.view.Holders[s] = append(f.view.Holders[s], wqview.Holder{MemberID: id})
	}
	dispatcher := wqdispatch.New(member.Epoch, time.Minute)
	dispatcher.Send = f.serveSearcher
	f.vms[id] = &testVM{fleet: f, dispatcher: dispatcher, writer: &Writer[wqcandidate.NearFirst]{
		View: func() *wqview.View { v := *f.view; v.Self = member; return &v },
		Ledger: &wqticket.Ledger{
			VM: id, Epoch: member.Epoch, Secret: []byte(id), TTL: time.Minute, ResultRetention: time.Minute, MaxCount: 10000, MaxBytes: 1 << 20,
		},
		LocalHolder: dispatcher,
		PeerClient:  func(address string) wqpb.PeerService { return f.vms[address] },
		IsUnsent:    func(err error) bool { return errors.Is(err, errUnsent) },
	}}
}

func (f *testFleet) serveSearcher(_ context.Context, r *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply, err := f.searcherReply(r.GetTicket())
	if !wqfault.KindOf(err).NotRun() || err == nil {
		f.runCounts[r.GetTicket()]++
	}
	return reply, err
}

func (f *testFleet) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100) < f.lossPercent
}

// call serves a request on m, unless the request or the reply is lost.
func call[Q, A any](ctx context.Context, m *testVM, q Q, serve func(context.Context, Q) (A, error)) (A, error) {
	var none A
	if m.dead {
		return none, errUnsent
	}
	if m.fleet.isLost() {
		return none, errConnectionLost
	}
	a, err := serve(ctx, q)
	if m.fleet.isLost() {
		return none, errConnectionLost
	}
	return a, err
}

func (m *testVM) Heartbeat(context.Context, *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	return nil, errConnectionLost
}

func (m *testVM) Configuration(context.Context, *wqpb.ConfigurationRequest) (*wqpb.ConfigurationResponse, error) {
	return nil, errConnectionLost
}

func (m *testVM) ForwardWrite(ctx context.Context, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	return call(ctx, m, r, m.writer.ForwardWrite)
}

func (m *testVM) ForwardOutcome(ctx context.Context, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	return call(ctx, m, r, m.writer.ForwardOutcome)
}

func (m *testVM) DispatchWrite(ctx context.Context, r *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	return call(ctx, m, r, m.dispatcher.DispatchWrite)
}

func (m *testVM) DispatchOutcome(ctx context.Context, r *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error) {
	return call(ctx, m, r, m.dispatcher.DispatchOutcome)
}

func (f *testFleet) ticket(vm string) string {
	reply, err := f.vms[vm].writer.Ticket(f.t.Context(), &wqpb.TicketRequest{Tenant: "t", Class: "c", Service: "orders"})
	must.NoError(f.t, err)
	return reply.GetTicket()
}

func (f *testFleet) write(vm, ticket string) *wqpb.WriteResponse {
	reply, err := f.vms[vm].writer.Write(f.t.Context(), newTestRequest(ticket))
	must.NoError(f.t, err)
	return reply
}

func newTestRequest(ticket string) *wqpb.WriteRequest {
	return &wqpb.WriteRequest{Ticket: ticket, Tenant: "t", Class: "c", Service: "orders", Shard: "o1", Body: []byte("one"), TimeoutMillis: 500}
}

func TestRetryAtAnotherVMGetsTheRecordedReply(t *testing.T) {
	f := newTestFleet(t, 1)
	ticket := f.ticket("vm0")
	for _, vm := range []string{"vm1", "vm0", "vm2"} {
		reply := f.write(vm, ticket)
		must.Eq(t, wqpb.Outcome_OUTCOME_DONE, reply.GetOutcome())
		must.Eq(t, "ok", string(reply.GetBody()))
	}
	must.Eq(t, 1, f.runCounts[ticket])
}

func TestOtherContentIsAConflictThroughAnyVM(t *testing.T) {
	f := newTestFleet(t, 1)
	ticket := f.ticket("vm0")
	f.write("vm1", ticket)
	other := newTestRequest(ticket)
	other.Body = []byte("two")
	for _, vm := range []string{"vm0", "vm1"} {
		_, err := f.vms[vm].writer.Write(t.Context(), other)
		must.Eq(t, wqfault.Conflict, wqfault.KindOf(err))
	}
}

func TestTicketOfADeadVMIsNeverReportedAsNotRun(t *testing.T) {
	f := newTestFleet(t, 1)
	unused, used := f.ticket("vm0"), f.ticket("vm0")
	must.Eq(t, wqpb.Outcome_OUTCOME_DONE, f.write("vm1", used).GetOutcome())
	f.vms["vm0"].dead = true
	must.Eq(t, wqpb.Outcome_OUTCOME_UNKNOWN, f.write("vm1", unused).GetOutcome())
	delete(f.view.Members, "vm0")
	must.Eq(t, wqpb.Outcome_OUTCOME_UNKNOWN, f.write("vm1", unused).GetOutcome())
	must.Eq(t, 0, f.runCounts[unused])
}

func TestHolderReportsTheOutcomeAfterTheMintingVMStops(t *testing.T) {
	f := newTestFleet(t, 1)
	f.view.Holders = map[string][]wqview.Holder{"s1": {{MemberID: "vm2"}}}
	ticket := f.ticket("vm0")
	f.write("vm0", ticket)
	f.vms["vm0"].dead = true
	reply := f.write("vm1", ticket)
	must.Eq(t, wqpb.Outcome_OUTCOME_DONE, reply.GetOutcome())
	must.Eq(t, "ok", string(reply.GetBody()))
	must.Eq(t, 1, f.runCounts[ticket])
}

func TestSecondSearcherOnlyAfterTheFirstDidNotRun(t *testing.T) {
	f := newTestFleet(t, 1)
	first := true
	shed := wqfault.New(wqfault.Overloaded, "shed", "wait")
	done := f.searcherReply
	f.searcherReply = func(ticket string) (*wqpb.WriteResponse, error) {
		if first {
			first = false
			return nil, shed
		}
		return done(ticket)
	}
	ticket := f.ticket("vm0")
	must.Eq(t, wqpb.Outcome_OUTCOME_DONE, f.write("vm0", ticket).GetOutcome())
	f.searcherReply = func(string) (*wqpb.WriteResponse, error) { return nil, errConnectionLost }
	ticket = f.ticket("vm0")
	must.Eq(t, wqpb.Outcome_OUTCOME_UNKNOWN, f.write("vm0", ticket).GetOutcome())
	must.Eq(t, 1, f.runCounts[ticket])
	f.searcherReply = func(string) (*wqpb.WriteResponse, error) { return nil, shed }
	ticket = f.ticket("vm0")
	must.Eq(t, wqpb.Outcome_OUTCOME_NOT_RUN, f.write("vm1", ticket).GetOutcome())
	must.Eq(t, 0, f.runCounts[ticket])
}

func TestStoppingVMMintsNoTicketsAndServesItsOpenOnes(t *testing.T) {
	f := newTestFleet(t, 1)
	ticket := f.ticket("vm0")
	f.view.RefusesRequests = true
	_, err := f.vms["vm0"].writer.Ticket(t.Context(), &wqpb.TicketRequest{Tenant: "t", Class: "c", Service: "orders"})
	must.Eq(t, wqfault.Leaving, wqfault.KindOf(err))
	must.Eq(t, 1, f.vms["vm0"].writer.CountOpen(time.Now()))
	must.Eq(t, wqpb.Outcome_OUTCOME_DONE, f.write("vm1", ticket).GetOutcome())
	must.Eq(t, 0, f.vms["vm0"].writer.CountOpen(time.Now()))
}

// TestLostCalls retries requests at other VMs while one request in five and one reply
// in five are lost. No request may run twice, and the outcome that callers get has to
// match the number of runs.
func TestLostCalls(t *testing.T) {
	f := newTestFleet(t, 7)
	f.lossPercent = 20
	outcomes := map[wqpb.Outcome]int{}
	var group sync.WaitGroup
	var mu sync.Mutex
	var tickets []string
	for i := range 200 {
		ticket := f.ticket(fmt.Sprintf("vm%d", i%3))
		tickets = append(tickets, ticket)
		group.Go(func() {
			for try := range 3 {
				reply, err := f.vms[fmt.Sprintf("vm%d", (i+try)%3)].writer.Write(t.Context(), newTestRequest(ticket))
				test.NoError(t, err)
				mu.Lock()
				outcomes[reply.GetOutcome()]++
				mu.Unlock()
				f.mu.Lock()
				ran := f.runCounts[ticket]
				f.mu.Unlock()
				switch reply.GetOutcome() {
				case wqpb.Outcome_OUTCOME_DONE:
					test.Eq(t, 1, ran)
				case wqpb.Outcome_OUTCOME_NOT_RUN:
					test.Eq(t, 0, ran)
				}
			}
		})
	}
	group.Wait()
	for ticket, n := range f.runCounts {
		must.LessEq(t, 1, n, must.Sprint(ticket))
	}
	t.Logf("outcomes of 600 requests under 200 tickets: %v", outcomes)
	f.lossPercent = 0
	for i, ticket := range tickets {
		reply, err := f.vms[fmt.Sprintf("vm%d", (i+1)%3)].writer.Outcome(t.Context(), &wqpb.OutcomeRequest{Ticket: ticket, TimeoutMillis: 1000})
		must.NoError(t, err)
		want := wqpb.Outcome_OUTCOME_NOT_RUN
		if f.runCounts[ticket] == 1 {
			want = wqpb.Outcome_OUTCOME_DONE
		}
		must.Eq(t, want, reply.GetOutcome(), must.Sprintf("no VM stopped, so every outcome can be determined: %s", ticket))
	}
}
