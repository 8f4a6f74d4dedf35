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

// probesAtOnce bounds the health probes that run together.
const probesAtOnce = 16

// spareConnections is how many connections are kept beyond a share's slots.
const spareConnections = 2

// Run keeps the lanes in step with the view until ctx ends: it opens
// connections to searchers newly held, probes the health of the held ones and
// forgets the others.
func (h *Holder[C, P]) Run(ctx context.Context) {
	ticker := time.NewTicker(h.ProbeInterval)
	defer ticker.Stop()
	for {
		h.keep(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *Holder[C, P]) keep(ctx context.Context) {
	v := h.View()
	if v == nil || v.Index == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.ProbeInterval)
	defer cancel()
	places := make(chan struct{}, probesAtOnce)
	var probes sync.WaitGroup
	for i := range v.Index.Topology.Searchers {
		s := &v.Index.Topology.Searchers[i]
		if !h.keeps(v, s) {
			continue
		}
		places <- struct{}{}
		probes.Go(func() {
			h.tend(ctx, v, s)
			<-places
		})
	}
	probes.Wait()
	h.forget(v)
}

// keeps reports whether connections to a searcher may be kept. They close when
// the share may not be used, since other VMs may use it then.
func (h *Holder[C, P]) keeps(v *wqview.View, s *wqtopology.Searcher) bool {
	switch h.check(v, s.ID, time.Now()) {
	case wqobservation.Answered, wqobservation.Draining:
		return true
	case wqobservation.NotRun:
		if l := h.find(s.ID); l != nil {
			l.unset()
			h.Client.SetMaxConnections(s, 0)
		}
	}
	return false
}

// tend probes a held searcher, over as many connections as lack.
func (h *Holder[C, P]) tend(ctx context.Context, v *wqview.View, s *wqtopology.Searcher) {
	l := h.lane(v, s)
	if l == nil {
		return
	}
	if n := l.toWarm(); n > 0 {
		_ = h.Client.Preconnect(ctx, s, n)
	}
	health, err := h.Client.Health(ctx, s)
	if err != nil {
		l.doubt(wqtarget.FailureOf(err).Status)
		return
	}
	l.hint(time.Now(), health.Incarnation, health.Cold)
	if health.Draining {
		h.report(l, ending{replied: true}, wqobservation.Observation{SearcherID: s.ID, ObservedAt: time.Now(), Status: wqobservation.Draining, Incarnation: health.Incarnation})
	}
}

// forget drops the lanes of searchers that may not be sent anything, so that
// they count as cold when they come back.
func (h *Holder[C, P]) forget(v *wqview.View) {
	for _, id := range h.drop(v) {
		h.Client.Disconnect(id)
	}
}

// drop removes these lanes and returns their searchers. The connections are
// closed outside the lock, since each one that closes may call Suspect.
func (h *Holder[C, P]) drop(v *wqview.View) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var dropped []string
	for id, l := range h.lanes {
		status := h.check(v, id, time.Now())
		if (status == wqobservation.NotHolder || status == wqobservation.ZoneOut) && l.idle() {
			l.stop()
			delete(h.lanes, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}
