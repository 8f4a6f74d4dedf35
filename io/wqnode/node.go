// Package wqnode assembles the process of one VM from its parts. It starts the
// control loop, the connections to searchers, the clients of the platform and
// three listeners (callers and operators, peers, admin), and stops them in order.
//
// The control loop's goroutine owns the control state. All other goroutines read
// the immutable view that it publishes and post events to it.
//
// # Usage
//
//	n := &wqnode.Node{Settings: settings, Log: log}
//	err := n.Run(ctx) // returns after a graceful stop once ctx has ended
//
// Run returns an error when a setting or a listener can't be used, when a
// listener fails, or when the stop had to abort requests.
package wqnode

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"wisteriaquay/core/wqcandidate"
	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqcontrol"
	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqconfigstore"
	"wisteriaquay/io/wqconfigsync"
	"wisteriaquay/io/wqcredentials"
	"wisteriaquay/io/wqdispatch"
	"wisteriaquay/io/wqeventloop"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqholder"
	"wisteriaquay/io/wqmetric"
	"wisteriaquay/io/wqoperatorservice"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
	"wisteriaquay/io/wqpeerpool"
	"wisteriaquay/io/wqqueryservice"
	"wisteriaquay/io/wqsetting"
	"wisteriaquay/io/wqstop"
	"wisteriaquay/io/wqstore"
	"wisteriaquay/io/wqtarget"
	"wisteriaquay/io/wqvmlist"
	"wisteriaquay/io/wqwrite"
)

const (
	queueSize          = 4096        // queueSize bounds the queue of the control loop, in events.
	watchersPerZone    = 2           // watchersPerZone is the number of VMs in an availability zone that watch the store.
	minCompressBytes   = 32 << 10    // minCompressBytes is the smallest answer to callers that is compressed, in bytes.
	maxRequestBytes    = 128 << 10   // maxRequestBytes bounds a caller's message, in bytes; the body inside it may use half of that.
	maxNoteBytes       = 6 << 20     // maxNoteBytes bounds an operator's message, in bytes: a release note of 4 MiB in base64.
	maxFanRequestBytes = 4 << 20     // maxFanRequestBytes bounds a peer's FanRequest, in bytes.
	fetchTimeout       = time.Second // fetchTimeout bounds a call that fetches the configuration from a peer.
)

// Node is the process of one VM. Set the exported fields before Run.
type Node struct {
	Settings      *wqsetting.Settings
	Log           *slog.Logger
	ReloadSignals <-chan os.Signal // ReloadSignals triggers a reload of the credentials at each signal; may be nil.

	view                     atomic.Pointer[wqview.View]
	callerRequests           atomic.Int64 // callerRequests counts requests of callers and operators in progress.
	closeSearcherConnections func()       // closeSearcherConnections may be called only once the holder has stopped.
	stopHolding              func()       // stopHolding stops the holder, waits for it and closes the connections to searchers.
	peerCalls                atomic.Int64 // peerCalls counts calls of peers in progress.

	runConfigAction    func(wqconfig.Action) // runConfigAction blocks until the action has ended.
	heartbeatsInFlight sync.WaitGroup

	loop           *wqeventloop.Loop[message]
	control        *wqcontrol.Control
	timing         wqmember.Timing
	metrics        *wqmetric.Metrics
	credentials    *wqcredentials.Credentials
	peerPool       *wqpeerpool.Pool
	configStore    *wqconfigstore.Store[*wqstore.Client]
	configExecutor *wqconfigsync.Executor[*wqstore.Client, *wqpeerpool.Pool]
	vmList         *wqvmlist.Client
	holder         *wqholder.Holder[*wqtarget.Client, *wqlimit.AIMD]
	dispatcher     *wqdispatch.Dispatcher
	writer         *wqwrite.Writer[wqcandidate.NearFirst]
	coordinator    coordinator
}

// Run starts the VM, stops it gracefully once ctx ends, and returns when it has
// stopped.
func (n *Node) Run(ctx context.Context) error {
	release, err := n.build()
	if err != nil {
		return err
	}
	defer release()
	listeners, err := n.openListeners(ctx)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	n.start(runCtx, group)
	for _, l := range listeners {
		group.Go(l.serve)
	}
	group.Go(func() error {
		defer cancel()
		<-ctx.Done()
		return n.stop(runCtx, listeners)
	})
	return group.Wait()
}

// build creates the parts and returns a function that closes their connections.
func (n *Node) build() (func(), error) {
	var err error
	if n.credentials, err = wqcredentials.New(n.Settings.Keys); err != nil {
		return nil, err
	}
	now := time.Now()
	self := n.selfMember(now)
	n.metrics = wqmetric.New()
	n.timing = wqmember.DefaultTiming()
	n.timing.HeartbeatInterval = n.Settings.Limits.HeartbeatInterval
	n.timing.MaxListLag = n.Settings.Platform.VMListLag
	n.control = wqcontrol.New(wqcontrol.Settings{
		Self:                  self,
		MaxHoldersPerSearcher: n.Settings.Limits.MaxHolders,
		Timing:                n.timing,
		Random:                rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),

		WatchersPerZone: watchersPerZone,
		BalancerLag:     n.Settings.Limits.BalancerLag,
	}, now)
	n.view.Store(n.control.View(now))
	n.loop = wqeventloop.New[message](queueSize)
	n.loop.HandleEvent = n.handleEvent
	n.loop.Tick = n.tick
	platform := &n.Settings.Platform
	store := &wqstore.Client{URL: platform.StoreURL, Timeout: platform.StoreTimeout, HTTP: http.DefaultClient}
	n.configStore = &wqconfigstore.Store[*wqstore.Client]{KV: store}
	n.vmList = &wqvmlist.Client{URL: platform.VMListURL, Timeout: platform.VMListTimeout, HTTP: http.DefaultClient}
	pool, releasePool := wqpeerpool.New(wqpeerpool.Settings{TLSConfig: n.credentials.PeerClientTLS()})
	n.peerPool = pool
	n.configExecutor = &wqconfigsync.Executor[*wqstore.Client, *wqpeerpool.Pool]{Store: n.configStore, Peers: pool, FetchTimeout: fetchTimeout, Log: n.Log}
	releaseHolder := n.buildHolder()
	n.buildWriter(self)
	n.coordinator = n.newCoordinator()
	n.addGauges()
	return func() {
		releaseHolder()
		releasePool()
	}, nil
}

func (n *Node) selfMember(now time.Time) wqmember.Member {
	i := &n.Settings.Identity
	epoch := uint64(now.UnixMilli())
	return wqmember.Member{
		ID: i.ID, Address: n.Settings.Listeners.PeerAddress(), Zone: i.Zone, Region: i.Region,
		Epoch: epoch, Incarnation: epoch,
	}
}

func (n *Node) buildHolder() func() {
	client, releaseClient := wqtarget.New()
	holder, releaseHolder := wqholder.New(client, func() *wqlimit.AIMD { return &wqlimit.AIMD{} })
	client.OnConnectionLost = holder.ConnectionLost
	client.MaySend = holder.MaySend
	holder.View = n.view.Load
	holder.ReportObservation = func(o wqobservation.Observation) { n.loop.TryPost(message{event: wqcontrol.TargetObserved{Report: o}}) }
	n.holder = holder
	release := sync.OnceFunc(func() {
		releaseHolder()
		releaseClient()
	})
	n.closeSearcherConnections = release
	return release
}

// openListeners opens the sockets of the three listeners. On an error it closes
// those that are open.
func (n *Node) openListeners(ctx context.Context) ([]*listener, error) {
	addresses := &n.Settings.Listeners
	open := make([]*listener, 0, 3)
	for _, o := range []struct {
		name, address string
		tlsConfig     *tls.Config
		handler       http.Handler
	}{
		{"callers", addresses.Caller, n.credentials.CallerServerTLS(), n.callerHandler()},
		{"peers", addresses.Peer, n.credentials.PeerServerTLS(), n.peerHandler()},
		{"admin", addresses.Admin, nil, adminHandler(n.metrics, n.view.Load)},
	} {
		l, err := newListener(ctx, o.name, o.address, o.tlsConfig, o.handler, n.Log)
		if err != nil {
			for _, l := range open {
				_ = l.net.Close()
			}
			return nil, err
		}
		open = append(open, l)
	}
	return open, nil
}

func (n *Node) callerHandler() http.Handler {
	operators := &wqoperatorservice.Handler[*wqstore.Client, *wqpeerpool.Pool]{
		Store:          n.configStore,
		Peers:          n.peerPool,
		View:           n.view.Load,
		PostEvent:      n.postConfigEvent,
		Authorize:      n.credentials.AuthorizeOperator,
		StoreReachable: func() bool { return n.view.Load().StoreReachable },
	}
	callers := &wqqueryservice.Handler{Queries: queryHandler{n}, Writes: n.writer, Metrics: n.metrics}
	mux := http.NewServeMux()
	path, handler := wqpbconnect.NewOperatorServiceHandler(operators, connect.WithReadMaxBytes(maxNoteBytes))
	mux.Handle(path, limitBody(handler, maxNoteBytes))
	path, handler = wqpbconnect.NewQueryServiceHandler(callers, connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(minCompressBytes))
	mux.Handle(path, limitBody(handler, maxRequestBytes))
	return wqstop.CloseWhenStopping(countInFlight(&n.callerRequests, mux), func() bool { return n.view.Load().Self.State >= wqmember.Leaving })
}

// limitBody limits a request's body to twice limit. Connect applies the message
// limit itself but reads on past it, to keep the connection usable.
func limitBody(h http.Handler, limit int64) http.Handler { return http.MaxBytesHandler(h, 2*limit) }

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wqpbconnect.NewShardServiceHandler(n.holder, connect.WithReadMaxBytes(maxFanRequestBytes)))
	unary := wqpb.NewPeerServiceServer(&peerService{node: n})
	mux.Handle(wqpb.PeerServicePathPrefix, http.MaxBytesHandler(unary, wqheartbeat.MaxBytes))
	return countInFlight(&n.peerCalls, mux)
}

// start starts the background goroutines, which run until ctx ends.
func (n *Node) start(ctx context.Context, group *errgroup.Group) {
	run := func(f func(context.Context)) {
		group.Go(func() error {
			f(ctx)
			return nil
		})
	}
	n.runConfigAction = func(a wqconfig.Action) { n.executeConfigAction(ctx, a) }
	run(n.loop.Run)
	holderCtx, cancelHolder := context.WithCancel(ctx)
	holderStopped := make(chan struct{})
	run(func(context.Context) {
		defer close(holderStopped)
		n.holder.Run(holderCtx)
	})
	n.stopHolding = func() {
		cancelHolder()
		<-holderStopped
		n.closeSearcherConnections()
	}
	run(n.pollVMList)
	run(func(ctx context.Context) { n.credentials.Run(ctx, n.ReloadSignals) })
}
