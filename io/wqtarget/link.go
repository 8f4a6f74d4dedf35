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

// closeLag is how long a searcher may take to notice that a connection closed.
const closeLag = 250 * time.Millisecond

// link owns the connections to one searcher.
type link struct {
	transport  *http.Transport
	base       string
	dialer     net.Dialer
	staleAfter time.Duration
	lost       func()
	usable     func() bool

	mu    sync.Mutex
	limit int
	open  int           // open counts the connections that the searcher may count.
	live  int           // live counts those that are not closed on this side.
	freed chan struct{} // freed is closed and replaced when a connection closes or the limit changes.
}

var errNoConnection = errors.New("all connections of this VM's share are in use")

func (c *Client) newLink(s *wqtopology.Searcher) *link {
	id := s.ID
	l := &link{
		base:       "http://" + s.Address,
		dialer:     net.Dialer{Timeout: c.ConnectTimeout},
		staleAfter: c.LossWindow,
		lost:       func() { c.OnConnectionLost(id) },
		usable:     func() bool { return c.MaySend(id) },
		limit:      max(s.Connections, 1),
		freed:      make(chan struct{}),
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
	over := l.live > n
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
	over := l.live > l.limit
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
	l.mu.Lock()
	l.live++
	l.mu.Unlock()
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

// alive returns how many connections are open.
func (l *link) alive() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.live
}

// release returns a connection to the share.
func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.wake()
}

// closed returns a closed connection to the share once the searcher has had
// time to notice. Without any connection left, a restart of the searcher would
// go unnoticed, so that counts as a lost one.
func (l *link) closed() {
	l.mu.Lock()
	l.live--
	last := l.live == 0
	l.mu.Unlock()
	time.AfterFunc(closeLag, l.release)
	if last {
		go l.lost() // The closer may hold locks.
	}
}
