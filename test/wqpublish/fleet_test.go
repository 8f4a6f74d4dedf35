package wqpublish_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqconfigstore"
	"wisteriaquay/io/wqconfigsync"
	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqdocument"
	"wisteriaquay/io/wqeventloop"
	"wisteriaquay/io/wqoperatorservice"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqstore"
	"wisteriaquay/test/wqfakestore"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	storeTimeout      = 500 * time.Millisecond
	longTimeout       = time.Minute     // For waits whose duration is not under test, on a slow machine.
	maxApplyTime      = 7 * time.Second // From a note being accepted to its being in force on all VMs.
)

type (
	syncer          = wqconfig.Syncer[wqconfig.WatchersPerZone]
	executor        = wqconfigsync.Executor[*wqstore.Client, *fleet]
	operatorHandler = wqoperatorservice.Handler[*wqstore.Client, *fleet]
)

// fleet runs the configuration sync of several VMs in this process against one
// fake store over HTTP. Peers call each other's methods directly, and each VM
// reads the member list from the fleet.
type fleet struct {
	store       *wqfakestore.Server
	storeClient *wqstore.Client
	mu          sync.RWMutex
	nodes       map[string]*node
	peerBytes   atomic.Int64 // Size of the notes and topologies sent between peers.
}

// node is one VM: the configuration syncer and the control loop that drives it.
type node struct {
	*syncer
	fleet           *fleet
	self            wqmember.Member
	loop            *wqeventloop.Loop[wqconfig.Event]
	executor        *executor
	history         atomic.Pointer[wqhistory.History]
	cancel          context.CancelFunc
	operatorHandler *operatorHandler
	nextHeartbeat   time.Time
	partitioned     atomic.Bool // Drops all calls from peers and reports no revision to them.
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{store: &wqfakestore.Server{}, nodes: map[string]*node{}}
	server := httptest.NewServer(f.store.Handler())
	f.storeClient = &wqstore.Client{URL: server.URL, Timeout: storeTimeout, HTTP: server.Client()}
	t.Cleanup(func() {
		for id := range f.members() {
			f.killNode(id)
		}
		server.Close()
	})
	for i := range size {
		f.startNode(fmt.Sprintf("vm%d", i), fmt.Sprintf("z%d", i%3))
	}
	return f
}

func (f *fleet) startNode(id, zone string) *node {
	self := wqmember.Member{ID: id, Address: id, Zone: zone, Epoch: uint64(time.Now().UnixNano())}
	n := &node{
		fleet: f, self: self, loop: wqeventloop.New[wqconfig.Event](256),
		syncer: &syncer{
			Self: self, Policy: wqconfig.WatchersPerZone{Count: 2}, Timing: wqconfig.DefaultTiming(),
			Random: rand.New(rand.NewPCG(self.Epoch, 1)),
		},
		executor: &executor{Store: &wqconfigstore.Store[*wqstore.Client]{KV: f.storeClient}, Peers: f, FetchTimeout: 500 * time.Millisecond, Log: slog.New(slog.DiscardHandler)},
	}
	n.operatorHandler = &operatorHandler{
		Store: n.executor.Store, Peers: f, View: n.view, PostEvent: n.loop.Post, StoreReachable: func() bool { return true },
		Authorize: func(token string) error {
			if token != "Bearer secret" {
				return wqfault.New(wqfault.Denied, "wrong or missing token", "send the operator token")
			}
			return nil
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	n.cancel = stop
	n.loop.HandleEvent = n.Handle
	n.loop.Tick = func(now time.Time) time.Time { return n.tickAndExecute(ctx, now) }
	n.Start(time.Now())
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	go n.loop.Run(ctx)
	return n
}

// killNode stops a VM without notifying its peers.
func (f *fleet) killNode(id string) {
	f.mu.Lock()
	n := f.nodes[id]
	delete(f.nodes, id)
	f.mu.Unlock()
	n.cancel()
	<-n.loop.Done()
}

func (f *fleet) members() map[string]wqmember.Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	members := map[string]wqmember.Member{}
	for id, n := range f.nodes {
		m := n.self
		if !n.partitioned.Load() {
			m.Revision = n.history.Load().Revision()
		}
		members[id] = m
	}
	return members
}

func (f *fleet) nodeByID(id string) *node {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.nodes[id]
}

// tickAndExecute runs after each event of a VM's control loop: it updates the
// member list once per heartbeat interval and starts the syncer's actions. It
// returns the time of the next tick.
func (n *node) tickAndExecute(ctx context.Context, now time.Time) time.Time {
	if !now.Before(n.nextHeartbeat) {
		n.nextHeartbeat = now.Add(heartbeatInterval)
		var members []wqmember.Member
		for _, m := range n.fleet.members() {
			members = append(members, m)
		}
		n.SetMembers(now, members)
	}
	for _, a := range n.Tick(now) {
		if announce, ok := a.(wqconfig.Announce); ok {
			n.history.Store(n.History())
			n.announceRevision(announce.Revision)
			continue
		}
		go func() { n.loop.Post(ctx, n.executor.Execute(ctx, a)) }()
	}
	next := n.NextTick()
	if n.nextHeartbeat.Before(next) {
		next = n.nextHeartbeat
	}
	return next
}

// announceRevision reports a new revision to up to 4 peers, as membership does
// with urgent updates.
func (n *node) announceRevision(revision uint64) {
	notified := 0
	for id := range n.fleet.members() {
		if p := n.fleet.nodeByID(id); p != nil && p != n && !p.partitioned.Load() && notified < 4 {
			notified++
			p.loop.TryPost(wqconfig.RevisionReported{Peer: n.self.ID, Revision: revision})
		}
	}
}

func (n *node) view() *wqview.View {
	t := &wqtopology.Topology{}
	if h := n.history.Load(); h != nil {
		t = h.Topology
	}
	return &wqview.View{Self: n.self, Index: wqtopology.NewIndex(t), Members: n.fleet.members()}
}

// PeerClient returns a VM's peer service.
func (f *fleet) PeerClient(address string) wqpb.PeerService {
	return &peerService{fleet: f, id: address}
}

type peerService struct {
	wqpb.PeerService

	fleet *fleet
	id    string
}

func (p *peerService) Configuration(_ context.Context, r *wqpb.ConfigurationRequest) (*wqpb.ConfigurationResponse, error) {
	n := p.fleet.nodeByID(p.id)
	if n == nil || n.partitioned.Load() {
		return nil, wqfault.New(wqfault.Unavailable, "peer is unreachable", "call another peer")
	}
	a, err := wqconfigsync.Respond(n.history.Load(), r)
	for _, note := range a.GetNotes() {
		p.fleet.peerBytes.Add(int64(len(note)))
	}
	p.fleet.peerBytes.Add(int64(len(a.GetTopology())))
	return a, err
}

// publish sends a note to a VM's operator service.
func (n *node) publish(ctx context.Context, note *wqnote.Note, timeout time.Duration) (*wqpb.PublishResponse, error) {
	data, err := wqdocument.EncodeNote(note)
	if err != nil {
		return nil, err
	}
	r := connect.NewRequest(&wqpb.PublishRequest{Note: data, WaitMillis: uint32(timeout.Milliseconds())})
	r.Header().Set("Authorization", "Bearer secret")
	response, err := n.operatorHandler.Publish(ctx, r)
	if err != nil {
		return nil, wqconnecterror.Decode(err)
	}
	return response.Msg, nil
}

// publishWithRetry publishes a note, and again for up to longTimeout while calls
// to the store time out on a slow machine.
func (n *node) publishWithRetry(t *testing.T, note *wqnote.Note) *wqpb.PublishResponse {
	t.Helper()
	for began := time.Now(); ; {
		r, err := n.publish(t.Context(), note, longTimeout)
		if err == nil {
			return r
		}
		kind := wqfault.KindOf(err)
		must.True(t, kind == wqfault.Unavailable || kind == wqfault.OutcomeUnknown, must.Sprint(err))
		must.Less(t, longTimeout, time.Since(began), must.Sprint(err))
	}
}

// firstNote returns a note that adds three zones, with a searcher in each, to an
// empty configuration.
func firstNote() *wqnote.Note {
	n := &wqnote.Note{ID: "first", Added: wqnote.Entries{
		Layouts: []wqtopology.Layout{{Service: "bench", FirstSnapshot: 1, Shards: []string{"b1"}}},
	}}
	for i := range 3 {
		zone := fmt.Sprintf("z%d", i)
		n.Added.Zones = append(n.Added.Zones, wqtopology.Zone{ID: zone, Region: "r"})
		n.Added.Searchers = append(n.Added.Searchers, wqtopology.Searcher{
			ID: "s" + zone, Address: fmt.Sprintf("10.0.0.%d:9000", i+1), Zone: zone, Service: "bench", Shard: "b1", Slots: 3, Connections: 30,
		})
	}
	return n
}

// startConfiguredFleet returns a fleet with firstNote in force as revision 1.
func startConfiguredFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := newFleet(t, size)
	r := f.nodeByID("vm0").publishWithRetry(t, firstNote())
	must.Eq(t, uint32(size), r.GetVmsInForce(), must.Sprintf("unconfirmed VMs: %v", r.GetVmsNotHeard()))
	return f
}
