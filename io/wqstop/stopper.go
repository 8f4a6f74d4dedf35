// Package wqstop runs a graceful stop of a process. wqdrain decides when each
// phase begins; a Stopper starts the actions of each phase and polls the number
// of requests in progress.
//
// # Usage
//
// Wrap the callers' handler at the start, and run the stop at a signal:
//
//	handler = wqstop.CloseWhenStopping(handler, stopping)
//	s := &wqstop.Stopper{Drain: drain, CountWork: countWork, OnPhase: onPhase}
//	err := s.Run(ctx)
//
// Run returns by the drain's deadline even when OnPhase hangs.
package wqstop

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wisteriaquay/core/wqdrain"
	"wisteriaquay/core/wqfault"
)

const workPollInterval = 20 * time.Millisecond // workPollInterval is the maximal time between two calls of CountWork.

// Stopper runs one graceful stop. Set the exported fields before Run.
type Stopper struct {
	Drain     *wqdrain.Drain
	CountWork func() wqdrain.Work // CountWork counts the work in progress; it must not block.
	// OnPhase runs the actions of a phase, on a goroutine of its own. The next phase
	// does not wait for it, except that Closing ends when it returns. Its context
	// ends at the drain's deadline.
	OnPhase func(context.Context, wqdrain.Phase)
}

// Run runs the stop to its end, at the latest to the drain's deadline. It returns
// nil, or an Unavailable fault that counts the work that the deadline aborted.
func (s *Stopper) Run(ctx context.Context) error {
	s.Drain.Begin(time.Now())
	ctx, cancel := context.WithDeadline(ctx, s.Drain.Deadline())
	defer cancel()
	closingDone := make(chan struct{})
	started := wqdrain.Serving
	for {
		p := s.Drain.Advance(time.Now(), s.CountWork())
		if p == wqdrain.Closed {
			return s.abortedFault()
		}
		for started < p {
			started++
			if started == wqdrain.Ending && p > wqdrain.Ending && s.Drain.Aborted().Empty() {
				continue // All work ended before.
			}
			go s.runPhase(ctx, started, closingDone)
		}
		if closed := s.awaitNextCheck(closingDone); closed {
			s.Drain.FinishClosing()
		}
	}
}

func (s *Stopper) runPhase(ctx context.Context, p wqdrain.Phase, closingDone chan struct{}) {
	s.OnPhase(ctx, p)
	if p == wqdrain.Closing {
		close(closingDone)
	}
}

// awaitNextCheck blocks until the drain has to be checked again. It returns true as
// soon as the actions of Closing have ended.
func (s *Stopper) awaitNextCheck(closingDone chan struct{}) bool {
	t := time.NewTimer(min(workPollInterval, max(time.Until(s.Drain.NextAdvance()), time.Millisecond)))
	defer t.Stop()
	select {
	case <-closingDone:
		return true
	case <-t.C:
		return false
	}
}

func (s *Stopper) abortedFault() error {
	aborted := s.Drain.Aborted()
	if aborted.Empty() {
		return nil
	}
	message := fmt.Sprintf("the stop aborted %d requests, %d sends and %d tickets", aborted.Requests, aborted.SendsInFlight, aborted.Tickets)
	return wqfault.New(wqfault.Unavailable, message, "raise the stop limit or shorten the lifetime of tickets")
}

// CloseWhenStopping closes the connection after each request that arrives while
// stopping returns true, so that callers and balancers connect to another VM.
func CloseWhenStopping(h http.Handler, stopping func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
