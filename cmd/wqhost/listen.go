package wqhost

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqdrain"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/io/wqpeer"
	"wisteriaquay/io/wqstop"
)

const (
	balancerLag         = 2500 * time.Millisecond // Time in which the balancer still sends new connections after readiness fails: two checks a second apart, and the duration of the second.
	stopMargin          = 500 * time.Millisecond  // Part of the time until SIGKILL for the exit of the process.
	endReserve          = 200 * time.Millisecond  // Part of the stop's timeout for the replies to requests that are left.
	closeReserve        = 200 * time.Millisecond  // Part of the stop's timeout for closing connections.
	headerTimeout       = 2 * time.Second         // For the header of a request to any listener but the callers'.
	storeDialTimeout    = 500 * time.Millisecond  // The store is milliseconds away.
	peerDialTimeout     = 250 * time.Millisecond  // Within the timeout of a heartbeat.
	keepAliveInterval   = time.Second             // Between TCP keep-alive probes, of connections on which a watch waits.
	keepAliveProbes     = 3                       // Unanswered probes after which a connection is closed.
	maxIdleConnsPerPeer = 8                       // To a peer or to the store.
	unackedTimeout      = 3 * time.Second         // TCP_USER_TIMEOUT: longest time that sent bytes may stay unacknowledged.
)

// listen opens the listeners and starts their servers. It returns the function
// that stops them gracefully.
func (h *Host) listen(ctx context.Context) (func(context.Context) error, error) {
	callerListener, err := openListener(ctx, "callers", h.Settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	readinessListener, err := openListener(ctx, "readiness", h.Settings.ReadinessAddress)
	if err != nil {
		return nil, err
	}
	readinessServer := h.newCheckServer("readiness", h.readinessHandler())
	servers := map[string]func() error{
		"callers":   func() error { return h.callerServer.Serve(callerListener) },
		"readiness": func() error { return readinessServer.Serve(readinessListener) },
	}
	if address := h.Settings.MetricsAddress(h.MetricsPort); address != "" {
		l, err := openListener(ctx, "metrics", address)
		if err != nil {
			return nil, err
		}
		metrics := h.newCheckServer("metrics", h.metrics.Handler())
		servers["metrics"] = func() error { return metrics.Serve(l) }
	}
	if h.Settings.PeerAddress != "" {
		l, err := openListener(ctx, "peers", h.Settings.PeerAddress)
		if err != nil {
			return nil, err
		}
		handler := &wqpeer.Handler{
			Controller: h.controller, ServeRoute: h.runFanOutForPeer, RefusesFanOuts: h.relay.SendsEnded, HandleQuota: h.handleQuota(), Placement: h.placementHandler(),
		}
		peers := h.newPeerServer(handler.Routes())
		servers["peers"] = func() error { return peers.Serve(l) }
	}
	for name, serve := range servers {
		go h.runServer(name, serve)
	}
	return h.stop, nil
}

// runServer runs one server and logs an error when it ends by itself, as nothing
// restarts it while the VM runs.
func (h *Host) runServer(name string, serve func() error) {
	if err := serve(); err != nil {
		h.Log.Error("a listener failed and is closed; restart the VM", "listener", name, "error", err.Error())
	}
}

// readinessHandler returns the handler of the balancer's readiness check.
func (h *Host) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !h.controller.Plan().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// stop runs a graceful stop: it serves until the balancer has noticed, lets requests
// in flight finish, replies to all others, and closes the callers' server.
func (h *Host) stop(ctx context.Context) error {
	s := &wqstop.Stopper{
		Drain: &wqdrain.Drain{BalancerLag: balancerLag, Timeout: h.Settings.StopLimit - stopMargin, EndReserve: endReserve, CloseReserve: closeReserve},
		CountWork: func() wqdrain.Work {
			return wqdrain.Work{Requests: h.callerServer.InFlight(), SendsInFlight: int(h.peerFanOuts.Load())}
		},
		OnPhase: func(ctx context.Context, p wqdrain.Phase) {
			switch p {
			case wqdrain.Draining:
				h.Log.Info("no more sends; requests that wait are refused", "active", h.callerServer.InFlight())
				h.relay.EndSends()
				h.searcherClient.WithdrawWaiting()
				if err := h.callerServer.Stop(ctx); err != nil {
					h.Log.Warn("connections of callers were closed before their requests finished", "error", err)
				}
			case wqdrain.Ending:
				h.Log.Info("replying to the requests that are left", "active", h.callerServer.InFlight())
				h.relay.EndRequests()
			}
		},
	}
	return s.Run(ctx)
}

// runFanOutForPeer runs a fan-out for another VM.
func (h *Host) runFanOutForPeer(ctx context.Context, c *wqcall.Call, route *wqroute.Route) wqcall.Reply {
	h.peerFanOuts.Add(1)
	defer h.peerFanOuts.Add(-1)
	return h.relay.ServeRoute(ctx, c, route)
}

func openListener(ctx context.Context, name, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	return l, eris.Wrapf(err, "listen for %s on %s; free the port or change the setting", name, address)
}

// newFastFailTransport returns a transport whose connections fail within seconds
// when the store or a peer no longer responds.
func newFastFailTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         storeDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnsPerPeer}
}
