// Package wqhost is one VM of the tier on the users' platform: it joins the
// product to the platform's adapter, starts it, and stops it in order.
//
// # Usage
//
//	h := &wqhost.Host{Settings: settings, Log: log}
//	err := h.Run(ctx) // returns after a graceful stop once ctx has ended
package wqhost

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqretryquota"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/io/wqcontroller"
	"wisteriaquay/io/wqhttp"
	"wisteriaquay/io/wqlistwatch"
	"wisteriaquay/io/wqmetric"
	"wisteriaquay/io/wqpeer"
	"wisteriaquay/io/wqpeerpool"
	"wisteriaquay/io/wqrelay"
	"wisteriaquay/io/wqstop"
	"wisteriaquay/io/wqstore"
	"wisteriaquay/io/wqtarget"
	"wisteriaquay/platform/wqboot"
	"wisteriaquay/platform/wqegress"
	"wisteriaquay/platform/wqingress"
	"wisteriaquay/platform/wqitem"
	"wisteriaquay/platform/wqkv"
)

const (
	storeTimeout = time.Second            // storeTimeout bounds a call to the store beyond a watch's wait; an answer takes 4 ms, or 240 ms when it is slow.
	retryReserve = 400 * time.Millisecond // retryReserve is kept for the call after one that was never answered: its pause, a slow answer, and putting that in force.
	mostWait     = 4 * time.Second        // mostWait and leastWait bound a watch's wait whatever the platform's bounds are.
	leastWait    = 500 * time.Millisecond
	watchRest    = 300 * time.Millisecond // watchRest joins changes that come together; they are due within seconds.
	// firstJoinTime is how long VMs look for each other when the whole fleet
	// starts for the first time, within 0.3 s.
	firstJoinTime = 500 * time.Millisecond
	// memoryShare is the part of the memory at which garbage is collected without
	// regard to its price; the rest is for what the runtime does not count.
	memoryShare = 0.7
	bufferShare = 0.1     // bufferShare is the part of the memory for searchers' answers that are being read.
	firstBody   = 1 << 20 // firstBody bounds a body before the configuration is known, in bytes.
)

// storeName is what logs and metrics call the platform's store.
const storeName = "store"

// Host is one VM. Set the exported fields before Run.
type Host struct {
	Settings      *wqboot.Settings
	SettingsPath  string           // SettingsPath is where the settings came from; it is read again when it changes.
	ReloadSignals <-chan os.Signal // ReloadSignals asks for that at once.
	MetricsPort   int              // MetricsPort is where metrics are served; 0 serves none.
	Log           *slog.Logger

	keeper    *wqcontroller.Controller
	relay     *wqrelay.Relay[*wqegress.Sender]
	metrics   *wqmetric.Metrics
	front     *wqhttp.Server
	client    *wqtarget.Client
	limits    map[string]limited // limits are those in force, by service; the control goroutine owns them.
	storeAway atomic.Bool        // storeAway is true while the store does not answer this VM.
	// forPeers counts the fan-outs in progress for other VMs.
	forPeers atomic.Int64
}

// Run serves until ctx ends, and then stops in order.
func (h *Host) Run(ctx context.Context) error {
	if h.Settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(h.Settings.MemoryLimit)))
	}
	h.metrics = wqmetric.New()
	h.keeper = wqcontroller.New(h.self(), wqitem.Decode)
	h.keeper.Log = h.Log
	if h.Settings.FirstStart {
		h.keeper.JoinDelay = firstJoinTime
	}
	pool, closePool := wqpeerpool.New(wqpeerpool.Settings{MaxConnsPerPeer: 1, DialTimeout: peerConnect})
	defer closePool()
	peers := &wqpeer.Client{Pool: pool, Controller: h.keeper, HTTP: &http.Client{Transport: quickTransport()}, Zone: h.Settings.Zone, Log: h.Log}
	h.keeper.Peers = peers
	client, closeClient := wqtarget.New()
	defer closeClient()
	client.MaxBufferedBytes = max(client.MaxBufferedBytes, int64(bufferShare*float64(h.Settings.MemoryLimit)))
	h.client = client
	h.keeper.BeforePublish = h.limitConnections
	h.relay = h.newRelay(peers)
	h.serveGauges()
	h.front = &wqhttp.Server{Handler: h.callers(), Timeouts: h.callerLimits, Log: h.Log}

	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go h.keeper.Run(running)
	h.keeper.SetSeeds(running, h.Settings.Seeds)
	go h.followStore(running, quickTransport())
	go h.reload(running)
	stop, err := h.listen(running)
	if err != nil {
		return err
	}
	h.Log.Info("started", "zone", h.Settings.Zone, "callers", h.Settings.CallerAddress, "store", h.Settings.StoreURL)
	<-ctx.Done()
	h.Log.Info("stopping", "active", h.front.InFlight())
	h.keeper.Stop(running)
	err = stop(running)
	h.Log.Info("stopped", "error", err)
	return err
}

// self returns this VM as a member of the fleet.
func (h *Host) self() wqmember.Member {
	s := h.Settings
	return wqmember.Member{
		ID: s.VMName, Address: s.PeerAddress, Zone: s.Zone, Region: s.Region, Epoch: uint64(time.Now().UnixMilli()), Capacity: s.Capacity,
	}
}

// followStore reads the platform's store over transport until ctx ends.
func (h *Host) followStore(ctx context.Context, transport http.RoundTripper) {
	store := &wqkv.Store{Client: &wqstore.Client{
		URL: h.Settings.StoreURL, Timeout: storeTimeout, HTTP: &http.Client{Transport: transport},
	}}
	f := &wqlistwatch.Watcher[*wqkv.Store]{
		Name: storeName, Source: store, AsOf: h.keeper.AsOf, Deliver: h.keeper.Deliver,
		WatchTimeout: watchWait(h.Settings.MaxApplyDelay), CoalesceDelay: watchRest, OnCall: func(ok bool) { h.storeAway.Store(!ok) }, AwaitTurn: h.keeper.AwaitWatchRole, Log: h.Log,
	}
	f.Run(ctx)
}

// watchWait returns how long a watch of the store waits. A store that falls
// silent for a moment leaves the watch in progress without an answer, so the
// wait, the timeout and one more call have to fit within the limit for changes.
func watchWait(limit time.Duration) time.Duration {
	if limit <= 0 {
		return mostWait
	}
	return min(max(limit-storeTimeout-retryReserve, leastWait), mostWait)
}

func (h *Host) newRelay(hubs wqrelay.HubClient) *wqrelay.Relay[*wqegress.Sender] {
	return &wqrelay.Relay[*wqegress.Sender]{
		Plan: h.keeper.Plan, Sender: &wqegress.Sender{Client: h.client}, Tracker: wqselector.New(), Zone: h.Settings.Zone,
		RetryQuota: wqretryquota.New(h.Settings.RetryLimits, time.Now()), HubClient: hubs,
		OnWrongSearcher: h.keeper.WrongSearcher, Metrics: h.metrics, Log: h.Log,
		StartupWait: wqrelay.StartupWait{Configured: h.keeper.Configured(), ConfigExpected: func() bool { return !h.storeAway.Load() }},
	}
}

// callers returns the handler of callers' requests.
func (h *Host) callers() http.Handler {
	handler := &wqingress.Handler{Serve: h.relay.Serve, Reject: h.relay.Reject, MaxDuration: h.relay.MaxDuration, MaxBodyBytes: h.bodyLimit}
	return wqstop.CloseWhenStopping(handler, func() bool { return h.keeper.Plan().Stopping })
}

func (h *Host) bodyLimit() int64 {
	if t := h.keeper.Plan().Table; t != nil && t.Limits.BodyBytes > 0 {
		return t.Limits.BodyBytes
	}
	return firstBody
}

func (h *Host) callerLimits() wqhttp.Timeouts {
	t := h.keeper.Plan().Table
	if t == nil {
		return wqhttp.Timeouts{}
	}
	return wqhttp.Timeouts{Header: t.Limits.HeaderTimeout, Idle: t.Limits.IdleTimeout}
}

// connectionReserve is the part of a searcher's connections that the fleet leaves
// free: searchers take fewer while their queue is long, and VMs come and go.
const connectionReserve = 0.15

// unstatedConnections is how many connections a searcher is taken to accept when
// the configuration doesn't list its service: as many as the smallest listed ones.
const unstatedConnections = 30

// limited is what the searchers of a service were told last.
type limited struct {
	share   int
	targets []*wqdirectory.Target
}

// limitConnections gives each searcher of a new plan this VM's share of its
// connections. The searchers of fan-outs are shared by the VMs that run them.
func (h *Host) limitConnections(p *wqplan.Plan) {
	if p.Table == nil {
		return
	}
	limits := make(map[string]limited, len(p.Pools))
	shards := p.Table.ShardServices()
	for service, targets := range p.Pools {
		sharers, own := max(p.FleetSize, 1), true
		if shards[service] {
			sharers, own = p.LimitSharers()
		}
		accepted := p.Table.Services[service].Connections
		if accepted <= 0 {
			accepted = unstatedConnections
		}
		share := max(1, int(float64(accepted)*(1-connectionReserve)/float64(sharers)))
		if !own {
			share = 1
		}
		if old := h.limits[service]; old.share != share || !slices.Equal(old.targets, targets) {
			h.limitService(targets, share)
		}
		limits[service] = limited{share: share, targets: targets}
	}
	h.limits = limits
}

// limitService gives the searchers of one service a share. Targets that are in
// force are read by traffic and stay as they are.
func (h *Host) limitService(targets []*wqdirectory.Target, share int) {
	for _, t := range targets {
		if t.Searcher.Connections == 0 {
			t.Searcher.Connections = share
		}
		h.client.SetMaxConnections(&t.Searcher, share)
	}
}
