// Package wqhost runs one VM of the tier on the users' platform: it wires the
// product's packages to the platform's adapters, starts them, and stops them
// gracefully.
//
// # Usage
//
//	h := &wqhost.Host{Settings: settings, SettingsPath: path, Log: log}
//	err := h.Run(ctx) // once ctx ends, stops gracefully and returns
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
	"wisteriaquay/core/wqplacement"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqretryquota"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqstatement"
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
	storeTimeout       = time.Second            // Of a call to the store, beyond the wait of a watch; an answer takes 4 ms, or 240 ms when the store is slow.
	retryReserve       = 400 * time.Millisecond // Time for the call after one without an answer: its delay, a slow answer, and putting the change in force.
	maxWatchTimeout    = 4 * time.Second        // With minWatchTimeout, bounds the wait of a watch for any MaxApplyDelay.
	minWatchTimeout    = 500 * time.Millisecond
	watchCoalesceDelay = 300 * time.Millisecond // From a change to the next watch, to read changes that follow each other in one call; they are due within seconds.
	// firstStartJoinDelay is the time in which VMs discover each other before they
	// take roles, when the whole fleet starts for the first time, within 0.3 s.
	firstStartJoinDelay = 1500 * time.Millisecond
	// gcMemoryShare is the Go memory limit as a share of the process's memory. The
	// rest is for memory that the Go runtime does not count.
	gcMemoryShare       = 0.7
	responseBufferShare = 0.1     // Share of the memory for searchers' responses while they are read.
	initialMaxBodyBytes = 1 << 20 // Longest body of a request before the first configuration.
)

// storeName names the platform's store in logs and plans.
const storeName = "store"

// Host runs one VM. Set the exported fields before Run.
type Host struct {
	Settings      *wqboot.Settings
	SettingsPath  string           // File that Settings came from; read again when it changes.
	ReloadSignals <-chan os.Signal // Each signal makes the VM read the file again.
	MetricsPort   int              // One of the InternalPorts; 0 serves no metrics.
	PlaceByCost   bool             // Place requests by their likely cost instead of by latency.
	Log           *slog.Logger

	controller       *wqcontroller.Controller
	relay            *wqrelay.Relay[*wqegress.Sender, wqplacement.NearestShards]
	limiter          *quotaLimiter // Nil if the settings limit no quotas.
	metrics          *wqmetric.Metrics
	callerServer     *wqhttp.Server
	searcherClient   *wqtarget.Client
	statements       *wqstatement.Tracker
	connectionLimits map[string]connectionLimit // By service; owned by the control goroutine.
	descriptors      float64                    // Descriptors that this process may have open; set before the listeners are.
	warnedVersion    uint64                     // Configuration whose limits were checked; owned by the control goroutine.
	storeUnreachable atomic.Bool                // True while the store does not answer this VM.
	peerFanOuts      atomic.Int64               // Number of fan-outs in progress for other VMs.
}

// Run serves until ctx ends, then stops gracefully and returns. It returns an
// error when a listener can't be opened, or when requests were aborted at the
// stop timeout.
func (h *Host) Run(ctx context.Context) error {
	if h.Settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * float64(h.Settings.MemoryLimit)))
	}
	h.metrics = wqmetric.New()
	h.controller = wqcontroller.New(h.member(), wqitem.Decode)
	h.controller.Log = h.Log
	if h.Settings.FirstStart {
		h.controller.JoinDelay = firstStartJoinDelay
	}
	pool, closePool := wqpeerpool.New(wqpeerpool.Settings{MaxConnsPerPeer: 1, DialTimeout: peerDialTimeout})
	defer closePool()
	peers := &wqpeer.Client{
		Pool: pool, Controller: h.controller, HTTP: &http.Client{Transport: newFastFailTransport()}, Zone: h.Settings.Zone,
		CountBytes: h.metrics.CountPeerBytes, Log: h.Log,
	}
	h.controller.Peers = peers
	h.connectRollouts(peers)
	client, closeClient := wqtarget.New()
	defer closeClient()
	client.MaxBufferedBytes = max(client.MaxBufferedBytes, int64(responseBufferShare*float64(h.Settings.MemoryLimit)))
	h.searcherClient, h.statements = client, wqstatement.New()
	h.controller.BeforePublish = h.setConnectionLimits
	h.controller.AfterPublish = client.WithdrawWaiting
	h.relay = h.newRelay(peers)
	h.setPlacement(peers)
	h.addGauges()
	h.callerServer = h.newCallerServer()

	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	h.startQuotas(serveCtx, peers)
	go h.controller.Run(serveCtx)
	h.controller.SetSeeds(serveCtx, h.Settings.Seeds)
	go h.watchStore(serveCtx, newFastFailTransport())
	go h.reload(serveCtx)
	stop, err := h.listen(serveCtx)
	if err != nil {
		return err
	}
	h.Log.Info("started", "zone", h.Settings.Zone, "callers", h.Settings.CallerAddress, "store", h.Settings.StoreURL)
	<-ctx.Done()
	h.Log.Info("stopping", "active", h.callerServer.InFlight())
	h.controller.Stop(serveCtx)
	err = stop(serveCtx)
	h.Log.Info("stopped", "error", err)
	return err
}

// member returns this VM as a member of the fleet.
func (h *Host) member() wqmember.Member {
	s := h.Settings
	return wqmember.Member{
		ID: s.VMName, Address: s.PeerAddress, Zone: s.Zone, Region: s.Region, Epoch: uint64(time.Now().UnixMilli()), Capacity: s.Capacity,
	}
}

// watchStore lists and watches the platform's store, and passes its items to the
// controller, until ctx ends.
func (h *Host) watchStore(ctx context.Context, transport http.RoundTripper) {
	store := &wqkv.Store{Client: &wqstore.Client{
		URL: h.Settings.StoreURL, Timeout: storeTimeout, HTTP: &http.Client{Transport: transport},
	}, Log: h.Log}
	f := &wqlistwatch.Watcher[*wqkv.Store]{
		Name: storeName, Source: store, StoreRevision: h.controller.StoreRevision, Deliver: h.controller.Deliver,
		WatchTimeout: watchTimeout(h.Settings.MaxApplyDelay), CoalesceDelay: watchCoalesceDelay, OnCallDone: func(ok bool) { h.storeUnreachable.Store(!ok) }, AwaitTurn: h.controller.AwaitWatchRole, Log: h.Log,
	}
	f.Run(ctx)
}

// watchTimeout returns how long a watch of the store waits for a change. A store
// that stops answering for a short time never answers the watch in progress, so the
// wait, the timeout of that call and one more call have to fit in maxApplyDelay.
func watchTimeout(maxApplyDelay time.Duration) time.Duration {
	if maxApplyDelay <= 0 {
		return maxWatchTimeout
	}
	return min(max(maxApplyDelay-storeTimeout-retryReserve, minWatchTimeout), maxWatchTimeout)
}

func (h *Host) newRelay(hubs wqrelay.HubClient) *wqrelay.Relay[*wqegress.Sender, wqplacement.NearestShards] {
	return &wqrelay.Relay[*wqegress.Sender, wqplacement.NearestShards]{
		Plan: h.controller.Plan,
		Sender: &wqegress.Sender{
			Client: h.searcherClient, MaySend: h.maySend, Permits: h.permits, OnWrite: h.recordWrite, OnStatement: h.observeStatement,
		},
		Statements: h.statements, Tracker: wqselector.New(), Zone: h.Settings.Zone,
		RetryQuota: wqretryquota.New(h.Settings.RetryLimits, time.Now()), HubClient: hubs,
		Placement:       wqplacement.NearestShards{Zone: h.Settings.Zone, MinSavedShare: wqplacement.DefaultMinSavedShare},
		Canary:          h.controller.Rollouts.Meter,
		OnWrongSearcher: h.controller.WrongSearcher, Metrics: h.metrics, Log: h.Log,
		StartupWait: wqrelay.StartupWait{Configured: h.controller.Configured(), ConfigExpected: func() bool { return !h.storeUnreachable.Load() }},
	}
}

// maySend reports whether a request may still be sent to a target that was picked at
// pickedAt: the plan in force and the searcher's own reports allow it, and a stop of this
// VM has not ended all sends.
func (h *Host) maySend(t *wqdirectory.Target, pickedAt time.Time) bool {
	now := time.Now()
	return !h.relay.SendsEnded() && h.controller.Plan().MaySend(now, t) && h.statements.MaySend(now, t, pickedAt)
}

// callerHandler returns the HTTP handler of callers' requests.
func (h *Host) callerHandler() http.Handler {
	handler := &wqingress.Handler{Serve: h.relay.Serve, Reject: h.relay.Reject, MaxDuration: h.relay.MaxDuration, MaxBodyBytes: h.maxBodyBytes, Route: h.route}
	return wqstop.CloseWhenStopping(handler, func() bool { return h.controller.Plan().Stopping })
}

func (h *Host) maxBodyBytes() int64 {
	if t := h.controller.Plan().Table; t != nil && t.Limits.MaxBodyBytes > 0 {
		return t.Limits.MaxBodyBytes
	}
	return initialMaxBodyBytes
}

func (h *Host) callerTimeouts() wqhttp.Timeouts {
	t := h.controller.Plan().Table
	if t == nil {
		return wqhttp.Timeouts{}
	}
	return wqhttp.Timeouts{Header: t.Limits.HeaderTimeout, Idle: t.Limits.IdleTimeout}
}

// connectionReserve is the share of a searcher's connections that the fleet leaves
// unused, because searchers accept fewer while their queue is long, and the number
// of VMs changes.
const connectionReserve = 0.15

// defaultConnections is the assumed connection limit of a searcher whose service
// the configuration doesn't list: that of the smallest listed services.
const defaultConnections = 30

// connectionLimit is the limit that the searchers of a service got last.
type connectionLimit struct {
	share   int // Connections of this VM to each searcher.
	targets []*wqdirectory.Target
}

// setConnectionLimits sets this VM's share of the connections to each searcher of
// a new plan. Searchers of fan-outs are shared only by the VMs that run fan-outs;
// any other VM gets one connection to each of them.
func (h *Host) setConnectionLimits(p *wqplan.Plan) {
	if p.Table == nil {
		return
	}
	h.warnOfLimits(p.Table)
	limits := make(map[string]connectionLimit, len(p.Pools))
	shards, mostConnections := p.Table.ShardServices(), h.maxConnectionsPerSearcher(p)
	for service, targets := range p.Pools {
		sharers, isSharer := max(p.FleetSize, 1), true
		if shards[service] {
			sharers, isSharer = p.LimitSharers()
		}
		accepted := p.Table.Services[service].MaxConnections
		if accepted <= 0 {
			accepted = defaultConnections
		}
		share := max(1, int(float64(accepted)*(1-connectionReserve)/float64(sharers)))
		share = h.limitConnections(share, len(targets), mostConnections)
		if !isSharer {
			share = 1
		}
		if previous := h.connectionLimits[service]; previous.share != share || !slices.Equal(previous.targets, targets) {
			h.setServiceLimit(targets, share)
		}
		limits[service] = connectionLimit{share: share, targets: targets}
	}
	h.connectionLimits = limits
}

// setServiceLimit sets the connection limit of the searchers of one service. It
// changes no target that has a limit, because traffic already reads it.
func (h *Host) setServiceLimit(targets []*wqdirectory.Target, share int) {
	for _, t := range targets {
		if t.Searcher.Connections == 0 {
			t.Searcher.Connections = share
		}
		h.searcherClient.SetMaxConnections(&t.Searcher, share)
	}
}
