package wqfakesearcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// relistenPause spaces the attempts to listen again after a restart.
const relistenPause = 5 * time.Millisecond

// Serve accepts connections until ctx ends. While the searcher is down the
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
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-ctx.Done():
		case <-s.restart:
		}
		_ = server.Close()
	}()
	_ = server.Serve(&listener{Listener: l, server: s})
	<-done
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
		pause(ctx, relistenPause)
	}
	return nil, errors.New("stopped")
}

// listener refuses the connections above the searcher's limit.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.admit(c) {
			return &accepted{Conn: c, server: l.server}, nil
		}
		reset(c)
	}
}

func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.MaxConnections = max(s.counters.MaxConnections, len(s.open)+1)
	if s.down || len(s.open) >= s.knobs.Connections {
		s.counters.RefusedConnections++
		return false
	}
	s.open[c] = true
	return true
}

// accepted is a connection whose first read takes the connect time.
type accepted struct {
	net.Conn
	server *Server
	ready  atomic.Bool
}

// Read waits out the connect time once.
func (a *accepted) Read(b []byte) (int, error) {
	if !a.ready.Swap(true) {
		time.Sleep(millis(a.server.Settings().ConnectMillis))
	}
	return a.Conn.Read(b)
}

// Close forgets the connection.
func (a *accepted) Close() error {
	a.server.mu.Lock()
	delete(a.server.open, a.Conn)
	a.server.mu.Unlock()
	return a.Conn.Close()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
