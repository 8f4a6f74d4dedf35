// Package wqtarget speaks the searchers' protocol: HTTP and JSON over kept
// connections, at most as many as this VM's share of each searcher.
//
// A request is written once. The client never repeats one, follows no redirect
// and uses no proxy, and it watches each connection to know whether any byte
// of a request may have left. Every reply is bounded before it is decoded and
// must carry the ids of its request; otherwise its connection is closed.
//
// # Usage
//
//	client, closeClient := wqtarget.New()
//	defer closeClient()
//	client.Lost = func(searcherID string) { ... }
//	client.Limit(searcher, 10)
//	reply, err := client.Search(ctx, searcher, []wqtarget.Query{{RequestID: "q-17", ...}})
//	if err != nil {
//		failure := wqtarget.FailureOf(err)
//	}
//
// A Reply that comes with an error holds the searcher's incarnation and
// coldness when the error is the searcher's own refusal.
package wqtarget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqtopology"
)

const (
	// headerBytes bounds the header of a reply, in bytes.
	headerBytes = 16 << 10
	// defaultConnectTimeout bounds the making of a connection.
	defaultConnectTimeout = 500 * time.Millisecond
	// defaultLateReply is how much longer than its time a reply to a write-like
	// request is waited for.
	defaultLateReply = 2 * time.Second
	// defaultStaleAfter is well above the time between two health probes and
	// well below the idle timeouts of servers.
	defaultStaleAfter = 5 * time.Second
	// defaultReplyBytes bounds the body of a reply, in bytes.
	defaultReplyBytes = 8 << 20
	// defaultBufferBytes bounds the bodies that are being read, in bytes: searchers
	// in trouble may send them without end, and a buffer that grows takes three
	// times its size.
	defaultBufferBytes = 8 << 20
	// smallReply is what each reply may hold beside that, in bytes; replies of a
	// few records are well below it.
	smallReply = 64 << 10
)

// Client sends requests to searchers. Set the exported fields before the first
// request; all methods are safe for concurrent use.
type Client struct {
	ConnectTimeout   time.Duration                // ConnectTimeout bounds the making of a connection.
	MaxReplyBytes    int64                        // MaxReplyBytes bounds the body of a reply, in bytes.
	MaxBufferedBytes int64                        // MaxBufferedBytes bounds the bodies of all replies that are being read, in bytes, beside the first 64 KB of each.
	WriteReplyGrace  time.Duration                // WriteReplyGrace is how much longer than its time the reply to a write-like request is waited for.
	LossWindow       time.Duration                // LossWindow is how long a connection is unused before its end means nothing, while others are open.
	MaySend          func(searcherID string) bool // MaySend reports whether a searcher may be sent anything; it is asked right before the first byte of a request.
	OnConnectionLost func(searcherID string)      // OnConnectionLost is called when a searcher closes an idle connection, and when the last one closes: it may have restarted.

	mu       sync.RWMutex
	links    map[string]*link
	buffered atomic.Int64 // buffered is what the replies being read hold of BufferBytes.
}

// New returns a Client and the function that closes its connections.
func New() (*Client, func()) {
	c := &Client{
		ConnectTimeout:   defaultConnectTimeout,
		MaxReplyBytes:    defaultReplyBytes,
		MaxBufferedBytes: defaultBufferBytes,
		WriteReplyGrace:  defaultLateReply,
		LossWindow:       defaultStaleAfter,
		MaySend:          func(string) bool { return true },
		OnConnectionLost: func(string) {},
		links:            make(map[string]*link),
	}
	return c, c.closeAll
}

// SetMaxConnections sets how many connections to a searcher may be open at once. Those
// above a lowered limit close as they become idle.
func (c *Client) SetMaxConnections(s *wqtopology.Searcher, connections int) {
	c.link(s).setLimit(connections)
}

// Disconnect closes the idle connections to a searcher that is no longer held.
func (c *Client) Disconnect(searcherID string) {
	c.mu.Lock()
	l := c.links[searcherID]
	delete(c.links, searcherID)
	c.mu.Unlock()
	if l != nil {
		l.setLimit(0)
		l.transport.CloseIdleConnections()
	}
}

// Preconnect opens connections until n are open, at most this VM's share. It returns
// the first error; connections that were made stay open.
func (c *Client) Preconnect(ctx context.Context, s *wqtopology.Searcher, n int) error {
	if c.link(s).alive() >= n {
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

func (c *Client) link(s *wqtopology.Searcher) *link {
	c.mu.RLock()
	l := c.links[s.ID]
	c.mu.RUnlock()
	base := "http://" + s.Address
	if l != nil && l.base == base {
		return l
	}
	return c.makeLink(s, base)
}

func (c *Client) makeLink(s *wqtopology.Searcher, base string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[s.ID]
	if l != nil && l.base == base {
		return l
	}
	if l != nil {
		l.transport.CloseIdleConnections()
	}
	l = c.newLink(s)
	c.links[s.ID] = l
	return l
}

func (c *Client) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.transport.CloseIdleConnections()
	}
}
