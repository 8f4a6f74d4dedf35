package wqhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqmemorybudget"
)

const (
	// ConnectionCost is what an idle connection holds, in bytes: a goroutine, two buffers of
	// 4 KB and the state of the HTTP server. A small request needs no more.
	ConnectionCost = 24 << 10
	// http2Cost is what a connection of HTTP/2 holds beside it, in bytes: its frames,
	// windows and header tables.
	http2Cost = 64 << 10
	// headerLineCost is what a header line holds beside twice its length, in bytes: its
	// entries in the maps of the HTTP server.
	headerLineCost = 128
	// freeHeaderBytes is the part of a header that ConnectionCost includes.
	freeHeaderBytes = 4 << 10
	// bufferSlop is the part of a header that may be read beyond the limit before the
	// request is known, because the HTTP server reads 4 KB at a time.
	bufferSlop = 4 << 10
	// writePiece is the part of a reply that is written at a time, so that progress is seen.
	writePiece = 64 << 10
	// lingerTime and lingerBytes bound how much of a refused request is still read: a reset
	// connection may lose the refusal.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
)

// Connection is one accepted connection, with its account in the memory budget of the
// server. The methods that change the account also serve a nil Connection, which has
// no budget.
type Connection struct {
	net.Conn

	server   *Server
	account  *wqmemorybudget.Account[*Connection]
	inHeader atomic.Bool  // true from the first byte of a request until its handler is called
	since    atomic.Int64 // Unix time in nanoseconds at which the header or the idle time began
	http2    atomic.Bool
	streams  atomic.Int64 // requests in progress over HTTP/2
	refused  atomic.Bool  // true once a refusal was written, after which nothing may be

	// Used by the goroutine that reads the header.
	headerBytes, headerLines int
	headerReserved           int64
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnectionOf returns the connection of a request, nil when a Server did not accept it.
func ConnectionOf(ctx context.Context) *Connection {
	c, _ := ctx.Value(connKey{}).(*Connection)
	return c
}

// Reserve reports whether the connection may hold n more bytes. If not, the request has
// to be refused. The memory is given back after the request; over HTTP/2 by Release.
func (c *Connection) Reserve(n int64) bool {
	if c == nil {
		return true
	}
	ok, toClose := c.server.Budget.Reserve(time.Now(), c.account, n)
	closeAll(toClose)
	return ok
}

// Charge counts n bytes that are held already, for a reply. It reports whether the reply
// may be sent; if not, it has to be dropped and the connection closed.
func (c *Connection) Charge(n int64) bool {
	if c == nil {
		return true
	}
	ok, toClose := c.server.Budget.Charge(time.Now(), c.account, n)
	closeAll(toClose)
	return ok
}

// Release gives n bytes back.
func (c *Connection) Release(n int64) {
	if c != nil && n > 0 {
		c.server.Budget.Release(c.account, n)
	}
}

// SetPhase sets what the connection does. A request over HTTP/2 shares its connection
// with others and does not change it.
func (c *Connection) SetPhase(p wqmemorybudget.Phase) {
	if c != nil && !c.http2.Load() {
		c.account.SetPhase(p)
	}
}

// Read reads and counts. It returns an error once the request is refused.
func (c *Connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	c.account.AddProgress(now, n)
	if !c.http2.Load() && c.account.Phase() == wqmemorybudget.Idle {
		c.beginHeader(now, p[:n])
	}
	if c.inHeader.Load() && !c.http2.Load() && !c.receiveHeader(p[:n]) {
		return 0, os.ErrDeadlineExceeded // The HTTP server does not reply to a timeout.
	}
	return n, err
}

// beginHeader notes that a request begins with these bytes.
func (c *Connection) beginHeader(now time.Time, first []byte) {
	if c.server.HTTP2 && c.account.Progress() == int64(len(first)) && bytes.HasPrefix(first, []byte("PRI")) {
		c.http2.Store(true)
		if !c.Reserve(http2Cost) {
			_ = c.Close()
		}
		return
	}
	c.headerBytes, c.headerLines, c.headerReserved = 0, 0, freeHeaderBytes
	c.since.Store(now.UnixNano())
	c.inHeader.Store(true)
	c.account.SetPhase(wqmemorybudget.Receiving)
}

// receiveHeader counts a part of a header and reports whether the request may go on. If
// not, it has refused the request.
func (c *Connection) receiveHeader(part []byte) bool {
	c.headerBytes += len(part)
	c.headerLines += bytes.Count(part, []byte{'\n'})
	if c.headerBytes > c.server.headerLimit()+bufferSlop {
		c.server.tooLarge.Add(1)
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		return false
	}
	if held := int64(2*c.headerBytes + headerLineCost*c.headerLines); held > c.headerReserved {
		if !c.Reserve(held) { // Twice as much as is needed, for few calls.
			c.refuse(http.StatusServiceUnavailable)
			return false
		}
		c.headerReserved += held
	}
	return true
}

// refuse writes a reply to a request that has not run and never will, and waits a moment
// for the client to read it.
func (c *Connection) refuse(code int) {
	c.refused.Store(true)
	c.account.SetPhase(wqmemorybudget.Replying)
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, refusal(code)); err != nil {
		return
	}
	_ = c.CloseWrite()
	var scratch [512]byte
	for n, total, err := 0, 0, error(nil); err == nil && total < lingerBytes; total += n {
		n, err = c.Conn.Read(scratch[:])
	}
}

// Write writes in pieces and counts.
func (c *Connection) Write(p []byte) (int, error) {
	written := 0
	for {
		if c.refused.Load() {
			return written, net.ErrClosed
		}
		n, err := c.Conn.Write(p[written:min(written+writePiece, len(p))])
		written += n
		c.account.AddProgress(time.Now(), n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite ends the sending direction.
func (c *Connection) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// beginStream counts a request over HTTP/2. Its connection is not closed for others while
// it has one.
func (c *Connection) beginStream() (end func()) {
	c.streams.Add(1)
	c.account.SetPhase(wqmemorybudget.Running)
	return func() {
		c.server.Budget.MarkUsed(time.Now(), c.account)
		if c.streams.Add(-1) == 0 {
			c.account.SetPhase(wqmemorybudget.Idle)
		}
	}
}

// isOverdue reports whether the connection has to be closed, and how long ago its current
// state began.
func (c *Connection) isOverdue(now time.Time, t Timeouts) bool {
	if c.http2.Load() {
		return false
	}
	limit, elapsed := time.Duration(0), now.Sub(time.Unix(0, c.since.Load()))
	switch c.account.Phase() {
	case wqmemorybudget.Idle:
		if limit = t.Header; t.Idle > 0 {
			limit = t.Idle + idleGrace
		}
	case wqmemorybudget.Receiving:
		if c.inHeader.Load() {
			limit = t.Header
		}
	case wqmemorybudget.Replying:
		limit, elapsed = stalledReplyTimeout, c.account.Still(now)
	}
	return limit > 0 && elapsed > limit
}

// closeAll closes connections that the budget has chosen.
func closeAll(connections []*Connection) {
	for _, c := range connections {
		_ = c.Close() // The connection is closed even if Close returns an error.
	}
}

// acceptor gives accepted connections their accounts.
type acceptor struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that the budget admits.
func (a acceptor) Accept() (net.Conn, error) {
	for {
		raw, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &Connection{Conn: raw, server: a.server}
		c.since.Store(now.UnixNano())
		account, toClose := a.server.Budget.Open(now, c)
		closeAll(toClose)
		if account != nil {
			c.account = account
			return c, nil
		}
		_ = raw.Close()
		time.Sleep(acceptPause) // All connections run requests.
	}
}
