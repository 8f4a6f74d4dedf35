package wqtarget

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The phases of a connection, kept in the low bits of its state; the high bits
// number the request.
const (
	phaseIdle    uint64 = iota // no request; the state is the number alone
	phaseFresh                 // a request, nothing written yet
	phaseSealed                // nothing written, and nothing may be any more
	phaseWriting               // a byte may have been written
	phaseStep                  // the distance between two requests
	phaseMask    = phaseStep - 1
)

// connection knows whether any byte of the present request may have left.
type connection struct {
	net.Conn
	link   *link
	state  atomic.Uint64
	used   atomic.Int64 // used is when the last request ended, in nanoseconds since 1970.
	failed atomic.Bool  // failed is true once a read failed.
	closed atomic.Bool
	barred atomic.Bool // barred is true once a request was not written since the searcher may be sent nothing.
	// dropped is true once this client closed it after a request that failed;
	// the transport may still have it among the idle ones.
	dropped atomic.Bool
	lost    sync.Once
}

// begin starts the next request and returns its number.
func (c *connection) begin() uint64 {
	for {
		old := c.state.Load()
		number := old&^phaseMask + phaseStep
		if c.state.CompareAndSwap(old, number|phaseFresh) {
			return number
		}
	}
}

// end leaves the connection idle after a whole reply, unless the next request
// has begun.
func (c *connection) end(number uint64) {
	c.used.Store(time.Now().UnixNano())
	if c.state.CompareAndSwap(number|phaseWriting, number) && c.failed.Load() {
		c.reportLost()
	}
}

// seal forbids further writing for a request and reports whether a byte of it
// may have left.
func (c *connection) seal(number uint64) bool {
	if c.state.CompareAndSwap(number|phaseFresh, number|phaseSealed) {
		return false
	}
	return c.state.Load() != number|phaseSealed
}

// Write passes b on unless the request is sealed. Whether the searcher may be
// sent anything is asked here again, since the process may have been paused on
// the way.
func (c *connection) Write(b []byte) (int, error) {
	state := c.state.Load()
	if state&phaseMask == phaseFresh && !c.link.usable() {
		c.barred.Store(true)
		c.seal(state &^ phaseMask)
		return 0, net.ErrClosed
	}
	first := state&phaseMask == phaseFresh && c.state.CompareAndSwap(state, state&^phaseMask|phaseWriting)
	if !first && c.state.Load()&phaseMask != phaseWriting {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.state.Store(state&^phaseMask | phaseSealed)
	}
	return n, err
}

// Read notices when the searcher closes an idle connection.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !c.closed.Load() {
		c.failed.Store(true)
		if c.state.Load()&phaseMask == phaseIdle && !c.stale() {
			c.reportLost()
		}
	}
	return n, err
}

// stale reports whether the connection was unused for so long that the searcher
// may have closed it for that alone. A restart closes fresher ones with it.
func (c *connection) stale() bool {
	return time.Since(time.Unix(0, c.used.Load())) > c.link.staleAfter
}

func (c *connection) reportLost() { c.lost.Do(c.link.lost) }

// Close closes the connection and returns it to the share.
func (c *connection) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	c.link.closed()
	return err
}
