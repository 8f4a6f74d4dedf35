// Package wqlistwatch keeps a receiver up to date with a source of items: it
// lists all items once and then watches for changes.
//
// # Usage
//
//	w := &wqlistwatch.Watcher[*store]{
//		Name: "store", Source: s, StoreRevision: c.StoreRevision, Deliver: c.Deliver, WatchTimeout: 4 * time.Second,
//		AwaitTurn: c.AwaitWatchRole, OnCallDone: func(bool) {}, Log: log,
//	}
//	w.Run(ctx) // until ctx ends
//
// When the source has compacted the changes since StoreRevision, or was restored from a
// copy, all items are listed again. Failed calls are retried with exponential backoff and jitter. The
// first watch after a failure has a wait of almost zero, so that a source that
// hangs is noticed within its own call timeout.
package wqlistwatch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqmirror"
)

// ErrCompacted is returned by Source.Watch when the source no longer has all
// changes since the requested revision.
var ErrCompacted = errors.New("the source has compacted the changes since that revision; list all items")

// ErrRestored is returned by Source.Watch when the source was restored from a copy, so
// that it does not have the requested revision.
var ErrRestored = errors.New("the source was restored from a copy; list all items")

const (
	initialBackoff    = 100 * time.Millisecond // initialBackoff is the mean delay after the first failed call.
	maxBackoff        = 800 * time.Millisecond // maxBackoff bounds the mean delay, so that a recovered source is noticed within about a second.
	retryJitter       = 100 * time.Millisecond // retryJitter bounds the random minimum delay, which keeps VMs that failed together from retrying together.
	retryWatchTimeout = 100 * time.Millisecond // retryWatchTimeout is the watch timeout after a failed call.
)

// Source lists and watches items, for example those of the platform's store.
type Source interface {
	// List returns all items.
	List(ctx context.Context) (wqmirror.Batch, error)
	// Watch returns the changes after a revision, or an empty batch when there
	// are none within timeout. It fails with ErrCompacted or ErrRestored when List is
	// needed.
	Watch(ctx context.Context, afterRevision uint64, timeout time.Duration) (wqmirror.Batch, error)
}

// Watcher follows one source. Set all exported fields before Run.
type Watcher[S Source] struct {
	Name          string // Name labels log lines and is the Source of delivered batches.
	Source        S
	StoreRevision func() uint64                         // StoreRevision returns the revision up to which the receiver is complete; 0 makes the watcher list.
	Deliver       func(context.Context, wqmirror.Batch) // Deliver passes a batch on and returns once StoreRevision includes it.
	WatchTimeout  time.Duration                         // WatchTimeout bounds the wait of one watch, and so the time that a hanging source goes unnoticed.
	AwaitTurn     func(context.Context)                 // AwaitTurn is called before each call and blocks while the source must not be called.
	CoalesceDelay time.Duration                         // CoalesceDelay is the delay from a change to the next watch, which then returns several changes in one call.
	OnCallDone    func(bool)                            // OnCallDone is called after each call to the source; true means that it succeeded.
	Log           *slog.Logger

	failures     int       // failures counts the failed calls since the last success.
	failingSince time.Time // failingSince is the start of the first of these calls.
}

// Run follows the source until ctx ends.
func (w *Watcher[S]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.AwaitTurn(ctx)
		startedAt := time.Now()
		b, err := w.nextBatch(ctx)
		if err != nil {
			w.handleFailure(ctx, err, startedAt)
			continue
		}
		w.handleSuccess()
		b.Source = w.Name
		w.Deliver(ctx, b)
		if len(b.Items) > 0 {
			sleep(ctx, w.CoalesceDelay)
		}
	}
}

// nextBatch lists or watches the source; the batch is empty when nothing changed.
func (w *Watcher[S]) nextBatch(ctx context.Context) (wqmirror.Batch, error) {
	afterRevision := w.StoreRevision()
	if afterRevision == 0 {
		return w.Source.List(ctx)
	}
	timeout := w.WatchTimeout
	if w.failures > 0 {
		timeout = min(timeout, retryWatchTimeout)
	}
	b, err := w.Source.Watch(ctx, afterRevision, timeout)
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
		w.Log.Info("source has lost its history; listing all items", "source", w.Name, "as_of", afterRevision, "error", err.Error())
		b, err = w.Source.List(ctx)
		if err == nil {
			w.Log.Info("source listed all items", "source", w.Name, "as_of", afterRevision, "listed_as_of", b.StoreRevision, "items", len(b.Items))
		}
	}
	return b, err
}

func (w *Watcher[S]) handleSuccess() {
	if w.failures > 0 {
		w.Log.Info("source answers again", "source", w.Name, "failures", w.failures, "silent_ms", time.Since(w.failingSince).Milliseconds())
	}
	w.failures = 0
	w.OnCallDone(true)
}

func (w *Watcher[S]) handleFailure(ctx context.Context, err error, startedAt time.Time) {
	if ctx.Err() != nil {
		return
	}
	elapsed := time.Since(startedAt)
	w.failures++
	if w.failures == 1 {
		w.failingSince = startedAt
		w.Log.Warn("source does not answer", "source", w.Name, "as_of", w.StoreRevision(), "took_ms", elapsed.Milliseconds(), "error", err.Error())
	}
	w.OnCallDone(false)
	backoff := min(initialBackoff<<min(w.failures-1, 10), maxBackoff)
	sleep(ctx, max(backoff/2+rand.N(backoff)-elapsed, rand.N(retryJitter))) // The time that a hanging call took counts towards the delay.
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
