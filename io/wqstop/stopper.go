// Package wqstop carries out a graceful stop: it walks through the phases that
// wqdrain decides, starts the work of each, and wakes on a timer to see whether
// the VM's own work is finished.
//
// # Usage
//
// Wrap the callers' handler, then run the stop once a signal has come:
//
//	handler = wqstop.CloseWhenStopping(handler, stopping)
//	s := &wqstop.Stopper{Drain: drain, Work: work, Enter: enter}
//	err := s.Run(ctx)
//
// Run returns within the drain's limit also when Enter hangs.
package wqstop

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wisteriaquay/core/wqdrain"
	"wisteriaquay/core/wqfault"
)

const lookPeriod = 20 * time.Millisecond // lookPeriod is the time between two counts of the work in progress.

// Stopper carries out one stop. Set the exported fields before Run.
type Stopper struct {
	Drain     *wqdrain.Drain
	CountWork func() wqdrain.Work // CountWork counts what is in progress; it must not block.
	// OnPhase does the work of a phase, on a goroutine of its own that the next
	// phase does not wait for. Closing ends when it returns. Its context ends at
	// the drain's limit.
	OnPhase func(context.Context, wqdrain.Phase)
}

// Run stops the VM and returns when all is done or the limit has passed. It
// returns an Unavailable fault that counts the work which the limit cut, if any.
func (s *Stopper) Run(ctx context.Context) error {
	s.Drain.Begin(time.Now())
	ctx, cancel := context.WithDeadline(ctx, s.Drain.Deadline())
	defer cancel()
	left := make(chan struct{})
	entered := wqdrain.Serving
	for {
		p := s.Drain.Advance(time.Now(), s.CountWork())
		if p == wqdrain.Closed {
			return s.fault()
		}
		for entered < p {
			entered++
			go s.enter(ctx, entered, left)
		}
		if closed := s.wait(left); closed {
			s.Drain.FinishClosing()
		}
	}
}

func (s *Stopper) enter(ctx context.Context, p wqdrain.Phase, left chan struct{}) {
	s.OnPhase(ctx, p)
	if p == wqdrain.Closing {
		close(left)
	}
}

// wait sleeps until the next count of work, and reports true when Closing is
// done.
func (s *Stopper) wait(left chan struct{}) bool {
	t := time.NewTimer(min(lookPeriod, max(time.Until(s.Drain.NextAdvance()), time.Millisecond)))
	defer t.Stop()
	select {
	case <-left:
		return true
	case <-t.C:
		return false
	}
}

func (s *Stopper) fault() error {
	cut := s.Drain.Aborted()
	if cut.Empty() {
		return nil
	}
	message := fmt.Sprintf("the stop cut %d requests, %d sends and %d tickets", cut.Requests, cut.InFlight, cut.Tickets)
	return wqfault.New(wqfault.Unavailable, message, "raise the stop limit or shorten the life of tickets")
}

// CloseWhenStopping makes each answer that ends while stopping is true the last one of
// its connection, so that callers and balancers open their next one elsewhere.
func CloseWhenStopping(h http.Handler, stopping func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
