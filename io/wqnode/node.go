// Package wqnode is one VM of the tier: it starts the control loop, the
// listeners and the clients, and stops them in order.
//
// # Usage
//
//	n := &wqnode.Node{Settings: settings, Log: log}
//	err := n.Run(ctx) // returns after a graceful stop once ctx has ended
//
// Run returns an error when a setting or a listener can't be used, or when the
// stop had to cut requests.
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
	inboxSize       = 4096        // inboxSize bounds the events that wait for the control loop.
	watchersPerZone = 2           // watchersPerZone is how many VMs of an availability zone watch the store.
	compressFrom    = 32 << 10    // compressFrom is the least size of an answer to callers that is compressed, in bytes.
	maxRequestBytes = 128 << 10   // maxRequestBytes bounds a caller's message, in bytes; its body is bounded to half of that.
	maxNoteBytes    = 6 << 20     // maxNoteBytes bounds an operator's message, in bytes: a note of 4 MiB in base64.
	maxFanBytes     = 4 << 20     // maxFanBytes bounds a peer's fan, in bytes.
	fetchTimeout    = time.Second // fetchTimeout bounds a peer's answer with its configuration.
)

// Node is one VM. Set the exported fields before Run.
type Node struct {
	Settings      *wqsetting.Settings
	Log           *slog.Logger
	ReloadSignals <-chan os.Signal // ReloadSignals makes the VM read its keys again; nil for never.

	view       atomic.Pointer[wqview.View]
	requests   atomic.Int64 // requests are callers' calls in progress.
	letGo      func()       // letGo closes the connections to searchers; endHolding is to come first.
	endHolding func()       // endHolding keeps no connection to a searcher any more and closes those that are open.
	sends      atomic.Int64 // sends are peers' calls in progress.

	act        func(wqconfig.Action) // act carries out one action of the configuration and returns when it has ended.
	delivering sync.WaitGroup        // delivering are the heartbeats on their way.

	loop     *wqeventloop.Loop[message]
	control  *wqcontrol.Control
	timing   wqmember.Timing
	metrics  *wqmetric.Metrics
	keys     *wqcredentials.Credentials
	pool     *wqpeerpool.Pool
	head     *wqconfigstore.Store[*wqstore.Client]
	follower *wqconfigsync.Executor[*wqstore.Client, *wqpeerpool.Pool]
	list     *wqvmlist.Client
	holder   *wqholder.Holder[*wqtarget.Client, *wqlimit.AIMD]
	gate     *wqdispatch.Dispatcher
	writer   *wqwrite.Writer[wqcandidate.NearFirst]
	entry    answerer
}

// Run starts the VM and returns when it has stopped.
func (n *Node) Run(ctx context.Context) error {
	release, err := n.build()
	if err != nil {
		return err
	}
	defer release()
	listeners, err := n.listen(ctx)
	if err != nil {
		return err
	}
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, running := errgroup.WithContext(running)
	n.start(running, group)
	for _, l := range listeners {
		group.Go(l.serve)
	}
	group.Go(func() error {
		defer end()
		<-ctx.Done()
		return n.stop(running, listeners)
	})
	return group.Wait()
}

// build makes the parts and returns the function that releases them.
func (n *Node) build() (func(), error) {
	var err error
	if n.keys, err = wqcredentials.New(n.Settings.Keys); err != nil {
		return nil, err
	}
	now := time.Now()
	self := n.self(now)
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
	n.loop = wqeventloop.New[message](inboxSize)
	n.loop.HandleEvent = n.handle
	n.loop.Tick = n.settle
	platform := &n.Settings.Platform
	store := &wqstore.Client{URL: platform.StoreURL, Timeout: platform.StoreTimeout, HTTP: http.DefaultClient}
	n.head = &wqconfigstore.Store[*wqstore.Client]{KV: store}
	n.list = &wqvmlist.Client{URL: platform.VMListURL, Timeout: platform.VMListTimeout, HTTP: http.DefaultClient}
	pool, releasePool := wqpeerpool.New(wqpeerpool.Settings{TLSConfig: n.keys.PeerClientTLS()})
	n.pool = pool
	n.follower = &wqconfigsync.Executor[*wqstore.Client, *wqpeerpool.Pool]{Store: n.head, Peers: pool, FetchTimeout: fetchTimeout, Log: n.Log}
	releaseHolder := n.buildHolder()
	n.buildWriter(self)
	n.entry = n.newEntry()
	n.addGauges()
	return func() {
		releaseHolder()
		releasePool()
	}, nil
}

func (n *Node) self(now time.Time) wqmember.Member {
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
	holder.Report = func(r wqobservation.Observation) { n.loop.TryPost(message{event: wqcontrol.TargetObserved{Report: r}}) }
	n.holder = holder
	release := sync.OnceFunc(func() {
		releaseHolder()
		releaseClient()
	})
	n.letGo = release
	return release
}

// listen opens the three listeners.
func (n *Node) listen(ctx context.Context) ([]*listener, error) {
	addresses := &n.Settings.Listeners
	open := make([]*listener, 0, 3)
	for _, o := range []struct {
		name, address string
		keys          *tls.Config
		handler       http.Handler
	}{
		{"callers", addresses.Caller, n.keys.CallerServerTLS(), n.callerHandler()},
		{"peers", addresses.Peer, n.keys.PeerServerTLS(), n.peerHandler()},
		{"admin", addresses.Admin, nil, adminHandler(n.metrics, n.view.Load)},
	} {
		l, err := listen(ctx, o.name, o.address, o.keys, o.handler, n.Log)
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
		Store:          n.head,
		Peers:          n.pool,
		View:           n.view.Load,
		PostEvent:      n.submit,
		Authorize:      n.keys.AuthorizeOperator,
		StoreReachable: func() bool { return n.view.Load().StoreReachable },
	}
	callers := &wqqueryservice.Handler{Queries: queries{n}, Writes: n.writer, Metrics: n.metrics}
	mux := http.NewServeMux()
	path, handler := wqpbconnect.NewOperatorServiceHandler(operators, connect.WithReadMaxBytes(maxNoteBytes))
	mux.Handle(path, bounded(handler, maxNoteBytes))
	path, handler = wqpbconnect.NewQueryServiceHandler(callers, connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(compressFrom))
	mux.Handle(path, bounded(handler, maxRequestBytes))
	return wqstop.CloseWhenStopping(counted(&n.requests, mux), func() bool { return n.view.Load().Self.State >= wqmember.Leaving })
}

// bounded ends a body at twice its bound, since connect reads on past its own
// bound to keep the connection.
func bounded(h http.Handler, bound int64) http.Handler { return http.MaxBytesHandler(h, 2*bound) }

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wqpbconnect.NewShardServiceHandler(n.holder, connect.WithReadMaxBytes(maxFanBytes)))
	unary := wqpb.NewPeerServiceServer(&peerService{node: n})
	mux.Handle(wqpb.PeerServicePathPrefix, http.MaxBytesHandler(unary, wqheartbeat.MaxBytes))
	return counted(&n.sends, mux)
}

// start runs the goroutines beside the listeners until ctx ends.
func (n *Node) start(ctx context.Context, group *errgroup.Group) {
	run := func(f func(context.Context)) {
		group.Go(func() error {
			f(ctx)
			return nil
		})
	}
	n.act = func(a wqconfig.Action) { n.carryOut(ctx, a) }
	run(n.loop.Run)
	holding, endHolding := context.WithCancel(ctx)
	held := make(chan struct{})
	run(func(context.Context) {
		defer close(held)
		n.holder.Run(holding)
	})
	n.endHolding = func() {
		endHolding()
		<-held
		n.letGo()
	}
	run(n.readList)
	run(func(ctx context.Context) { n.keys.Run(ctx, n.ReloadSignals) })
}
