package wqtarget

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The low bits of connection.state hold the phase of the current request, the
// high bits its number on the connection.
const (
	phaseIdle           uint64 = iota // no request in progress; the state equals the request number
	phaseUnwritten                    // request began; nothing written yet
	phaseWritePrevented               // nothing written; writing is no longer allowed
	phaseWriting                      // a byte may have been written
	requestNumberStep                 // increment of the state from one request to the next
	phaseMask           = requestNumberStep - 1
)

// connection tracks whether any byte of its current request may have been sent.
type connection struct {
	net.Conn
	pool          *connectionPool
	state         atomic.Uint64
	lastUsed      atomic.Int64 // end of the last request, in nanoseconds since the Unix epoch
	readFailed    atomic.Bool
	closed        atomic.Bool
	sendForbidden atomic.Bool // MaySend was false, so a request was not written
	// mayBeSent is the check of the current request right before its first byte.
	mayBeSent atomic.Pointer[func() bool]
	// closedByClient is set when this client closes the connection after a failed
	// request. The transport may still list the connection as idle.
	closedByClient atomic.Bool
	reportOnce     sync.Once
	unsuccessful   unsuccessfulIDs
}

// beginRequest starts the next request and returns its number. MayBeSent is called right
// before its first byte.
func (c *connection) beginRequest(mayBeSent func() bool) uint64 {
	c.mayBeSent.Store(&mayBeSent)
	for {
		old := c.state.Load()
		number := old&^phaseMask + requestNumberStep
		if c.state.CompareAndSwap(old, number|phaseUnwritten) {
			return number
		}
	}
}

// endRequest marks the connection idle after a complete reply, unless the next
// request has begun. It reports a loss if a read failed during the request.
func (c *connection) endRequest(number uint64) {
	c.lastUsed.Store(time.Now().UnixNano())
	if c.state.CompareAndSwap(number|phaseWriting, number) && c.readFailed.Load() {
		c.reportLost()
	}
}

// preventWrite stops the request from being written if no byte of it has been, and
// reports whether a byte may have been sent.
func (c *connection) preventWrite(number uint64) bool {
	if c.state.CompareAndSwap(number|phaseUnwritten, number|phaseWritePrevented) {
		return false
	}
	return c.state.Load() != number|phaseWritePrevented
}

// Write writes b unless preventWrite was called for the request. It checks MaySend
// again before the first byte, since the process may have been paused after the
// previous check.
func (c *connection) Write(b []byte) (int, error) {
	state := c.state.Load()
	if state&phaseMask == phaseUnwritten && (!c.pool.maySend() || !(*c.mayBeSent.Load())()) {
		c.sendForbidden.Store(true)
		c.preventWrite(state &^ phaseMask)
		return 0, net.ErrClosed
	}
	first := state&phaseMask == phaseUnwritten && c.state.CompareAndSwap(state, state&^phaseMask|phaseWriting)
	if !first && c.state.Load()&phaseMask != phaseWriting {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.state.Store(state&^phaseMask | phaseWritePrevented)
	}
	return n, err
}

// Read reports a loss when the searcher closes an idle connection within the loss
// window.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !c.closed.Load() {
		c.readFailed.Store(true)
		if c.state.Load()&phaseMask == phaseIdle && !c.outsideLossWindow() {
			c.reportLost()
		}
	}
	return n, err
}

// outsideLossWindow reports whether the connection has been unused for so long
// that the searcher may have closed it for being idle. A restart also closes
// connections used more recently, which report the loss.
func (c *connection) outsideLossWindow() bool {
	return time.Since(time.Unix(0, c.lastUsed.Load())) > c.pool.lossWindow
}

func (c *connection) reportLost() { c.reportOnce.Do(c.pool.onConnectionLost) }

// Close closes the connection and releases its place in the share.
func (c *connection) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	c.pool.connectionClosed()
	return err
}
