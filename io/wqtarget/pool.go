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

// closeDetectionDelay is how long a searcher may still count a connection after
// this side closed it.
const closeDetectionDelay = 250 * time.Millisecond

// connectionPool limits and tracks the connections to one searcher.
type connectionPool struct {
	transport        *http.Transport
	baseURL          string
	dialer           net.Dialer
	lossWindow       time.Duration
	onConnectionLost func()
	maySend          func() bool

	mu              sync.Mutex
	maxConnections  int
	reserved        int           // connections that the searcher may still count, and dials
	open            int           // connections not yet closed on this side
	capacityChanged chan struct{} // closed and replaced when reserved falls or maxConnections changes
}

var (
	errNoConnection = errors.New("all connections of this VM's share are in use")
	errWithdrawn    = errors.New("the searcher may not be used any more")
)

func (c *Client) newPool(s *wqtopology.Searcher) *connectionPool {
	id := s.ID
	p := &connectionPool{
		baseURL:          "http://" + s.Address,
		dialer:           net.Dialer{Timeout: c.ConnectTimeout},
		lossWindow:       c.LossWindow,
		onConnectionLost: func() { c.OnConnectionLost(id) },
		maySend:          func() bool { return c.MaySend(id) },
		maxConnections:   max(s.Connections, 1),
		capacityChanged:  make(chan struct{}),
	}
	p.transport = &http.Transport{
		DialContext:            p.dial,
		MaxConnsPerHost:        max(s.Connections, 1),
		MaxIdleConnsPerHost:    max(s.Connections, 1),
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return p
}

// setMaxConnections changes the limit of open connections. Connections above it
// close when they become idle.
func (p *connectionPool) setMaxConnections(n int) {
	p.mu.Lock()
	changed := p.maxConnections != n
	p.maxConnections = n
	overLimit := p.open > n
	if changed {
		p.notifyWaiters()
	}
	p.mu.Unlock()
	if overLimit {
		p.transport.CloseIdleConnections()
	}
}

// closeExcess closes idle connections if more are open than the limit allows.
func (p *connectionPool) closeExcess() {
	p.mu.Lock()
	over := p.open > p.maxConnections
	p.mu.Unlock()
	if over {
		p.transport.CloseIdleConnections()
	}
}

func (p *connectionPool) notifyWaiters() {
	close(p.capacityChanged)
	p.capacityChanged = make(chan struct{})
}

func (p *connectionPool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := p.reserve(ctx); err != nil {
		return nil, err
	}
	raw, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		p.release()
		return nil, err
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	return &connection{Conn: raw, pool: p}, nil
}

// reserve waits until a connection is free within the limit and takes it. It
// returns errNoConnection after the connect timeout or when ctx ends.
func (p *connectionPool) reserve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.dialer.Timeout)
	defer cancel()
	for {
		p.mu.Lock()
		if p.reserved < p.maxConnections {
			p.reserved++
			p.mu.Unlock()
			return nil
		}
		changed := p.capacityChanged
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return errNoConnection
		}
	}
}

func (p *connectionPool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// release undoes one reserve.
func (p *connectionPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved--
	p.notifyWaiters()
}

// connectionClosed releases a closed connection once the searcher has had time to
// detect the close. Closing the last connection is reported as a loss, since
// without any connection a restart of the searcher would not be detected.
func (p *connectionPool) connectionClosed() {
	p.mu.Lock()
	p.open--
	isLast := p.open == 0
	p.mu.Unlock()
	time.AfterFunc(closeDetectionDelay, p.release)
	if isLast {
		go p.onConnectionLost() // In a new goroutine, since the caller may hold locks.
	}
}
