package wqlistwatch_test

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmirror"
	"wisteriaquay/io/wqlistwatch"
)

// source fails its first calls, then lists, then forgets, then has one change.
type source struct {
	calls *[]string
	stop  context.CancelFunc
}

func (s source) note(call string) int {
	*s.calls = append(*s.calls, call)
	return len(*s.calls)
}

func (s source) List(context.Context) (wqmirror.Batch, error) {
	if s.note("list") <= 2 {
		return wqmirror.Batch{}, errors.New("down")
	}
	return wqmirror.Batch{Full: true, AsOf: 5}, nil
}

func (s source) Watch(_ context.Context, after uint64, _ time.Duration) (wqmirror.Batch, error) {
	if s.note("watch") == 4 {
		return wqmirror.Batch{}, wqlistwatch.ErrCompacted
	}
	s.stop()
	return wqmirror.Batch{Items: []wqmirror.Item{{Key: "k", Revision: after + 1}}, AsOf: after + 1}, nil
}

func TestFeedListsWhatItCannotWatch(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	var calls []string
	var asOf atomic.Uint64
	reached := make(map[bool]int)
	f := &wqlistwatch.Watcher[source]{
		Name: "test", Source: source{&calls, stop}, AsOf: asOf.Load, AwaitTurn: func(context.Context) {},
		Deliver: func(_ context.Context, b wqmirror.Batch) { asOf.Store(b.AsOf) },
		OnCall:  func(ok bool) { reached[ok]++ }, Log: slog.New(slog.DiscardHandler),
	}
	f.Run(ctx)
	must.Eq(t, []string{"list", "list", "list", "watch", "list", "watch"}, calls)
	must.Eq(t, 6, asOf.Load())
	must.Eq(t, 2, reached[false])
}
