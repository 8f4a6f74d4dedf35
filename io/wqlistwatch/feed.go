// Package wqlistwatch follows a source of items, the platform's store or a peer, and
// hands what is new to the control goroutine.
//
// # Usage
//
//	f := &wqlistwatch.Watcher[*store]{Name: "store", Source: s, AsOf: asOf, Deliver: deliver, Wait: 4 * time.Second, Log: log}
//	f.Run(ctx) // until ctx ends
//
// A source that has forgotten the changes since AsOf is listed whole. A failing
// source is asked again after a pause that doubles up to a bound, by watches that
// hardly wait: one that neither fails nor answers is then given up after the
// source's own timeout.
package wqlistwatch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqmirror"
)

// ErrCompacted says that a source can't give the changes that were asked for.
var ErrCompacted = errors.New("the source has forgotten the changes since that revision; list it whole")

const (
	firstPause = 100 * time.Millisecond // firstPause is the wait after the first failed call.
	mostPause  = 800 * time.Millisecond // mostPause bounds it, so that a source that returns is noticed within a second.
	spread     = 100 * time.Millisecond // spread keeps VMs that failed together from calling together.
	retryWait  = 100 * time.Millisecond // retryWait is how long a watch waits for changes after a failed call.
)

// Source is where items come from.
type Source interface {
	// List returns all items.
	List(ctx context.Context) (wqmirror.Batch, error)
	// Watch waits for changes after a revision, at most wait, and returns them.
	Watch(ctx context.Context, after uint64, wait time.Duration) (wqmirror.Batch, error)
}

// Watcher follows one source. Set the exported fields before Run.
type Watcher[S Source] struct {
	Name          string
	Source        S
	AsOf          func() uint64                         // AsOf returns the revision up to which all is known; 0 is nothing.
	Deliver       func(context.Context, wqmirror.Batch) // Deliver takes a batch; it returns once AsOf includes it.
	WatchTimeout  time.Duration                         // WatchTimeout is how long one watch waits for changes, and so how long a source may hang unnoticed.
	AwaitTurn     func(context.Context)                 // AwaitTurn returns when the source is to be asked; it is called before each call.
	CoalesceDelay time.Duration                         // CoalesceDelay is the time between a change and the next watch, so that several are read in one call.
	OnCall        func(bool)                            // OnCall is told whether the latest call was answered.
	Log           *slog.Logger

	failures    int
	silentSince time.Time // silentSince is when the first of the failed calls began.
}

// Run follows the source until ctx ends.
func (f *Watcher[S]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.AwaitTurn(ctx)
		began := time.Now()
		b, err := f.next(ctx)
		if err != nil {
			f.fail(ctx, err, began)
			continue
		}
		f.succeed()
		b.Source = f.Name
		f.Deliver(ctx, b)
		if len(b.Items) > 0 {
			sleep(ctx, f.CoalesceDelay)
		}
	}
}

// next returns the next batch, which is empty when nothing changed.
func (f *Watcher[S]) next(ctx context.Context) (wqmirror.Batch, error) {
	after := f.AsOf()
	if after == 0 {
		return f.Source.List(ctx)
	}
	wait := f.WatchTimeout
	if f.failures > 0 {
		wait = min(wait, retryWait)
	}
	b, err := f.Source.Watch(ctx, after, wait)
	if errors.Is(err, ErrCompacted) {
		f.Log.Info("source forgot its history", "source", f.Name, "as_of", after, "error", err.Error())
		return f.Source.List(ctx)
	}
	return b, err
}

func (f *Watcher[S]) succeed() {
	if f.failures > 0 {
		f.Log.Info("source answers again", "source", f.Name, "failures", f.failures, "silent_ms", time.Since(f.silentSince).Milliseconds())
	}
	f.failures = 0
	f.OnCall(true)
}

func (f *Watcher[S]) fail(ctx context.Context, err error, began time.Time) {
	if ctx.Err() != nil {
		return
	}
	took := time.Since(began)
	f.failures++
	if f.failures == 1 {
		f.silentSince = began
		f.Log.Warn("source does not answer", "source", f.Name, "as_of", f.AsOf(), "took_ms", took.Milliseconds(), "error", err.Error())
	}
	f.OnCall(false)
	pause := min(firstPause<<min(f.failures-1, 10), mostPause)
	sleep(ctx, max(pause/2+rand.N(pause)-took, rand.N(spread))) // A call that hung was a pause already.
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
