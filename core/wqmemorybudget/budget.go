// Package wqmemorybudget decides which connections of clients get memory, which are
// refused, and which are closed, so that the memory held for all of them stays within
// a limit.
//
// Everything that is held for a connection counts: its own cost, headers, bodies as they
// arrive, and replies until they are sent. A connection gets more memory while it holds
// at most half of what is free, so that small requests find memory while large ones are
// refused. When more than three quarters are in use, the connections that hold the most
// for the slowest progress are closed, as long as the closing frees memory. A request
// that runs is never closed.
//
// # Usage
//
//	b := &wqmemorybudget.Budget[net.Conn]{Limit: 64 << 20, MaxConnections: 1600, ConnectionCost: 24 << 10}
//	a, toClose := b.Open(now, connection)
//	a.SetPhase(wqmemorybudget.Receiving)
//	ok, toClose := b.Reserve(now, a, 4096)
//	a.AddProgress(now, 4096)
//	b.Reset(now, a)  // after the request
//	b.Close(a)  // after the connection is closed
//
// The caller closes the connections in toClose.
package wqmemorybudget

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rateWindow is the time over which progress is measured. A VM with a tenth of a core
	// may not read a connection for some 100 ms.
	rateWindow = 500 * time.Millisecond
	// baseRate, in bytes per second, makes the hold times of connections without progress
	// finite, so that they are in the order of their size.
	baseRate = 4 << 10
	// idleWeight makes idle connections go before requests of the same size, because
	// their clients lose nothing.
	idleWeight = 4
	// minHoldTime is the shortest hold time, in seconds, of a connection that is closed
	// while there is still free memory.
	minHoldTime = 2
	// newHandicap is added to the time without progress of a connection that has not had a
	// complete request and has sent nothing, or holds much, when there are too many
	// connections. Clients that only connect, or never end their requests, would otherwise
	// displace those that are between two.
	newHandicap = 3 * time.Second
	// scanInterval bounds the cost of scans, which go over all connections.
	scanInterval = 20 * time.Millisecond
)

// Phase is what a connection does.
type Phase int32

// Phases of a connection.
const (
	Idle      Phase = iota // Idle has no request yet, or is between two requests.
	Receiving              // Receiving takes in a header or a body.
	Running                // Running handles a request, which is never closed.
	Replying               // Replying sends a reply.
)

// Budget bounds the memory and the number of connections. Set the exported fields
// before the first call. It is safe for concurrent use.
type Budget[C any] struct {
	Limit          int64 // Limit is in bytes.
	MaxConnections int
	ConnectionCost int64 // ConnectionCost is what an idle connection holds, in bytes.

	mutex    sync.Mutex
	accounts map[*Account[C]]struct{}
	used     int64
	leaving  int64 // part of used that belongs to connections that are being closed
	nLeaving int
	exempt   *Account[C] // the account that may exceed its share, and the limit
	lastScan time.Time
	counts   Counts
}

// Counts are the decisions of a budget since its start, and its state.
type Counts struct {
	Used        int64  // Used is in bytes.
	Connections int    // Connections that are open.
	Refused     uint64 // Refused counts reservations that were not granted.
	Closed      uint64 // Closed counts connections that were closed for others.
}

// Account is what the budget knows of one connection.
type Account[C any] struct {
	Connection C

	phase    atomic.Int32
	changes  atomic.Int64 // number of SetPhase calls that changed the phase
	progress atomic.Int64 // bytes received and sent
	movedAt  atomic.Int64 // Unix time of the last progress, or of the opening, in nanoseconds

	// Guarded by Budget.mutex.
	held           int64
	isLeaving      bool
	isClosed       bool
	isUsed         bool      // whether there was a complete request
	usedAt         time.Time // end of the last complete request, or opening
	windowStart    time.Time
	windowProgress int64
	windowChanges  int64
	rate           float64 // bytes per second in the last window
	isRated        bool
}

// SetPhase sets what the connection does.
func (a *Account[C]) SetPhase(p Phase) {
	if a.phase.Swap(int32(p)) != int32(p) {
		a.changes.Add(1)
	}
}

// Phase returns what the connection does.
func (a *Account[C]) Phase() Phase { return Phase(a.phase.Load()) }

// AddProgress counts bytes that were received or sent.
func (a *Account[C]) AddProgress(now time.Time, n int) {
	a.progress.Add(int64(n))
	a.movedAt.Store(now.UnixNano())
}

// Progress returns the number of bytes that were received or sent.
func (a *Account[C]) Progress() int64 { return a.progress.Load() }

// Still returns the time since the last progress, or since the connection was opened.
func (a *Account[C]) Still(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - a.movedAt.Load())
}

// Open returns the account of a new connection, and the connections that have to be
// closed for it. The account is nil when none can be closed: the new one has to be.
func (b *Budget[C]) Open(now time.Time, c C) (*Account[C], []C) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var toClose []C
	if len(b.accounts)-b.nLeaving >= b.MaxConnections {
		least := b.leastUseful(now)
		if least == nil {
			b.counts.Refused++
			return nil, nil
		}
		toClose = append(toClose, b.leave(least))
	}
	a := &Account[C]{Connection: c, held: b.ConnectionCost, usedAt: now, windowStart: now}
	a.movedAt.Store(now.UnixNano())
	if b.accounts == nil {
		b.accounts = make(map[*Account[C]]struct{})
	}
	b.accounts[a] = struct{}{}
	b.used += a.held
	return a, append(toClose, b.relieve(now, a, 0)...)
}

// Reserve reports whether a connection may hold n more bytes, and returns the
// connections that have to be closed.
func (b *Budget[C]) Reserve(now time.Time, a *Account[C], n int64) (bool, []C) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.isLeaving || a.isClosed {
		return false, nil
	}
	if !b.fits(a, n) {
		b.counts.Refused++
		return false, b.relieve(now, a, n)
	}
	b.add(a, n)
	return true, b.relieve(now, a, 0)
}

// Charge counts n bytes that a connection holds already, like a reply. It reports
// whether the connection may keep them, and returns the connections that have to be
// closed.
func (b *Budget[C]) Charge(now time.Time, a *Account[C], n int64) (bool, []C) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.isLeaving || a.isClosed {
		return false, nil
	}
	fits := b.fits(a, n)
	b.add(a, n)
	toClose := b.relieve(now, nil, 0)
	if !a.isLeaving && (fits || b.pressure() <= b.Limit) {
		return true, toClose
	}
	b.counts.Refused++
	return false, toClose
}

// Release gives n bytes back.
func (b *Budget[C]) Release(a *Account[C], n int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.add(a, -min(n, a.held-b.ConnectionCost))
}

// Reset gives back all that the connection holds beside its own cost, after a request.
func (b *Budget[C]) Reset(now time.Time, a *Account[C]) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.usedAt, a.isUsed = now, true
	b.add(a, b.ConnectionCost-a.held)
}

// MarkUsed notes that a connection has had a complete request and keeps what it holds.
func (b *Budget[C]) MarkUsed(now time.Time, a *Account[C]) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.usedAt, a.isUsed = now, true
}

// Close ends an account, for any number of calls.
func (b *Budget[C]) Close(a *Account[C]) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.isClosed {
		return
	}
	b.add(a, -a.held)
	a.isClosed = true
	delete(b.accounts, a)
	if a.isLeaving {
		b.nLeaving--
	}
}

// Sweep returns the connections that have to be closed while memory is short.
func (b *Budget[C]) Sweep(now time.Time) []C {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.relieve(now, nil, 0)
}

// Counts returns the decisions and the state.
func (b *Budget[C]) Counts() Counts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.counts
	counts.Used, counts.Connections = b.used, len(b.accounts)
	return counts
}

// fits reports whether an account may hold n more bytes. One account at a time may
// exceed its share, while the others hold less than half of the limit: without load,
// a request is served whatever its size.
func (b *Budget[C]) fits(a *Account[C], n int64) bool {
	free := b.Limit - b.used
	if a.held-b.ConnectionCost+n <= free/2 {
		return true
	}
	if (b.exempt == nil || b.exempt == a) && b.used-a.held <= b.Limit/2 {
		b.exempt = a
		return true
	}
	return false
}

// add changes what an account holds.
func (b *Budget[C]) add(a *Account[C], n int64) {
	if a.isClosed {
		return
	}
	a.held += n
	b.used += n
	if a.isLeaving {
		b.leaving += n
	}
	if b.exempt == a && a.held-b.ConnectionCost <= (b.Limit-b.used)/2 {
		b.exempt = nil // It is within its share again.
	}
}

// leave marks an account whose connection is closed by the caller.
func (b *Budget[C]) leave(a *Account[C]) C {
	a.isLeaving = true
	b.leaving += a.held
	b.nLeaving++
	b.counts.Closed++
	return a.Connection
}

// pressure returns the memory in use, without that of connections that are being closed
// and without what the exempt account holds beyond half of the limit.
func (b *Budget[C]) pressure() int64 {
	p := b.used - b.leaving
	if b.exempt != nil && !b.exempt.isLeaving {
		p -= max(b.exempt.held-b.Limit/2, 0)
	}
	return p
}

// relieve chooses connections other than keep to close, until a quarter of the limit,
// and n bytes more, are free or about to be.
func (b *Budget[C]) relieve(now time.Time, keep *Account[C], n int64) []C {
	target := b.Limit/4*3 - min(n, b.Limit/4)
	isFull := b.pressure() > b.Limit
	if b.pressure() <= target || !isFull && now.Sub(b.lastScan) < scanInterval {
		return nil
	}
	b.lastScan = now
	// Closing connections that hold little helps only when there are many of them.
	least := int64(0)
	if int64(len(b.accounts))*b.ConnectionCost < b.Limit/2 {
		least = 2 * b.ConnectionCost
	}
	var toClose []C
	for _, c := range b.candidates(now, !isFull) {
		if b.pressure() <= target {
			break
		}
		if c.account != keep && c.account.held >= least {
			toClose = append(toClose, b.leave(c.account))
		}
	}
	return toClose
}

// leastUseful returns the account that is closed when there are too many connections,
// nil when all run requests: the one without progress for the longest time.
func (b *Budget[C]) leastUseful(now time.Time) *Account[C] {
	var least *Account[C]
	longest := time.Duration(-1)
	for a := range b.accounts {
		if a.isLeaving || a.Phase() == Running {
			continue
		}
		unused := min(now.Sub(a.usedAt), a.Still(now))
		if !a.isUsed && (a.progress.Load() == 0 || a.held > 2*b.ConnectionCost) {
			unused += newHandicap
		}
		if unused > longest {
			least, longest = a, unused
		}
	}
	return least
}

// candidate is a connection that may be closed.
type candidate[C any] struct {
	account  *Account[C]
	holdTime float64 // seconds in which the connection would move what it holds, at its rate
}

// candidates returns the connections that may be closed, in the order in which they
// are. Those without a measured rate come last; onlySlow leaves them out, and all that
// progress.
func (b *Budget[C]) candidates(now time.Time, onlySlow bool) []candidate[C] {
	var slow, others []candidate[C]
	for a := range b.accounts {
		if a.isLeaving || a.Phase() == Running {
			continue
		}
		a.measure(now)
		c := candidate[C]{a, float64(a.held) / (a.rate + baseRate)}
		if a.Phase() == Idle {
			c.holdTime *= idleWeight
		}
		if a.isRated && c.holdTime >= minHoldTime {
			slow = append(slow, c)
		} else if !onlySlow && a != b.exempt {
			others = append(others, c)
		}
	}
	slices.SortFunc(slow, worstFirst)
	slices.SortFunc(others, worstFirst)
	return append(slow, others...)
}

func worstFirst[C any](x, y candidate[C]) int {
	switch {
	case x.holdTime > y.holdTime:
		return -1
	case x.holdTime < y.holdTime:
		return 1
	}
	return int(x.account.movedAt.Load() - y.account.movedAt.Load())
}

// measure updates the rate of an account. A change of the phase starts a new window,
// because an idle time says nothing about the request that follows it.
func (a *Account[C]) measure(now time.Time) {
	progress, changes := a.progress.Load(), a.changes.Load()
	if changes != a.windowChanges {
		a.windowStart, a.windowProgress, a.windowChanges, a.isRated = now, progress, changes, false
		return
	}
	if length := now.Sub(a.windowStart); length >= rateWindow {
		a.rate = float64(progress-a.windowProgress) / length.Seconds()
		a.windowStart, a.windowProgress, a.isRated = now, progress, true
	}
}
