// Package wqlog makes the logger of a process: JSON lines whose rate is bounded
// under any load.
//
// # Usage
//
//	log := wqlog.New(os.Stderr, "vm-1", 5)
//	log.Info("configuration in force", "revision", 7)
//
// Lines below the level of error that exceed the rate are dropped; the next
// line that passes carries their number as "dropped".
package wqlog

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// burstSeconds is how many seconds' worth of lines may come at once.
const burstSeconds = 4

// New returns a logger that writes to w and names the VM in every line.
func New(w io.Writer, vm string, perSecond int) *slog.Logger {
	inner := slog.NewJSONHandler(w, nil)
	h := &handler{inner: inner, shared: &shared{limiter: rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond)}}
	return slog.New(h).With("vm", vm)
}

type shared struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

type handler struct {
	inner  slog.Handler
	shared *shared
}

func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.shared.limiter.Allow() && r.Level < slog.LevelError {
		h.shared.dropped.Add(1)
		return nil
	}
	if n := h.shared.dropped.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64("dropped", n))
	}
	return h.inner.Handle(ctx, r)
}

func (h *handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &handler{inner: h.inner.WithAttrs(attributes), shared: h.shared}
}

func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{inner: h.inner.WithGroup(name), shared: h.shared}
}
