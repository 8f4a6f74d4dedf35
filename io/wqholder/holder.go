// Package wqholder sends sub-queries and write-like requests to the searchers
// that this VM holds. Each searcher has one send queue, which limits this VM to
// its share of the searcher's slots, connections and cold-start slots.
//
// Whether a task may be sent is checked against the current view when the task
// leaves the queue. So a VM that was paused or isolated does not send tasks queued
// before, after other VMs may have taken over its shares.
//
// # Usage
//
//	holder, closeHolder := wqholder.New(client, func() *wqlimit.AIMD { return &wqlimit.AIMD{} })
//	defer closeHolder()
//	holder.View = node.View
//	holder.ReportObservation = node.ReportObservation
//	go holder.Run(ctx)
//	path, handler := wqpbconnect.NewShardServiceHandler(holder)
//	err := holder.FanOut(ctx, request, func(p *wqpb.FanPart) error { ... })
//	response, err := holder.DispatchWrite(ctx, dispatch)
package wqholder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqtarget"
)

const (
	defaultMaxQueueLength = 1024
	// defaultGatherDelay is short compared to the latency of an answer.
	defaultGatherDelay   = time.Millisecond
	defaultProbeInterval = time.Second
)

// Client sends requests to searchers and manages the connections to them;
// wqtarget.Client implements it.
type Client interface {
	Search(ctx context.Context, s *wqtopology.Searcher, batch []wqtarget.Query) (wqtarget.SearchReply, error)
	Write(ctx context.Context, s *wqtopology.Searcher, w wqtarget.WriteRequest) (wqtarget.WriteReply, error)
	Health(ctx context.Context, s *wqtopology.Searcher) (wqtarget.Health, error)
	Preconnect(ctx context.Context, s *wqtopology.Searcher, n int) error
	SetMaxConnections(s *wqtopology.Searcher, connections int)
	Disconnect(searcherID string)
}

// Holder queues and sends requests to the searchers that this VM holds. Set the
// exported fields before use; all methods are safe for concurrent use.
type Holder[C Client, P wqlimit.Policy] struct {
	Client            C
	NewPolicy         func() P                        // Returns the concurrency policy of one searcher.
	View              func() *wqview.View             // Returns the current view; nil refuses all requests.
	ReportObservation func(wqobservation.Observation) // Receives observations of searchers; must not block.
	MaxQueueLength    int                             // Maximum number of tasks queued for one searcher.
	ProbeInterval     time.Duration                   // Time between two health probes of one searcher.
	GatherDelay       time.Duration                   // How long an answer waits for others to share a FanPart; 0 sends each alone.
	MaxBatch          int                             // Maximum sub-queries per request, besides the searcher's own limit; 0 leaves only the latter.

	mu     sync.RWMutex
	queues map[string]*searcherQueue[P]
	closed atomic.Bool
}

// New returns a Holder and the function that closes it. A closed Holder sends no
// further requests.
func New[C Client, P wqlimit.Policy](client C, newPolicy func() P) (*Holder[C, P], func()) {
	h := &Holder[C, P]{
		Client:            client,
		NewPolicy:         newPolicy,
		View:              func() *wqview.View { return nil },
		ReportObservation: func(wqobservation.Observation) {},
		MaxQueueLength:    defaultMaxQueueLength,
		ProbeInterval:     defaultProbeInterval,
		GatherDelay:       defaultGatherDelay,
		queues:            make(map[string]*searcherQueue[P]),
	}
	return h, h.close
}

// ConnectionLost records that a searcher closed an idle connection and may have
// restarted. It is meant for wqtarget.Client.OnConnectionLost.
func (h *Holder[C, P]) ConnectionLost(searcherID string) {
	if q := h.existingQueue(searcherID); q != nil {
		q.connectionLost()
	}
}

// Queued returns the number of sub-queries and write-like requests that are queued
// for a searcher on this VM.
func (h *Holder[C, P]) Queued(searcherID string) int {
	q := h.existingQueue(searcherID)
	if q == nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Queued()
}

// queueOf returns the queue of a searcher with this VM's current share applied, or
// nil if this VM does not hold the searcher. It creates the queue if needed.
func (h *Holder[C, P]) queueOf(v *wqview.View, s *wqtopology.Searcher) *searcherQueue[P] {
	share, held := v.OwnShare(s.ID)
	if !held {
		return nil
	}
	q := h.existingQueue(s.ID)
	if q == nil {
		q = h.createQueue(s)
	}
	if q.setShare(s, share, h.maxBatch(s)) {
		h.Client.SetMaxConnections(s, share.Connections)
	}
	return q
}

func (h *Holder[C, P]) maxBatch(s *wqtopology.Searcher) int {
	if h.MaxBatch > 0 {
		return min(h.MaxBatch, s.Batch)
	}
	return s.Batch
}

func (h *Holder[C, P]) existingQueue(searcherID string) *searcherQueue[P] {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.queues[searcherID]
}

func (h *Holder[C, P]) createQueue(s *wqtopology.Searcher) *searcherQueue[P] {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[s.ID]
	if q == nil {
		q = newSearcherQueue(h.NewPolicy(), h.MaxQueueLength)
		q.refuseExpired = func() {
			send, refuse := q.nextBatch(time.Now())
			h.startBatch(q, send, refuse)
		}
		h.queues[s.ID] = q
	}
	return q
}

func (h *Holder[C, P]) close() {
	h.closed.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range h.queues {
		q.stop()
	}
}
