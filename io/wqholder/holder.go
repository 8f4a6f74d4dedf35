// Package wqholder sends sub-queries and write-like requests to the searchers
// that this VM holds. Every searcher has one lane, which keeps this VM within
// its share of the searcher's slots, connections and cold start.
//
// Whether something may be sent is decided when it leaves the queue, against
// the view of that moment: a VM that was paused, or cut off, sends none of its
// old work.
//
// # Usage
//
//	holder, closeHolder := wqholder.New(client, func() *wqlimit.AIMD { return &wqlimit.AIMD{} })
//	defer closeHolder()
//	holder.View = node.View
//	holder.Report = node.Report
//	go holder.Run(ctx)
//	path, handler := wqpbconnect.NewShardServiceHandler(holder)
//	err := holder.FanTo(ctx, request, func(p *wqpb.FanPart) error { ... })
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
	// defaultQueueLength bounds the jobs that wait for one searcher.
	defaultQueueLength = 1024
	// defaultGather is short beside the time of an answer.
	defaultGather = time.Millisecond
	// defaultProbeEvery spaces the health probes of one searcher.
	defaultProbeEvery = time.Second
)

// Client is what a Holder needs to reach searchers; see wqtarget.Client.
type Client interface {
	Search(ctx context.Context, s *wqtopology.Searcher, batch []wqtarget.Query) (wqtarget.SearchReply, error)
	Write(ctx context.Context, s *wqtopology.Searcher, w wqtarget.WriteRequest) (wqtarget.WriteReply, error)
	Health(ctx context.Context, s *wqtopology.Searcher) (wqtarget.Health, error)
	Preconnect(ctx context.Context, s *wqtopology.Searcher, n int) error
	SetMaxConnections(s *wqtopology.Searcher, connections int)
	Disconnect(searcherID string)
}

// Holder is this VM's way to the searchers that it holds. Set the exported
// fields before use; all methods are safe for concurrent use.
type Holder[C Client, P wqlimit.Policy] struct {
	Client         C
	NewPolicy      func() P                        // NewPolicy makes the concurrency policy of one searcher.
	View           func() *wqview.View             // View returns the control state of this moment.
	Report         func(wqobservation.Observation) // Report takes what was observed; it must not block.
	MaxQueueLength int                             // MaxQueueLength bounds the jobs that wait for one searcher.
	ProbeInterval  time.Duration                   // ProbeInterval spaces the health probes of one searcher.
	GatherDelay    time.Duration                   // GatherDelay is how long an answer waits for others to travel in one part with; 0 sends each at once.
	MaxBatch       int                             // MaxBatch bounds the sub-queries of one request under the searcher's own bound; 0 sets no bound.

	mu     sync.RWMutex
	lanes  map[string]*lane[P]
	closed atomic.Bool // closed is true once the holder takes no work any more.
}

// New returns a Holder and the function that ends it: it takes no work from then
// on.
func New[C Client, P wqlimit.Policy](client C, policy func() P) (*Holder[C, P], func()) {
	h := &Holder[C, P]{
		Client:         client,
		NewPolicy:      policy,
		View:           func() *wqview.View { return nil },
		Report:         func(wqobservation.Observation) {},
		MaxQueueLength: defaultQueueLength,
		ProbeInterval:  defaultProbeEvery,
		GatherDelay:    defaultGather,
		lanes:          make(map[string]*lane[P]),
	}
	return h, h.close
}

// ConnectionLost notes that a searcher closed an idle connection: it may have
// restarted. Give it to the client as Lost.
func (h *Holder[C, P]) ConnectionLost(searcherID string) {
	if l := h.find(searcherID); l != nil {
		l.suspect()
	}
}

// Queued returns how many sub-queries and write-like requests wait for a
// searcher on this VM.
func (h *Holder[C, P]) Queued(searcherID string) int {
	l := h.find(searcherID)
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Queued()
}

// lane returns the lane of a searcher that this VM holds, or nil.
func (h *Holder[C, P]) lane(v *wqview.View, s *wqtopology.Searcher) *lane[P] {
	share, held := v.OwnShare(s.ID)
	if !held {
		return nil
	}
	l := h.find(s.ID)
	if l == nil {
		l = h.makeLane(s)
	}
	if l.setShare(s, share, h.batch(s)) {
		h.Client.SetMaxConnections(s, share.Connections)
	}
	return l
}

func (h *Holder[C, P]) batch(s *wqtopology.Searcher) int {
	if h.MaxBatch > 0 {
		return min(h.MaxBatch, s.Batch)
	}
	return s.Batch
}

func (h *Holder[C, P]) find(searcherID string) *lane[P] {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.lanes[searcherID]
}

func (h *Holder[C, P]) makeLane(s *wqtopology.Searcher) *lane[P] {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.lanes[s.ID]
	if l == nil {
		l = newLane(h.NewPolicy(), h.MaxQueueLength)
		l.expire = func() {
			send, refuse := l.wake(time.Now())
			h.proceed(l, send, refuse)
		}
		h.lanes[s.ID] = l
	}
	return l
}

func (h *Holder[C, P]) close() {
	h.closed.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.lanes {
		l.stop()
	}
}
