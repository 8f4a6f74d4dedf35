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

// stopReserve is the part of the stop limit that is kept for closing
// connections and telling peers.
const stopReserve = time.Second

// closeLag is how long a searcher may take to notice that a connection closed.
const closeLag = 500 * time.Millisecond

// stop ends the VM gracefully, see wqdrain.
func (n *Node) stop(ctx context.Context, listeners []*listener) error {
	start := time.Now()
	n.Log.Info("stopping", "limit", n.Settings.Limits.StopLimit.String())
	closed := make(chan error, 1)
	s := &wqstop.Stopper{
		Drain: &wqdrain.Drain{
			BalancerLag:  n.Settings.Limits.BalancerLag,
			Timeout:      n.Settings.Limits.StopLimit,
			CloseReserve: stopReserve,
		},
		CountWork: n.work,
		OnPhase: func(ctx context.Context, p wqdrain.Phase) {
			if err := n.enter(ctx, p, listeners); err != nil {
				closed <- err
			}
		},
	}
	err := s.Run(ctx)
	select {
	case failed := <-closed:
		err = errors.Join(err, failed)
	default:
	}
	n.Log.Info("stopped", "took", time.Since(start).String(), "error", err)
	return err
}

// work counts what a stop would cut.
func (n *Node) work() wqdrain.Work {
	return wqdrain.Work{
		Requests: int(n.requests.Load()),
		InFlight: int(n.sends.Load()) + n.gate.InFlight(),
		Tickets:  n.writer.CountOpen(time.Now()),
	}
}

// enter does the work of one phase of the stop.
func (n *Node) enter(ctx context.Context, p wqdrain.Phase, listeners []*listener) error {
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

// close ends the connections to searchers, then says goodbye to the peers, which
// may use this VM's shares from then on, and ends the listeners.
func (n *Node) close(ctx context.Context, listeners []*listener) error {
	n.endHolding()
	wait(ctx, closeLag)
	said := make(chan wqmember.Message, 1)
	if n.loop.Post(ctx, message{event: wqcontrol.LeaveFinished{}, reply: said}) {
		<-said
		n.delivering.Wait()
	}
	var failed error
	for _, l := range listeners {
		failed = errors.Join(failed, l.stop(ctx))
	}
	return failed
}

// counted keeps the number of calls in progress.
func counted(calls *atomic.Int64, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		defer calls.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
