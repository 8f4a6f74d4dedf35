// Package wqlistwatch follows a source of items, the platform's store or a peer, and
// hands what is new to the control goroutine.
//
// # Usage
//
//	f := &wqlistwatch.Feed[*store]{Name: "store", Source: s, AsOf: asOf, Deliver: deliver, Wait: 4 * time.Second, Log: log}
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

// ErrForgotten says that a source can't give the changes that were asked for.
var ErrForgotten = errors.New("the source has forgotten the changes since that revision; list it whole")

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

// Feed follows one source. Set the exported fields before Run.
type Feed[S Source] struct {
	Name    string
	Source  S
	AsOf    func() uint64                         // AsOf returns the revision up to which all is known; 0 is nothing.
	Deliver func(context.Context, wqmirror.Batch) // Deliver takes a batch; it returns once AsOf includes it.
	Wait    time.Duration                         // Wait is how long one watch waits for changes, and so how long a source may hang unnoticed.
	Await   func(context.Context)                 // Await returns when the source is to be asked; it is called before each call.
	Rest    time.Duration                         // Rest is the time between a change and the next watch, so that several are read in one call.
	Reached func(bool)                            // Reached is told whether the latest call was answered.
	Log     *slog.Logger

	failures    int
	silentSince time.Time // silentSince is when the first of the failed calls began.
}

// Run follows the source until ctx ends.
func (f *Feed[S]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.Await(ctx)
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
			sleep(ctx, f.Rest)
		}
	}
}

// next returns the next batch, which is empty when nothing changed.
func (f *Feed[S]) next(ctx context.Context) (wqmirror.Batch, error) {
	after := f.AsOf()
	if after == 0 {
		return f.Source.List(ctx)
	}
	wait := f.Wait
	if f.failures > 0 {
		wait = min(wait, retryWait)
	}
	b, err := f.Source.Watch(ctx, after, wait)
	if errors.Is(err, ErrForgotten) {
		f.Log.Info("source forgot its history", "source", f.Name, "as_of", after, "error", err.Error())
		return f.Source.List(ctx)
	}
	return b, err
}

func (f *Feed[S]) succeed() {
	if f.failures > 0 {
		f.Log.Info("source answers again", "source", f.Name, "failures", f.failures, "silent_ms", time.Since(f.silentSince).Milliseconds())
	}
	f.failures = 0
	f.Reached(true)
}

func (f *Feed[S]) fail(ctx context.Context, err error, began time.Time) {
	if ctx.Err() != nil {
		return
	}
	took := time.Since(began)
	f.failures++
	if f.failures == 1 {
		f.silentSince = began
		f.Log.Warn("source does not answer", "source", f.Name, "as_of", f.AsOf(), "took_ms", took.Milliseconds(), "error", err.Error())
	}
	f.Reached(false)
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
