// Package wqloop runs the one goroutine that owns the control state of a
// process.
//
// # Usage
//
//	l := wqloop.New[Message](1024)
//	l.Period = 50 * time.Millisecond
//	l.Handle = func(now time.Time, m Message) { ... }
//	l.Tick = func(now time.Time) { ... }
//	go l.Run(ctx)
//	l.Post(m)  // waits for room
//	l.Offer(m) // drops m when there is no room
//
// Handle and Tick run on the loop's goroutine only, so that what they touch
// needs no lock. They must not block.
package wqloop

import (
	"context"
	"sync/atomic"
	"time"
)

// Loop wakes on messages and on a timer.
type Loop[M any] struct {
	Period  time.Duration            // Period is the time between two ticks.
	Handle  func(now time.Time, m M) // Handle takes one message.
	Tick    func(now time.Time)      // Tick does what is due by time.
	inbox   chan M
	done    chan struct{}
	dropped atomic.Int64
}

// New returns a loop whose inbox holds size messages.
func New[M any](size int) *Loop[M] {
	return &Loop[M]{inbox: make(chan M, size), done: make(chan struct{})}
}

// Run handles messages until ctx ends.
func (l *Loop[M]) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(l.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.Tick(now)
		case m := <-l.inbox:
			l.Handle(time.Now(), m)
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

// Offer hands m to the loop unless its inbox is full; a message that finds no
// room is dropped and counted.
func (l *Loop[M]) Offer(m M) {
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
