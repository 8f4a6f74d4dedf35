// Package wqprocess runs several processes of the program on loopback. Fakes of
// the VM list, the store and the searchers run in the test process. A
// fault-injecting proxy is in front of each searcher, of each VM's peer listener
// and of the store.
//
// # Usage
//
//	f := wqprocess.Start(t, wqprocess.Options{VMs: 3, Shards: 4, Replicas: 2})
//	f.WaitServing()
//	f.VMs[0].Freeze()
//	f.Searchers[0].Proxy.ResetReplies(0)
//	counts := f.ExecutionCounts()
//
// Processes, fakes and proxies stop at the end of the test. Signals are sent to
// each process by its process ID.
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

// Names and the operator token that every fleet uses.
const (
	Tenant        = "verhaegen"
	Class         = "counter"
	Service       = "orders"
	OperatorToken = "operator-token-of-tests"
)

const (
	startTimeout  = 20 * time.Second
	zoneCount     = 3
	searcherSlots = 24
)

// Options configure a fleet.
type Options struct {
	VMs              int
	Shards           int
	Replicas         int           // Replicas is the number of searchers per shard, in consecutive zones.
	BalancerLag      time.Duration // BalancerLag is passed as --balancer-lag; 0 means 100 ms.
	TicketTTL        time.Duration // TicketTTL is passed as --ticket-life; 0 means 5 s.
	StopLimit        time.Duration // StopLimit is passed as --stop-limit; 0 means 10 s.
	SearcherSettings wqfakesearcher.Settings
}

// Searcher is a fake searcher with the proxy in front of it.
type Searcher struct {
	*wqfakesearcher.Server
	Proxy *wqproxy.Proxy
}

// Fleet is a set of VMs with the fake searchers, store and VM list that they use.
type Fleet struct {
	Options    Options
	VMs        []*VM
	Searchers  []*Searcher
	Store      *wqfakestore.Server
	StoreProxy *wqproxy.Proxy

	t           *testing.T
	mu          sync.Mutex // guards VMs, as tests start more of them
	vmList      *wqfakelist.Server
	vmListURL   string
	topology    *wqtopology.Topology
	programPath string
	vmsStarted  int
}

// Start starts a fleet that runs until the test ends. It fails the test if it
// cannot build the program or start a process.
func Start(t *testing.T, o Options) *Fleet {
	t.Helper()
	f := &Fleet{Options: withDefaults(o), t: t, vmList: &wqfakelist.Server{}, Store: &wqfakestore.Server{}, programPath: BuildProgram(t)}
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
	if o.StopLimit == 0 {
		o.StopLimit = 10 * time.Second
	}
	if o.SearcherSettings.Slots == 0 {
		o.SearcherSettings = wqfakesearcher.Settings{Slots: searcherSlots, Connections: searcherSlots, Batch: 1, ServiceMillis: 2}
	}
	o.SearcherSettings.OldestSnapshot, o.SearcherSettings.NewestSnapshot = 1, 1
	return o
}

// ZoneName returns the ID of the availability zone of VM or replica i, counted
// from 0.
func ZoneName(i int) string { return fmt.Sprintf("zone%d", i%zoneCount+1) }

// ShardName returns the name of shard i, counted from 0.
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
	settings := f.Options.SearcherSettings
	s := wqfakesearcher.New(id, Service, shard, settings, uint64(len(f.Searchers)+1))
	l, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(ctx, l)
	}()
	proxy, stopProxy := wqproxy.New(f.t, l.Addr().String())
	f.t.Cleanup(func() { stopProxy(); cancel(); <-served })
	f.Searchers = append(f.Searchers, &Searcher{s, proxy})
	f.topology.Searchers = append(f.topology.Searchers, wqtopology.Searcher{
		ID: id, Address: proxy.Address(), Zone: zone, Service: Service, Shard: shard,
		Slots: settings.Slots, Connections: settings.Connections, Batch: 1, ColdSlots: 1,
		WarmMillis: int(settings.WarmMillis),
	})
}

func (f *Fleet) startPlatform() {
	store := httptest.NewServer(f.Store.Handler())
	list := httptest.NewServer(f.vmList.Handler())
	proxy, stopProxy := wqproxy.New(f.t, strings.TrimPrefix(store.URL, "http://"))
	f.StoreProxy, f.vmListURL = proxy, list.URL
	f.t.Cleanup(func() {
		stopProxy()
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

// WaitServing waits until every running VM is ready and answers a query of all
// shards. It fails the test if one does not within 20 s.
func (f *Fleet) WaitServing() {
	f.t.Helper()
	for _, vm := range f.RunningVMs() {
		vm.WaitReady()
	}
	for _, vm := range f.RunningVMs() {
		vm.WaitServing()
	}
}

// ExecutionCounts returns how often each write-like request was executed, by
// ticket, over all searchers and their incarnations.
func (f *Fleet) ExecutionCounts() map[string]int {
	counts := make(map[string]int)
	for _, s := range f.Searchers {
		for _, r := range s.Executions() {
			counts[r.RequestID]++
		}
	}
	return counts
}

// Heal ends the faults of all proxies and resumes frozen VMs. Faults of Store
// stay in effect.
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

// updateVMList publishes the running VMs in the VM list.
func (f *Fleet) updateVMList() {
	var vms []wqvmlist.VM
	for _, vm := range f.RunningVMs() {
		vms = append(vms, wqvmlist.VM{ID: vm.ID, Address: vm.PeerProxy.Address(), Zone: vm.Zone, Region: "r1"})
	}
	f.vmList.Set(vms)
}

func eventually(t *testing.T, timeout time.Duration, condition string, check func() error) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(check), wait.Timeout(timeout), wait.Gap(20*time.Millisecond)), must.Sprintf("%s within %s", condition, timeout))
}

// RunningVMs returns the VMs whose process has not exited.
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
