package wqnode

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqcontrol"
	"wisteriaquay/core/wqdrain"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/io/wqstop"
)

// closeReserve is the part of the stop limit that is reserved for closing
// connections and notifying peers.
const closeReserve = time.Second

// closeNoticeDelay is the longest time until a searcher notices that a connection
// was closed.
const closeNoticeDelay = 500 * time.Millisecond

// stop runs the phases of a graceful stop; wqdrain describes them. Its error counts
// the requests that the stop limit aborted.
func (n *Node) stop(ctx context.Context, listeners []*listener) error {
	start := time.Now()
	n.Log.Info("stopping", "limit", n.Settings.Limits.StopLimit.String())
	closeErr := make(chan error, 1)
	s := &wqstop.Stopper{
		Drain: &wqdrain.Drain{
			BalancerLag:  n.Settings.Limits.BalancerLag,
			Timeout:      n.Settings.Limits.StopLimit,
			CloseReserve: closeReserve,
		},
		CountWork: n.countWork,
		OnPhase: func(ctx context.Context, p wqdrain.Phase) {
			if err := n.startPhase(ctx, p, listeners); err != nil {
				closeErr <- err
			}
		},
	}
	err := s.Run(ctx)
	select {
	case failed := <-closeErr:
		err = errors.Join(err, failed)
	default:
	}
	n.Log.Info("stopped", "took", time.Since(start).String(), "error", err)
	return err
}

// countWork counts the work that a stop would abort now.
func (n *Node) countWork() wqdrain.Work {
	return wqdrain.Work{
		Requests:      int(n.callerRequests.Load()),
		SendsInFlight: int(n.peerCalls.Load()) + n.dispatcher.InFlight(),
		Tickets:       n.writer.CountOpen(time.Now()),
	}
}

// startPhase runs the actions of one phase of the stop.
func (n *Node) startPhase(ctx context.Context, p wqdrain.Phase, listeners []*listener) error {
	switch p {
	case wqdrain.Unready:
		n.loop.Post(ctx, message{event: wqcontrol.LeaveRequested{}})
	case wqdrain.Draining:
		n.loop.Post(ctx, message{event: wqcontrol.RefusalRequested{}})
	case wqdrain.Closing:
		return n.close(ctx, listeners)
	}
	return nil
}

// close closes the connections to searchers, then notifies the peers,
// which may use this VM's connection shares from then on, and closes the listeners
// last.
func (n *Node) close(ctx context.Context, listeners []*listener) error {
	n.stopHolding()
	sleep(ctx, closeNoticeDelay)
	reply := make(chan wqmember.Message, 1)
	if n.loop.Post(ctx, message{event: wqcontrol.LeaveFinished{}, reply: reply}) {
		<-reply
		n.heartbeatsInFlight.Wait()
	}
	var failed error
	for _, l := range listeners {
		failed = errors.Join(failed, l.shutdown(ctx))
	}
	return failed
}

// countInFlight keeps inFlight equal to the number of requests in progress.
func countInFlight(inFlight *atomic.Int64, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
