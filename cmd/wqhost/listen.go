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
	balancerLag   = 2500 * time.Millisecond // balancerLag is how long the balancer sends new connections after readiness fails: two questions a second apart, and the second in progress.
	stopMargin    = 500 * time.Millisecond  // stopMargin is kept of the time until SIGKILL for the end of the process.
	closeTime     = 200 * time.Millisecond  // closeTime is kept for closing what is left.
	headerTimeout = 2 * time.Second         // headerTimeout bounds the header of the balancer's questions.
	storeConnect  = 500 * time.Millisecond  // storeConnect bounds a new connection to the store, which is milliseconds away.
	peerConnect   = 250 * time.Millisecond  // peerConnect bounds a new connection to a peer, within the time of a heartbeat.
	keepAlive     = time.Second             // keepAlive is the time between probes of a connection that waits for a change.
	probes        = 3                       // probes is how many unanswered ones end it.
	idlePerPeer   = 8                       // idlePerPeer is how many unused connections to a peer or to the store are kept.
	silence       = 3 * time.Second         // silence is how long sent bytes may stay without acknowledgement.
)

// listen opens the listeners and serves on them. It returns the function that
// stops them in order.
func (h *Host) listen(ctx context.Context) (func(context.Context) error, error) {
	callers, err := open(ctx, "callers", h.Settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	readiness, err := open(ctx, "readiness", h.Settings.ReadinessAddress)
	if err != nil {
		return nil, err
	}
	ready := &http.Server{Handler: h.readiness(), ReadHeaderTimeout: headerTimeout}
	servers := map[string]func() error{
		"callers":   func() error { return h.front.Serve(callers) },
		"readiness": func() error { return ready.Serve(readiness) },
	}
	if address := h.Settings.MetricsAddress(h.MetricsPort); address != "" {
		l, err := open(ctx, "metrics", address)
		if err != nil {
			return nil, err
		}
		metrics := &http.Server{Handler: h.metrics.Handler(), ReadHeaderTimeout: headerTimeout}
		servers["metrics"] = func() error { return metrics.Serve(l) }
	}
	if h.Settings.PeerAddress != "" {
		l, err := open(ctx, "peers", h.Settings.PeerAddress)
		if err != nil {
			return nil, err
		}
		protocols := new(http.Protocols)
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		peers := &http.Server{Handler: (&wqpeer.Handler{Controller: h.keeper, ServeRoute: h.runForPeer}).Routes(), Protocols: protocols, ReadHeaderTimeout: headerTimeout}
		servers["peers"] = func() error { return peers.Serve(l) }
	}
	for name, serve := range servers {
		go h.serve(name, serve)
	}
	return h.stop, nil
}

// serve runs one server. One that ends by itself is worth a line: the VM lacks it
// until it is started again.
func (h *Host) serve(name string, serve func() error) {
	if err := serve(); err != nil {
		h.Log.Error("a listener ended; start the VM again", "listener", name, "error", err.Error())
	}
}

// readiness answers the balancer.
func (h *Host) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !h.keeper.Plan().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// stop waits for the balancer, lets requests finish and closes.
func (h *Host) stop(ctx context.Context) error {
	s := &wqstop.Stopper{
		Drain: &wqdrain.Drain{BalancerLag: balancerLag, Timeout: h.Settings.StopLimit - stopMargin, CloseReserve: closeTime},
		CountWork: func() wqdrain.Work {
			return wqdrain.Work{Requests: h.front.InFlight(), InFlight: int(h.forPeers.Load())}
		},
		OnPhase: func(ctx context.Context, p wqdrain.Phase) {
			if p == wqdrain.Draining {
				if err := h.front.Stop(ctx); err != nil {
					h.Log.Warn("callers were cut", "error", err)
				}
			}
		},
	}
	return s.Run(ctx)
}

// runForPeer runs a fan-out for another VM.
func (h *Host) runForPeer(ctx context.Context, c *wqcall.Call, route *wqroute.Route) wqcall.Reply {
	h.forPeers.Add(1)
	defer h.forPeers.Add(-1)
	return h.relay.ServeRoute(ctx, c, route)
}

func open(ctx context.Context, name, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	return l, eris.Wrapf(err, "listen for %s on %s; free the port or change the setting", name, address)
}

// quickTransport returns a transport whose connections notice within seconds
// that the store or a peer has fallen silent.
func quickTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         storeConnect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: probes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: idlePerPeer}
}
