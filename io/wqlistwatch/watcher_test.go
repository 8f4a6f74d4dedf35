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

// source fails its first two lists; its first watch finds the history compacted,
// its second one a restored source, its third one returns a change and ends the test.
type source struct {
	calls *[]string
	stop  context.CancelFunc
}

// record logs a call and returns the number of calls so far.
func (s source) record(call string) int {
	*s.calls = append(*s.calls, call)
	return len(*s.calls)
}

func (s source) List(context.Context) (wqmirror.Batch, error) {
	if s.record("list") <= 2 {
		return wqmirror.Batch{}, errors.New("down")
	}
	return wqmirror.Batch{Full: true, StoreRevision: 5}, nil
}

func (s source) Watch(_ context.Context, afterRevision uint64, _ time.Duration) (wqmirror.Batch, error) {
	switch s.record("watch") {
	case 4:
		return wqmirror.Batch{}, wqlistwatch.ErrCompacted
	case 6:
		return wqmirror.Batch{}, wqlistwatch.ErrRestored
	}
	s.stop()
	return wqmirror.Batch{Items: []wqmirror.Item{{Key: "k", Revision: afterRevision + 1}}, StoreRevision: afterRevision + 1}, nil
}

func TestWatcherListsWhenItCannotWatch(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	var calls []string
	var storeRevision atomic.Uint64
	outcomes := make(map[bool]int)
	w := &wqlistwatch.Watcher[source]{
		Name: "test", Source: source{&calls, stop}, StoreRevision: storeRevision.Load, AwaitTurn: func(context.Context) {},
		Deliver:    func(_ context.Context, b wqmirror.Batch) { storeRevision.Store(b.StoreRevision) },
		OnCallDone: func(ok bool) { outcomes[ok]++ }, Log: slog.New(slog.DiscardHandler),
	}
	w.Run(ctx)
	must.Eq(t, []string{"list", "list", "list", "watch", "list", "watch", "list", "watch"}, calls)
	must.Eq(t, 6, storeRevision.Load())
	must.Eq(t, 2, outcomes[false])
}
