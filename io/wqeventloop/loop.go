// Package wqeventloop runs the one goroutine that owns the control state of a
// process.
//
// # Usage
//
//	l := wqeventloop.New[Message](1024)
//	l.Handle = func(now time.Time, m Message) { ... }
//	l.Settle = func(now time.Time) time.Time { ...; return next }
//	go l.Run(ctx)
//	l.Post(ctx, m) // waits for room
//	l.Offer(m)     // drops m when there is no room
//
// Handle and Settle run on the loop's goroutine only, so that what they touch
// needs no lock. They must not block.
package wqeventloop

import (
	"context"
	"sync/atomic"
	"time"
)

// maxBatch bounds the messages that are handled before the loop settles.
const maxBatch = 256

// Loop wakes on messages and at the time that Settle asked for.
type Loop[M any] struct {
	HandleEvent func(now time.Time, m M)      // HandleEvent takes one message.
	Tick        func(now time.Time) time.Time // Tick does what is due after messages or by time, and returns when it is due again.
	inbox       chan M
	done        chan struct{}

	dropped atomic.Int64
}

// New returns a loop whose inbox holds size messages.
func New[M any](size int) *Loop[M] {
	return &Loop[M]{inbox: make(chan M, size), done: make(chan struct{})}
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
		case m := <-l.inbox:
			l.HandleEvent(time.Now(), m)
			l.drain()
		}
		now := time.Now()
		timer.Reset(l.Tick(now).Sub(now))
	}
}

// drain handles the messages that wait already, up to a bound.
func (l *Loop[M]) drain() {
	for range maxBatch {
		select {
		case m := <-l.inbox:
			l.HandleEvent(time.Now(), m)
		default:
			return
		}
	}
}

// Post hands m to the loop and waits for room; it reports false when the loop
// has ended or ctx ends first.
func (l *Loop[M]) Post(ctx context.Context, m M) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// TryPost hands m to the loop unless its inbox is full; a message that finds no
// room is dropped and counted.
func (l *Loop[M]) TryPost(m M) {
	select {
	case l.inbox <- m:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns how many messages Offer has dropped.
func (l *Loop[M]) Dropped() int64 { return l.dropped.Load() }

// Done is closed when Run has returned.
func (l *Loop[M]) Done() <-chan struct{} { return l.done }
