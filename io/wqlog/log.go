// Package wqlog creates the logger of a process. It writes JSON lines and limits
// their rate.
//
// # Usage
//
//	log := wqlog.New(os.Stderr, "vm-1", 5)
//	log.Info("configuration in force", "revision", 7)
//
// Lines over the rate are dropped unless their level is error or higher. The next
// line that is written has their number in its field "dropped".
package wqlog

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// burstSeconds is the burst size of the rate limit, in seconds at the full rate.
const burstSeconds = 4

// New returns a logger that writes to w. Each line has the field "vm". perSecond is
// the rate limit in lines per second.
func New(w io.Writer, vm string, perSecond int) *slog.Logger {
	inner := slog.NewJSONHandler(w, nil)
	h := &handler{inner: inner, rateState: &rateState{limiter: rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond)}}
	return slog.New(h).With("vm", vm)
}

// rateState is shared by all handlers that derive from one logger.
type rateState struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

type handler struct {
	inner     slog.Handler
	rateState *rateState
}

func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.rateState.limiter.Allow() && r.Level < slog.LevelError {
		h.rateState.dropped.Add(1)
		return nil
	}
	if n := h.rateState.dropped.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64("dropped", n))
	}
	return h.inner.Handle(ctx, r)
}

func (h *handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &handler{inner: h.inner.WithAttrs(attributes), rateState: h.rateState}
}

func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{inner: h.inner.WithGroup(name), rateState: h.rateState}
}
