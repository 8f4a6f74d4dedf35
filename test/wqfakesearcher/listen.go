package wqfakesearcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// relistenInterval is the pause between two attempts to listen again after a
// restart.
const relistenInterval = 5 * time.Millisecond

// Serve accepts connections until ctx ends; then it returns nil, or an error
// when the searcher was down at that time. While the searcher is down the
// listener is closed, so that connections are refused.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	address := l.Addr().String()
	for {
		s.serveIncarnation(ctx, l)
		if ctx.Err() != nil {
			return nil
		}
		var err error
		if l, err = s.relisten(ctx, address); err != nil {
			return err
		}
	}
}

func (s *Server) serveIncarnation(ctx context.Context, l net.Listener) {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		select {
		case <-ctx.Done():
		case <-s.stopIncarnation:
		}
		_ = server.Close()
	}()
	_ = server.Serve(&limitedListener{Listener: l, server: s})
	<-closed
}

func (s *Server) relisten(ctx context.Context, address string) (net.Listener, error) {
	for ctx.Err() == nil {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if !down {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
			if err == nil {
				return l, nil
			}
		}
		sleep(ctx, relistenInterval)
	}
	return nil, errors.New("stopped")
}

// limitedListener resets the connections above the searcher's limit.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.admitConnection(c) {
			return &delayedConn{Conn: c, server: l.server}, nil
		}
		resetConnection(c)
	}
}

func (s *Server) admitConnection(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.MaxConnections = max(s.counters.MaxConnections, len(s.openConns)+1)
	if s.down || len(s.openConns) >= s.settings.Connections {
		s.counters.RefusedConnections++
		return false
	}
	s.openConns[c] = true
	return true
}

// delayedConn delays its first read by ConnectMillis.
type delayedConn struct {
	net.Conn
	server       *Server
	delayStarted atomic.Bool
}

// Read reads from the connection; the first call is delayed by ConnectMillis.
func (c *delayedConn) Read(b []byte) (int, error) {
	if !c.delayStarted.Swap(true) {
		time.Sleep(millis(c.server.Settings().ConnectMillis))
	}
	return c.Conn.Read(b)
}

// Close closes the connection, which no longer counts towards the limit.
func (c *delayedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.openConns, c.Conn)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
