// Package wqprocess runs the real program as several processes on loopback, with
// stand-ins for the platform and the searchers in the test's own process and a
// fault proxy on every route: to each searcher, to each VM's peer listener and to
// the store.
//
// # Usage
//
//	f := wqprocess.Start(t, wqprocess.Options{VMs: 3, Shards: 4, Replicas: 2})
//	f.WaitServing()
//	f.VMs[0].Freeze()
//	f.Searchers[0].Wire.LoseReplies(0)
//	runs := f.Runs()
//
// Everything that was started ends with the test, by its own process id.
package wqprocess

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqdocument"
	"wisteriaquay/io/wqstore"
	"wisteriaquay/io/wqvmlist"
	"wisteriaquay/test/wqfakelist"
	"wisteriaquay/test/wqfakesearcher"
	"wisteriaquay/test/wqfakestore"
	"wisteriaquay/test/wqproxy"
)

// Names that every fleet uses.
const (
	Tenant        = "verhaegen"
	Class         = "counter"
	Service       = "orders"
	OperatorToken = "operator-token-of-tests"
)

const (
	readyLimit  = 20 * time.Second
	zoneCount   = 3
	searchSlots = 24
)

// Options are the choices of a fleet.
type Options struct {
	VMs              int
	Shards           int
	Replicas         int           // Replicas is how many searchers each shard has, each in another zone.
	BalancerLag      time.Duration // BalancerLag is the setting of each VM; 0 means 100 ms.
	TicketTTL        time.Duration // TicketTTL is the setting of each VM; 0 means 5 s.
	StopTimeout      time.Duration // StopTimeout is the setting of each VM; 0 means 10 s.
	SearcherSettings wqfakesearcher.Settings
}

// Searcher is one searcher with its route.
type Searcher struct {
	*wqfakesearcher.Server
	Proxy *wqproxy.Proxy
}

// Fleet is a running tier with its surroundings.
type Fleet struct {
	Options    Options
	VMs        []*VM
	Searchers  []*Searcher
	Store      *wqfakestore.Server
	StoreProxy *wqproxy.Proxy

	t        *testing.T
	mu       sync.Mutex // mu guards VMs while tests start more.
	list     *wqfakelist.Server
	listURL  string
	topology *wqtopology.Topology
	program  string
	started  int
}

// Start runs a fleet until the test ends.
func Start(t *testing.T, o Options) *Fleet {
	t.Helper()
	f := &Fleet{Options: withDefaults(o), t: t, list: &wqfakelist.Server{}, Store: &wqfakestore.Server{}, program: BuildProgram(t)}
	f.startSearchers()
	f.startPlatform()
	for range o.VMs {
		f.StartVM()
	}
	return f
}

func withDefaults(o Options) Options {
	if o.BalancerLag == 0 {
		o.BalancerLag = 100 * time.Millisecond
	}
	if o.TicketTTL == 0 {
		o.TicketTTL = 5 * time.Second
	}
	if o.StopTimeout == 0 {
		o.StopTimeout = 10 * time.Second
	}
	if o.SearcherSettings.Slots == 0 {
		o.SearcherSettings = wqfakesearcher.Settings{Slots: searchSlots, Connections: searchSlots, Batch: 1, ServiceMillis: 2}
	}
	o.SearcherSettings.OldestSnapshot, o.SearcherSettings.NewestSnapshot = 1, 1
	return o
}

// ZoneName returns the availability zone of the VM or replica with this number.
func ZoneName(i int) string { return fmt.Sprintf("zone%d", i%zoneCount+1) }

// ShardName returns the name of a shard.
func ShardName(i int) string { return fmt.Sprintf("o%02d", i) }

func (f *Fleet) startSearchers() {
	f.topology = &wqtopology.Topology{
		Revision: 1,
		NoteID:   "first",
		Rules: []wqtopology.Rule{{
			Tenant: Tenant, Class: Class, Service: Service, TimeoutMillis: 2000, Weight: 1,
			HedgeQuantile: 0.95, HedgeShare: 0.05,
		}},
		Layouts: []wqtopology.Layout{{Service: Service, FirstSnapshot: 1}},
	}
	for i := range zoneCount {
		f.topology.Zones = append(f.topology.Zones, wqtopology.Zone{ID: ZoneName(i), Region: "r1"})
	}
	for i := range f.Options.Shards {
		f.topology.Layouts[0].Shards = append(f.topology.Layouts[0].Shards, ShardName(i))
		for j := range f.Options.Replicas {
			f.startSearcher(fmt.Sprintf("s%02d-%d", i, j), ShardName(i), ZoneName(i+j))
		}
	}
}

func (f *Fleet) startSearcher(id, shard, zone string) {
	k := f.Options.SearcherSettings
	s := wqfakesearcher.New(id, Service, shard, k, uint64(len(f.Searchers)+1))
	l, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(ctx, l)
	}()
	wire, release := wqproxy.New(f.t, l.Addr().String())
	f.t.Cleanup(func() { release(); stop(); <-ended })
	f.Searchers = append(f.Searchers, &Searcher{s, wire})
	f.topology.Searchers = append(f.topology.Searchers, wqtopology.Searcher{
		ID: id, Address: wire.Address(), Zone: zone, Service: Service, Shard: shard,
		Slots: k.Slots, Connections: k.Connections, Batch: 1, ColdSlots: 1,
		WarmMillis: int(k.WarmMillis),
	})
}

func (f *Fleet) startPlatform() {
	store := httptest.NewServer(f.Store.Handler())
	list := httptest.NewServer(f.list.Handler())
	wire, release := wqproxy.New(f.t, strings.TrimPrefix(store.URL, "http://"))
	f.StoreProxy, f.listURL = wire, list.URL
	f.t.Cleanup(func() {
		release()
		store.CloseClientConnections()
		store.Close()
		list.Close()
	})
	value, err := wqdocument.EncodeTopology(f.topology)
	must.NoError(f.t, err)
	client := &wqstore.Client{URL: store.URL, Timeout: time.Second, HTTP: http.DefaultClient}
	_, err = client.CompareAndSwap(f.t.Context(), wqstore.SwapRequest{Key: "wisteriaquay/head", Data: value})
	must.NoError(f.t, err)
}

// WaitServing waits until every VM that runs is ready and answers whole.
func (f *Fleet) WaitServing() {
	f.t.Helper()
	for _, vm := range f.RunningVMs() {
		vm.WaitReady()
	}
	for _, vm := range f.RunningVMs() {
		vm.WaitServing()
	}
}

// ExecutionCounts counts how often each write-like request ran, by ticket, over all
// searchers and their starts.
func (f *Fleet) ExecutionCounts() map[string]int {
	runs := make(map[string]int)
	for _, s := range f.Searchers {
		for _, r := range s.Executions() {
			runs[r.RequestID]++
		}
	}
	return runs
}

// Heal ends the faults on all routes and wakes all VMs.
func (f *Fleet) Heal() {
	for _, s := range f.Searchers {
		s.Proxy.Heal()
	}
	for _, vm := range f.RunningVMs() {
		vm.PeerProxy.Heal()
		vm.Thaw()
	}
	f.StoreProxy.Heal()
}

// listVMs puts the VMs that run on the VM list.
func (f *Fleet) listVMs() {
	var listed []wqvmlist.VM
	for _, vm := range f.RunningVMs() {
		listed = append(listed, wqvmlist.VM{ID: vm.ID, Address: vm.PeerProxy.Address(), Zone: vm.Zone, Region: "r1"})
	}
	f.list.Set(listed)
}

func eventually(t *testing.T, limit time.Duration, what string, check func() error) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(check), wait.Timeout(limit), wait.Gap(20*time.Millisecond)), must.Sprintf("%s within %s", what, limit))
}

// RunningVMs returns the VMs whose processes run.
func (f *Fleet) RunningVMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*VM
	for _, vm := range f.VMs {
		if vm.Running() {
			running = append(running, vm)
		}
	}
	return running
}
