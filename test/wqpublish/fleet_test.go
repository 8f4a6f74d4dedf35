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
	heartbeat    = 500 * time.Millisecond
	storeTimeout = 500 * time.Millisecond
	patience     = time.Minute     // patience is how long a test waits on a slow machine where no bound is at stake.
	bound        = 7 * time.Second // bound is the longest time from acceptance until a change is in force everywhere.
)

type (
	machine  = wqconfig.Syncer[wqconfig.WatchersPerZone]
	follower = wqconfigsync.Executor[*wqstore.Client, *fleet]
	operator = wqoperatorservice.Handler[*wqstore.Client, *fleet]
)

// fleet runs the configuration side of VMs against one store stand-in over
// HTTP. Peers reach each other by calls; membership is given.
type fleet struct {
	store  *wqfakestore.Server
	client *wqstore.Client
	mu     sync.RWMutex
	nodes  map[string]*node
	bytes  atomic.Int64 // bytes counts what peers sent each other of configuration.
}

// node is one VM.
type node struct {
	*machine
	fleet    *fleet
	self     wqmember.Member
	loop     *wqeventloop.Loop[wqconfig.Event]
	follower *follower
	history  atomic.Pointer[wqhistory.History]
	stop     context.CancelFunc
	operator *operator
	nextBeat time.Time
	deaf     atomic.Bool // deaf drops what peers say, as for a VM that is cut off.
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{store: &wqfakestore.Server{}, nodes: map[string]*node{}}
	server := httptest.NewServer(f.store.Handler())
	f.client = &wqstore.Client{URL: server.URL, Timeout: storeTimeout, HTTP: server.Client()}
	t.Cleanup(func() {
		for id := range f.members() {
			f.kill(id)
		}
		server.Close()
	})
	for i := range size {
		f.boot(fmt.Sprintf("vm%d", i), fmt.Sprintf("z%d", i%3))
	}
	return f
}

func (f *fleet) boot(id, zone string) *node {
	self := wqmember.Member{ID: id, Address: id, Zone: zone, Epoch: uint64(time.Now().UnixNano())}
	n := &node{
		fleet: f, self: self, loop: wqeventloop.New[wqconfig.Event](256),
		machine: &machine{
			Self: self, Policy: wqconfig.WatchersPerZone{Count: 2}, Timing: wqconfig.DefaultTiming(),
			Random: rand.New(rand.NewPCG(self.Epoch, 1)),
		},
		follower: &follower{Store: &wqconfigstore.Store[*wqstore.Client]{KV: f.client}, Peers: f, FetchTimeout: 500 * time.Millisecond, Log: slog.New(slog.DiscardHandler)},
	}
	n.operator = &operator{
		Store: n.follower.Store, Peers: f, View: n.view, PostEvent: n.loop.Post, StoreReachable: func() bool { return true },
		Authorize: func(token string) error {
			if token != "Bearer secret" {
				return wqfault.New(wqfault.Denied, "no", "send a token")
			}
			return nil
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.loop.HandleEvent = n.Handle
	n.loop.Tick = func(now time.Time) time.Time { return n.settle(ctx, now) }
	n.Start(time.Now())
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	go n.loop.Run(ctx)
	return n
}

// kill ends a VM without a word.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	n := f.nodes[id]
	delete(f.nodes, id)
	f.mu.Unlock()
	n.stop()
	<-n.loop.Done()
}

func (f *fleet) members() map[string]wqmember.Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	members := map[string]wqmember.Member{}
	for id, n := range f.nodes {
		m := n.self
		if !n.deaf.Load() {
			m.Revision = n.history.Load().Revision()
		}
		members[id] = m
	}
	return members
}

func (f *fleet) at(id string) *node {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.nodes[id]
}

// settle is what a VM's control loop does after each event.
func (n *node) settle(ctx context.Context, now time.Time) time.Time {
	if !now.Before(n.nextBeat) {
		n.nextBeat = now.Add(heartbeat)
		var members []wqmember.Member
		for _, m := range n.fleet.members() {
			members = append(members, m)
		}
		n.SetMembers(now, members)
	}
	for _, a := range n.Tick(now) {
		if announce, ok := a.(wqconfig.Announce); ok {
			n.history.Store(n.History())
			n.announce(announce.Revision)
			continue
		}
		go func() { n.loop.Post(ctx, n.follower.Execute(ctx, a)) }()
	}
	next := n.NextTick()
	if n.nextBeat.Before(next) {
		next = n.nextBeat
	}
	return next
}

// announce tells a few peers, as membership does with urgent news.
func (n *node) announce(revision uint64) {
	told := 0
	for id := range n.fleet.members() {
		if p := n.fleet.at(id); p != nil && p != n && !p.deaf.Load() && told < 4 {
			told++
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
	n := p.fleet.at(p.id)
	if n == nil || n.deaf.Load() {
		return nil, wqfault.New(wqfault.Unavailable, "unreachable", "try another")
	}
	a, err := wqconfigsync.Respond(n.history.Load(), r)
	for _, note := range a.GetNotes() {
		p.fleet.bytes.Add(int64(len(note)))
	}
	p.fleet.bytes.Add(int64(len(a.GetTopology())))
	return a, err
}

// publish sends a note to a VM's operator service.
func (n *node) publish(ctx context.Context, note *wqnote.Note, wait time.Duration) (*wqpb.PublishResponse, error) {
	data, err := wqdocument.EncodeNote(note)
	if err != nil {
		return nil, err
	}
	r := connect.NewRequest(&wqpb.PublishRequest{Note: data, WaitMillis: uint32(wait.Milliseconds())})
	r.Header().Set("Authorization", "Bearer secret")
	response, err := n.operator.Publish(ctx, r)
	if err != nil {
		return nil, wqconnecterror.Decode(err)
	}
	return response.Msg, nil
}

// publishPatiently publishes a note again while a slow machine lets calls to the
// store time out.
func (n *node) publishPatiently(t *testing.T, note *wqnote.Note) *wqpb.PublishResponse {
	t.Helper()
	for began := time.Now(); ; {
		r, err := n.publish(t.Context(), note, patience)
		if err == nil {
			return r
		}
		kind := wqfault.KindOf(err)
		must.True(t, kind == wqfault.Unavailable || kind == wqfault.OutcomeUnknown, must.Sprint(err))
		must.Less(t, patience, time.Since(began), must.Sprint(err))
	}
}

// first is the note that fills an empty configuration.
func first() *wqnote.Note {
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

// started returns a fleet with a configuration in force.
func started(t *testing.T, size int) *fleet {
	t.Helper()
	f := newFleet(t, size)
	r := f.at("vm0").publishPatiently(t, first())
	must.Eq(t, uint32(size), r.GetVmsInForce(), must.Sprintf("not heard: %v", r.GetVmsNotHeard()))
	return f
}
