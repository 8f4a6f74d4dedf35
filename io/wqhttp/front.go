// Package wqhttp is the listener for callers over plain HTTP/1.1. It bounds how
// long a caller may take to send a header and how long its connection may stay
// idle, by limits that may change while it runs.
//
// # Usage
//
//	f := &wqhttp.Server{Handler: h, Limits: limits, Log: log}
//	err := f.Serve(listener)  // until Stop
//	err = f.Stop(ctx)         // lets requests in progress finish
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
	sweepPeriod = 250 * time.Millisecond // sweepPeriod is the time between two looks at idle connections.
	idleSlack   = time.Second            // idleSlack is how much longer than the limit an idle connection is kept, so that requests sent in time arrive.
	headerBytes = 1 << 20                // headerBytes bounds a header whatever the limits say, in bytes.
)

// Timeouts bound what a caller's connection may do; 0 means no bound.
type Timeouts struct {
	Header time.Duration // Header is how long a header may take.
	Idle   time.Duration // Idle is how long a connection may carry no request.
}

// Server serves callers. Set the exported fields before Serve.
type Server struct {
	Handler  http.Handler
	Timeouts func() Timeouts
	Log      *slog.Logger

	server  *http.Server
	once    sync.Once
	active  atomic.Int64
	mutex   sync.Mutex
	waiting map[net.Conn]wait // waiting are the connections that wait for a request or its header.
}

// wait is since when a connection waits, and for what.
type wait struct {
	since time.Time
	idle  bool // idle is false while a header is being read.
}

// Serve answers requests on l until Stop.
func (f *Server) Serve(l net.Listener) error {
	f.prepare()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.sweep(ctx)
	if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve callers on %s", l.Addr())
	}
	return nil
}

// Stop closes the listener and idle connections, lets requests in progress
// finish until ctx ends, and cuts the rest.
func (f *Server) Stop(ctx context.Context) error {
	f.prepare()
	if err := f.server.Shutdown(ctx); err != nil {
		return errors.Join(eris.Wrap(err, "requests of callers were cut"), f.server.Close())
	}
	return nil
}

// InFlight counts the requests in progress.
func (f *Server) InFlight() int { return int(f.active.Load()) }

func (f *Server) prepare() {
	f.once.Do(func() {
		f.waiting = make(map[net.Conn]wait)
		f.server = &http.Server{
			Handler:        http.HandlerFunc(f.serve),
			ConnState:      f.note,
			MaxHeaderBytes: headerBytes,
			ErrorLog:       slog.NewLogLogger(f.Log.Handler(), slog.LevelDebug),
			ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connection{}, c) },
		}
	})
}

// connection is the key of a request's connection in its context.
type connection struct{}

func (f *Server) serve(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if c, ok := r.Context().Value(connection{}).(net.Conn); ok {
		f.forget(c)
	}
	f.Handler.ServeHTTP(w, r)
}

// note follows the state of a connection. StateActive comes with the first byte
// of a request.
func (f *Server) note(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew, http.StateActive:
		f.remember(c, wait{since: time.Now(), idle: s == http.StateNew})
	case http.StateIdle:
		f.remember(c, wait{since: time.Now(), idle: true})
	default:
		f.forget(c)
	}
}

func (f *Server) remember(c net.Conn, w wait) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.waiting[c] = w
}

func (f *Server) forget(c net.Conn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.waiting, c)
}

// sweep closes the connections that wait for too long.
func (f *Server) sweep(ctx context.Context) {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, c := range f.overdue(now, f.Timeouts()) {
				_ = c.Close() // It is closed either way.
			}
		}
	}
}

func (f *Server) overdue(now time.Time, l Timeouts) []net.Conn {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var overdue []net.Conn
	for c, w := range f.waiting {
		limit := l.Header
		if w.idle && l.Idle > 0 {
			limit = l.Idle + idleSlack
		}
		if limit > 0 && now.Sub(w.since) > limit {
			overdue = append(overdue, c)
			delete(f.waiting, c)
		}
	}
	return overdue
}
