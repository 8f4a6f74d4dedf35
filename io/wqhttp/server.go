// Package wqhttp is the HTTP server of all listeners, without TLS. It has limits for the
// size and the time of a request header and for idle connections, which may change while
// the server runs, and a budget for the memory that is held for all connections.
//
// # Usage
//
//	s := &wqhttp.Server{Name: "callers", Handler: h, Timeouts: timeouts, Budget: budget, Log: log}
//	err := s.Serve(listener)  // returns after Stop
//	err = s.Stop(ctx)         // lets requests in progress finish
//
// A handler reserves memory before it reads a body, and refuses the request otherwise:
//
//	if !wqhttp.ConnectionOf(r.Context()).Reserve(n) { ... status 503 ... }
package wqhttp

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqmemorybudget"
)

const (
	stopPollInterval = 10 * time.Millisecond  // interval between checks whether all requests have ended
	sweepInterval    = 250 * time.Millisecond // interval between checks for overdue connections
	idleGrace        = time.Second            // added to the idle timeout, so that requests sent in time arrive
	maxHeaderBytes   = 1 << 20                // the largest MaxHeaderBytes, which is also its default
	acceptPause      = 5 * time.Millisecond   // after a connection that the budget did not admit
	logInterval      = time.Second            // shortest time between two lines about refusals
	// stalledReplyTimeout is the longest time in which a client takes no byte of a reply.
	// Clients wait for a reply for seconds.
	stalledReplyTimeout = 30 * time.Second
)

// Timeouts are the timeouts of callers' connections.
type Timeouts struct {
	Header time.Duration // Header is the time from the first byte of a request to the end of its header; 0 is no timeout.
	Idle   time.Duration // Idle is the time from the end of a request, or the connect, to the next request; 0 uses Header.
}

// Server serves clients over HTTP/1.1. Set the exported fields before Serve.
// Timeouts is called at every check for overdue connections.
type Server struct {
	Name           string // Name is that of the listener in log lines.
	Handler        http.Handler
	Timeouts       func() Timeouts
	MaxHeaderBytes func() int // MaxHeaderBytes is asked for each request; nil or a value out of range is 1 MB.
	// Budget bounds the memory and the number of connections; nil is no bound. Its
	// ConnectionCost should be this package's.
	Budget *wqmemorybudget.Budget[*Connection]
	HTTP2  bool // HTTP2 also serves HTTP/2 without TLS.
	Log    *slog.Logger

	server      *http.Server
	prepareOnce sync.Once
	stopping    atomic.Bool
	stopped     chan struct{} // closed when Stop returns
	tooLarge    atomic.Uint64 // headers that were refused for their size
	listener    net.Listener  // guarded by mutex
	mutex       sync.Mutex
	connections map[*Connection]struct{}
	active      map[net.Conn]struct{} // connections with a request in progress, from the end of its header to the end of its reply
}

// Serve serves requests on l until Stop is called, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.prepare()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.sweep(ctx)
	s.mutex.Lock()
	s.listener = l
	s.mutex.Unlock()
	err := s.server.Serve(acceptor{l, s})
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() {
		<-s.stopped
		return nil
	}
	return eris.Wrapf(err, "serve callers on %s", l.Addr())
}

// Stop closes the listener and idle connections and waits for requests in progress. A
// request on a connection that was accepted before is still served, with
// "Connection: close"; http.Server.Shutdown would close such a connection without a
// reply. When ctx ends, Stop closes the connections of the requests in progress and
// returns an error. Later calls return at once.
func (s *Server) Stop(ctx context.Context) error {
	s.prepare()
	if s.stopping.Swap(true) {
		return nil
	}
	defer close(s.stopped)
	s.server.SetKeepAlivesEnabled(false)
	s.mutex.Lock()
	l := s.listener
	s.mutex.Unlock()
	if l != nil {
		_ = l.Close() // It is closed even if Close returns an error.
	}
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for s.InFlight() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.Join(eris.Wrap(ctx.Err(), "requests of callers were aborted at the stop timeout"), s.server.Close())
		}
	}
	return s.server.Close()
}

// InFlight returns the number of requests that are being received, handled or replied
// to. The HTTP server writes the end of a reply after its handler has returned.
func (s *Server) InFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.active)
}

// TooLargeHeaders returns the number of requests that were refused for the size of their
// header.
func (s *Server) TooLargeHeaders() uint64 { return s.tooLarge.Load() }

func (s *Server) prepare() {
	s.prepareOnce.Do(func() {
		if s.Budget == nil {
			s.Budget = &wqmemorybudget.Budget[*Connection]{Limit: math.MaxInt64 / 4, MaxConnections: math.MaxInt, ConnectionCost: ConnectionCost}
		}
		s.connections = make(map[*Connection]struct{})
		s.active = make(map[net.Conn]struct{})
		s.stopped = make(chan struct{})
		s.server = &http.Server{
			Handler:        http.HandlerFunc(s.serve),
			ConnState:      s.connStateChanged,
			MaxHeaderBytes: maxHeaderBytes,
			ErrorLog:       slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
			ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		}
		if s.HTTP2 {
			s.enableHTTP2()
		}
	})
}

// headerLimit returns the longest header of a request, in bytes.
func (s *Server) headerLimit() int {
	if s.MaxHeaderBytes != nil {
		if n := s.MaxHeaderBytes(); n > 0 && n <= maxHeaderBytes {
			return n
		}
	}
	return maxHeaderBytes
}

// serve calls the handler, unless the header of the request is over the limit.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := ConnectionOf(r.Context())
	if r.ProtoMajor == 2 {
		defer c.beginStream()()
		s.Handler.ServeHTTP(w, r)
		return
	}
	c.inHeader.Store(false)
	if headerBytes(r) > s.headerLimit() {
		s.tooLarge.Add(1)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	c.account.SetPhase(wqmemorybudget.Running)
	s.Handler.ServeHTTP(w, r)
	c.account.SetPhase(wqmemorybudget.Replying)
}

// connStateChanged tracks the connections and the requests in progress.
func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Connection)
	if !ok {
		return
	}
	if state == http.StateIdle && !c.http2.Load() {
		now := time.Now()
		c.since.Store(now.UnixNano())
		c.inHeader.Store(false)
		c.account.SetPhase(wqmemorybudget.Idle)
		s.Budget.Reset(now, c.account)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.active, c)
	switch state {
	case http.StateNew:
		s.connections[c] = struct{}{}
	case http.StateActive:
		s.active[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, c)
		s.Budget.Close(c.account) // Only now nothing is held any more.
	}
}

// sweep closes overdue connections, and others while memory is short, until ctx ends.
func (s *Server) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	var report report
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			closeAll(s.overdue(now, s.Timeouts()))
			closeAll(s.Budget.Sweep(now))
			report.log(now, s)
		}
	}
}

func (s *Server) overdue(now time.Time, t Timeouts) []*Connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var overdue []*Connection
	for c := range s.connections {
		if c.isOverdue(now, t) {
			overdue = append(overdue, c)
		}
	}
	return overdue
}

// report logs what the budget has refused and closed, in at most one line a second.
type report struct {
	at       time.Time
	counts   wqmemorybudget.Counts
	tooLarge uint64
}

func (r *report) log(now time.Time, s *Server) {
	if now.Sub(r.at) < logInterval {
		return
	}
	counts, tooLarge := s.Budget.Counts(), s.TooLargeHeaders()
	if counts.Refused != r.counts.Refused || counts.Closed != r.counts.Closed || tooLarge != r.tooLarge {
		s.Log.Warn("clients exceed the limits of the VM; some were refused or their connections closed", "listener", s.Name,
			"refused", counts.Refused-r.counts.Refused, "closed", counts.Closed-r.counts.Closed, "header_too_large", tooLarge-r.tooLarge,
			"held_bytes", counts.Used, "limit_bytes", s.Budget.Limit, "connections", counts.Connections, "max_connections", s.Budget.MaxConnections)
	}
	r.at, r.counts, r.tooLarge = now, counts, tooLarge
}
