// Package wqeventloop runs an event loop: a single goroutine that owns the control
// state of a process and changes it by messages and timers.
//
// # Usage
//
//	l := wqeventloop.New[Message](1024)
//	l.HandleEvent = func(now time.Time, m Message) { ... }
//	l.Tick = func(now time.Time) time.Time { ...; return next }
//	go l.Run(ctx)
//	l.Post(ctx, m) // blocks while the queue is full
//	l.TryPost(m)   // drops m when the queue is full
//
// HandleEvent and Tick run on the loop's goroutine only, so that state which only
// they use needs no lock. They must not block.
package wqeventloop

import (
	"context"
	"sync/atomic"
	"time"
)

// maxBatch bounds the messages that are handled between two ticks, the first one of
// a batch apart.
const maxBatch = 256

// Loop is an event loop for messages of type M. Set HandleEvent and Tick before Run.
type Loop[M any] struct {
	HandleEvent func(now time.Time, m M)      // HandleEvent is called with each message.
	Tick        func(now time.Time) time.Time // Tick is called after each batch and at the time that it returned last; it returns the next time.
	queue       chan M
	done        chan struct{}

	dropped atomic.Int64
}

// New returns a loop whose queue holds at most size messages.
func New[M any](size int) *Loop[M] {
	return &Loop[M]{queue: make(chan M, size), done: make(chan struct{})}
}

// Run handles messages until ctx ends.
func (l *Loop[M]) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case m := <-l.queue:
			l.HandleEvent(time.Now(), m)
			l.handleQueued()
		}
		now := time.Now()
		timer.Reset(l.Tick(now).Sub(now))
	}
}

// handleQueued handles the messages in the queue, at most maxBatch of them.
func (l *Loop[M]) handleQueued() {
	for range maxBatch {
		select {
		case m := <-l.queue:
			l.HandleEvent(time.Now(), m)
		default:
			return
		}
	}
}

// Post queues m and blocks while the queue is full. It returns false when the loop
// has ended or ctx ends first.
func (l *Loop[M]) Post(ctx context.Context, m M) bool {
	select {
	case l.queue <- m:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// TryPost queues m without blocking. When the queue is full, it drops m and counts
// it.
func (l *Loop[M]) TryPost(m M) {
	select {
	case l.queue <- m:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of messages that TryPost has dropped.
func (l *Loop[M]) Dropped() int64 { return l.dropped.Load() }

// Done returns a channel that is closed when Run returns.
func (l *Loop[M]) Done() <-chan struct{} { return l.done }
