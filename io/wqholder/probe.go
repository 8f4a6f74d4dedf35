package wqholder

import (
	"context"
	"sync"
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqtarget"
)

const maxConcurrentProbes = 16

// spareConnections is the number of connections kept open in excess of a share's
// slots.
const spareConnections = 2

// Run updates the queues and connections to the view at each ProbeInterval until
// ctx ends: it opens connections to the held searchers, probes their health, and
// disconnects the others.
func (h *Holder[C, P]) Run(ctx context.Context) {
	ticker := time.NewTicker(h.ProbeInterval)
	defer ticker.Stop()
	for {
		h.probeAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *Holder[C, P]) probeAll(ctx context.Context) {
	v := h.View()
	if v == nil || v.Index == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.ProbeInterval)
	defer cancel()
	semaphore := make(chan struct{}, maxConcurrentProbes)
	var probes sync.WaitGroup
	for i := range v.Index.Topology.Searchers {
		s := &v.Index.Topology.Searchers[i]
		if !h.mayKeepConnections(v, s) {
			continue
		}
		semaphore <- struct{}{}
		probes.Go(func() {
			h.probe(ctx, v, s)
			<-semaphore
		})
	}
	probes.Wait()
	h.disconnectUnused(v)
}

// mayKeepConnections reports whether connections to a searcher may stay open. It
// closes them while this VM may not use its share, since other VMs may use the
// share then.
func (h *Holder[C, P]) mayKeepConnections(v *wqview.View, s *wqtopology.Searcher) bool {
	switch h.sendStatus(v, s.ID, time.Now()) {
	case wqobservation.Answered, wqobservation.Draining:
		return true
	case wqobservation.NotRun:
		if q := h.existingQueue(s.ID); q != nil {
			q.withdrawShare()
			h.Client.SetMaxConnections(s, 0)
		}
	}
	return false
}

// probe opens the missing connections to a held searcher, probes its health, and
// passes the result to its queue.
func (h *Holder[C, P]) probe(ctx context.Context, v *wqview.View, s *wqtopology.Searcher) {
	q := h.queueOf(v, s)
	if q == nil {
		return
	}
	if n := q.wantedConnections(); n > 0 {
		_ = h.Client.Preconnect(ctx, s, n)
	}
	health, err := h.Client.Health(ctx, s)
	if err != nil {
		q.probeFailed(wqtarget.FailureOf(err).Status)
		return
	}
	q.healthReported(time.Now(), health.Incarnation, health.Cold)
	if health.Draining {
		h.reportChange(q, requestEnd{replied: true}, wqobservation.Observation{SearcherID: s.ID, ObservedAt: time.Now(), Status: wqobservation.Draining, Incarnation: health.Incarnation})
	}
}

// disconnectUnused disconnects the searchers that removeUnusedQueues returns.
func (h *Holder[C, P]) disconnectUnused(v *wqview.View) {
	for _, id := range h.removeUnusedQueues(v) {
		h.Client.Disconnect(id)
	}
}

// removeUnusedQueues removes the idle queues of searchers that are not held or whose
// zone is out, and returns the ids of the searchers. They are treated as in cold
// start when they are held again. The caller closes the connections without the
// lock, since each close may call ConnectionLost.
func (h *Holder[C, P]) removeUnusedQueues(v *wqview.View) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var removed []string
	for id, q := range h.queues {
		status := h.sendStatus(v, id, time.Now())
		if (status == wqobservation.NotHolder || status == wqobservation.ZoneOut) && q.idle() {
			q.stop()
			delete(h.queues, id)
			removed = append(removed, id)
		}
	}
	return removed
}
