// Package wqhttp is the HTTP/1.1 server for callers, without TLS. It has timeouts for
// reading a request header and for idle connections, which may change while the
// server runs.
//
// # Usage
//
//	s := &wqhttp.Server{Handler: h, Timeouts: timeouts, Log: log}
//	err := s.Serve(listener)  // returns after Stop
//	err = s.Stop(ctx)         // lets requests in progress finish
package wqhttp

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	stopPollInterval = 10 * time.Millisecond  // interval between checks whether all requests have ended
	sweepInterval    = 250 * time.Millisecond // interval between checks for overdue connections
	idleGrace        = time.Second            // added to the idle timeout, so that requests sent in time arrive
	maxHeaderBytes   = 1 << 20                // of a request header; not configurable
)

// Timeouts are the timeouts of callers' connections.
type Timeouts struct {
	Header time.Duration // Header is the time from the first byte of a request to the end of its header; 0 is no timeout.
	Idle   time.Duration // Idle is the time from the end of a request, or the connect, to the next request; 0 uses Header.
}

// Server serves callers over HTTP/1.1. Set the exported fields before Serve.
// Timeouts is called at every check for overdue connections.
type Server struct {
	Handler  http.Handler
	Timeouts func() Timeouts
	Log      *slog.Logger

	server      *http.Server
	prepareOnce sync.Once
	stopping    atomic.Bool
	stopped     chan struct{} // closed when Stop returns
	listener    net.Listener  // guarded by mutex
	mutex       sync.Mutex
	waiting     map[net.Conn]waitState // connections that are idle or receive a header
	active      map[net.Conn]struct{}  // connections with a request in progress, from its first byte to the end of its reply
}

// waitState holds since when a connection has been idle or receiving a header.
type waitState struct {
	since time.Time
	idle  bool // false while a header is received
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
	err := s.server.Serve(l)
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

func (s *Server) prepare() {
	s.prepareOnce.Do(func() {
		s.waiting = make(map[net.Conn]waitState)
		s.active = make(map[net.Conn]struct{})
		s.stopped = make(chan struct{})
		s.server = &http.Server{
			Handler:        http.HandlerFunc(s.serve),
			ConnState:      s.connStateChanged,
			MaxHeaderBytes: maxHeaderBytes,
			ErrorLog:       slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
			ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		}
	})
}

// connKey is the context key of a request's connection.
type connKey struct{}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		s.clearWaiting(c)
	}
	s.Handler.ServeHTTP(w, r)
}

// connStateChanged tracks which connections are idle or receive a header. The HTTP
// server reports StateActive at the first byte of a request.
func (s *Server) connStateChanged(c net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.active, c)
	delete(s.waiting, c)
	switch state {
	case http.StateNew, http.StateIdle:
		s.waiting[c] = waitState{since: time.Now(), idle: true}
	case http.StateActive:
		s.waiting[c] = waitState{since: time.Now()}
		s.active[c] = struct{}{}
	}
}

func (s *Server) clearWaiting(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiting, c)
}

// sweep closes overdue connections until ctx ends.
func (s *Server) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, c := range s.removeOverdue(now, s.Timeouts()) {
				_ = c.Close() // The connection is closed even if Close returns an error.
			}
		}
	}
}

func (s *Server) removeOverdue(now time.Time, t Timeouts) []net.Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var overdue []net.Conn
	for c, w := range s.waiting {
		limit := t.Header
		if w.idle && t.Idle > 0 {
			limit = t.Idle + idleGrace
		}
		if limit > 0 && now.Sub(w.since) > limit {
			overdue = append(overdue, c)
			delete(s.waiting, c)
		}
	}
	return overdue
}
