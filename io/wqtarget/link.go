package wqtarget

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"wisteriaquay/core/wqtopology"
)

// link owns the connections to one searcher.
type link struct {
	transport *http.Transport
	base      string
	dialer    net.Dialer
	lost      func()

	mu    sync.Mutex
	limit int
	open  int
	freed chan struct{} // freed is closed and replaced when a connection closes or the limit changes.
}

var errNoConnection = errors.New("all connections of this VM's share are in use")

func newLink(s *wqtopology.Searcher, connectTimeout time.Duration, lost func()) *link {
	l := &link{
		base:   "http://" + s.Address,
		dialer: net.Dialer{Timeout: connectTimeout},
		lost:   lost,
		limit:  max(s.Connections, 1),
		freed:  make(chan struct{}),
	}
	l.transport = &http.Transport{
		DialContext:            l.dial,
		MaxConnsPerHost:        max(s.Connections, 1),
		MaxIdleConnsPerHost:    max(s.Connections, 1),
		MaxResponseHeaderBytes: headerBytes,
		DisableCompression:     true,
	}
	return l
}

// setLimit changes the share of connections. Connections above it close as
// they become idle.
func (l *link) setLimit(n int) {
	l.mu.Lock()
	changed := l.limit != n
	l.limit = n
	over := l.open > n
	if changed {
		l.wake()
	}
	l.mu.Unlock()
	if over {
		l.transport.CloseIdleConnections()
	}
}

// trim closes idle connections when more are open than the share allows.
func (l *link) trim() {
	l.mu.Lock()
	over := l.open > l.limit
	l.mu.Unlock()
	if over {
		l.transport.CloseIdleConnections()
	}
}

func (l *link) wake() {
	close(l.freed)
	l.freed = make(chan struct{})
}

func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := l.reserve(ctx); err != nil {
		return nil, err
	}
	raw, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		l.release()
		return nil, err
	}
	return &connection{Conn: raw, link: l}, nil
}

// reserve waits for a connection of the share.
func (l *link) reserve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.dialer.Timeout)
	defer cancel()
	for {
		l.mu.Lock()
		if l.open < l.limit {
			l.open++
			l.mu.Unlock()
			return nil
		}
		freed := l.freed
		l.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return errNoConnection
		}
	}
}

// release returns a connection to the share. Without any connection left, a
// restart of the searcher would go unnoticed, so it counts as lost.
func (l *link) release() {
	l.mu.Lock()
	l.open--
	last := l.open == 0
	l.wake()
	l.mu.Unlock()
	if last {
		l.lost()
	}
}
