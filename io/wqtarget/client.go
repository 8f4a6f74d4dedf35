// Package wqtarget is the client of the searchers: HTTP and JSON over persistent
// connections. Each searcher has a connection pool, which never exceeds this VM's
// share of the searcher's connections.
//
// A request is written at most once: the client does not retry, follows no
// redirect, uses no proxy, and tracks for each connection whether any byte of a
// request may have been sent. The size of a reply is limited before it is decoded,
// and a reply that does not carry the ids of its request closes its connection.
//
// # Usage
//
//	client, closeClient := wqtarget.New()
//	defer closeClient()
//	client.OnConnectionLost = func(searcherID string) { ... }
//	client.SetMaxConnections(searcher, 10)
//	reply, err := client.Search(ctx, searcher, []wqtarget.Query{{RequestID: "q-17", ...}})
//	if err != nil {
//		failure := wqtarget.FailureOf(err)
//	}
//
// A request may wait for a connection for as long as its context allows. Its MaySend is
// asked at the start of the wait, at WithdrawWaiting and right before the first byte:
//
//	request.MaySend = func() bool { return plan().MaySend(time.Now(), target) }
//	client.WithdrawWaiting() // after each new plan
//
// When the error is a refusal by the searcher itself, the reply returned with it
// still holds the searcher's incarnation and whether it is in cold start.
package wqtarget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqtopology"
)

const (
	// maxHeaderBytes limits the header of a reply, in bytes.
	maxHeaderBytes         = 16 << 10
	defaultConnectTimeout  = 500 * time.Millisecond
	defaultWriteReplyGrace = 2 * time.Second
	// defaultLossWindow is well above the interval of health probes and well below
	// the idle timeouts of servers.
	defaultLossWindow = 5 * time.Second
	// defaultMaxReplyBytes is in bytes.
	defaultMaxReplyBytes = 8 << 20
	// defaultMaxBufferedBytes is in bytes. It limits the memory that faulty searchers
	// with endless bodies can take; a growing buffer takes three times its size.
	defaultMaxBufferedBytes = 8 << 20
	// unbudgetedReplyBytes is the part of each reply, in bytes, that does not count
	// against MaxBufferedBytes. Replies of a few rows are well below it.
	unbudgetedReplyBytes = 64 << 10
)

// Client sends requests to searchers. Set the exported fields before the first
// request; all methods are safe for concurrent use.
type Client struct {
	// ConnectTimeout limits the wait for a free connection of the share, and then
	// the dial.
	ConnectTimeout time.Duration
	// MaxReplyBytes limits the body of one reply, in bytes.
	MaxReplyBytes int64
	// MaxBufferedBytes limits the bodies of all replies that are being read, in
	// bytes. The first 64 KB of each reply are not counted.
	MaxBufferedBytes int64
	// WriteReplyGrace is how long after its deadline the reply to a write-like
	// request is still awaited.
	WriteReplyGrace time.Duration
	// LossWindow is the time since its last request within which the end of an
	// idle connection is reported as lost. After it, the searcher may have closed
	// the connection for being idle.
	LossWindow time.Duration
	// MaySend reports whether requests may be sent to a searcher. It is called
	// right before the first byte of each request.
	MaySend func(searcherID string) bool
	// OnConnectionLost is called when a searcher closes an idle connection and
	// when its last connection closes, since the searcher may have restarted.
	OnConnectionLost func(searcherID string)

	mu            sync.RWMutex
	pools         map[string]*connectionPool
	waiting       waitingExchanges
	bufferedBytes atomic.Int64 // used part of MaxBufferedBytes
}

// New returns a Client and the function that closes its connections.
func New() (*Client, func()) {
	c := &Client{
		ConnectTimeout:   defaultConnectTimeout,
		MaxReplyBytes:    defaultMaxReplyBytes,
		MaxBufferedBytes: defaultMaxBufferedBytes,
		WriteReplyGrace:  defaultWriteReplyGrace,
		LossWindow:       defaultLossWindow,
		MaySend:          func(string) bool { return true },
		OnConnectionLost: func(string) {},
		pools:            make(map[string]*connectionPool),
	}
	return c, c.closeAll
}

// SetMaxConnections sets how many connections to a searcher may be open at once.
// Connections above a lowered limit close when they become idle.
func (c *Client) SetMaxConnections(s *wqtopology.Searcher, connections int) {
	c.poolOf(s).setMaxConnections(connections)
}

// Disconnect removes the connection pool of a searcher that this VM no longer
// holds. Idle connections close now, those in use after their request.
func (c *Client) Disconnect(searcherID string) {
	c.mu.Lock()
	p := c.pools[searcherID]
	delete(c.pools, searcherID)
	c.mu.Unlock()
	if p != nil {
		p.setMaxConnections(0)
		p.transport.CloseIdleConnections()
	}
}

// Preconnect opens connections with concurrent health probes unless n are open
// already, up to this VM's share. It returns the first error; connections that
// were opened stay open.
func (c *Client) Preconnect(ctx context.Context, s *wqtopology.Searcher, n int) error {
	if c.poolOf(s).openCount() >= n {
		return nil
	}
	errs := make(chan error, n)
	for range n {
		go func() {
			_, err := c.Health(ctx, s)
			errs <- err
		}()
	}
	var first error
	for range n {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// WithdrawWaiting ends the requests that wait for a connection and whose MaySend is now
// false. Call it when the answer of MaySend may have changed.
func (c *Client) WithdrawWaiting() { c.waiting.withdraw() }

func (c *Client) poolOf(s *wqtopology.Searcher) *connectionPool {
	c.mu.RLock()
	p := c.pools[s.ID]
	c.mu.RUnlock()
	baseURL := "http://" + s.Address
	if p != nil && p.baseURL == baseURL {
		return p
	}
	return c.createPool(s, baseURL)
}

func (c *Client) createPool(s *wqtopology.Searcher, baseURL string) *connectionPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[s.ID]
	if p != nil && p.baseURL == baseURL {
		return p
	}
	if p != nil {
		p.transport.CloseIdleConnections()
	}
	p = c.newPool(s)
	c.pools[s.ID] = p
	return p
}

func (c *Client) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.transport.CloseIdleConnections()
	}
}
