package wqholder

import (
	"sync"
	"time"

	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqsendqueue"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// cancelDetectionDelay is how long a searcher may continue to run a cancelled
// request before it detects the cancellation.
const cancelDetectionDelay = 100 * time.Millisecond

// reportInterval is the minimum time between two reports of a searcher that differ
// only in their latency.
const reportInterval = 250 * time.Millisecond

// searcherQueue makes the wqsendqueue.Queue of one searcher safe for concurrent
// use, and sets the timer for tasks that can't be sent in time. Methods that return
// send and refuse return the tasks to send in one request and those to refuse.
type searcherQueue[P wqlimit.Policy] struct {
	mu             sync.Mutex
	queue          *wqsendqueue.Queue[*task, P]
	searcher       *wqtopology.Searcher
	share          wqview.Holder
	maxBatch       int
	refusalTimer   *time.Timer // calls refuseExpired at the queue's NextRefusalTime
	refuseExpired  func()
	lastReport     wqobservation.Observation
	shareWithdrawn bool // the client's limit is 0, so setShare has to report a change
}

func newSearcherQueue[P wqlimit.Policy](policy P, maxQueueLength int) *searcherQueue[P] {
	return &searcherQueue[P]{queue: wqsendqueue.New[*task](policy, maxQueueLength)}
}

// wantedConnections returns the number of connections to keep open: one for each
// slot of the share and spares, since a cancelled request closes its connection and
// a holder without a connection does not detect a restart of the searcher.
func (q *searcherQueue[P]) wantedConnections() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return min(q.share.Slots+spareConnections, q.share.Connections)
}

// withdrawShare makes the next setShare report a change.
func (q *searcherQueue[P]) withdrawShare() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shareWithdrawn = true
}

func (q *searcherQueue[P]) healthReported(now time.Time, incarnation string, cold bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.HealthReported(now, incarnation, cold)
}

// setShare sets this VM's share of the searcher and reports whether it changed.
func (q *searcherQueue[P]) setShare(s *wqtopology.Searcher, share wqview.Holder, maxBatch int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.shareWithdrawn && q.searcher == s && q.share == share && q.maxBatch == maxBatch {
		return false
	}
	q.searcher, q.share, q.maxBatch = s, share, maxBatch
	q.shareWithdrawn = false
	slots := min(share.Slots, share.Connections)
	q.queue.SetShare(slots, share.ColdSlots, time.Duration(s.WarmMillis)*time.Millisecond, maxBatch)
	return true
}

// probeFailed records a lost connection, hence a possible restart, if a failed
// health probe has such a status.
func (q *searcherQueue[P]) probeFailed(status wqobservation.Status) {
	if status == wqobservation.Unreachable || status == wqobservation.Broken {
		q.connectionLost()
	}
}

func (q *searcherQueue[P]) connectionLost() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.ConnectionLost()
}

// enqueue queues a task. accepted is false if the queue has no room for it.
func (q *searcherQueue[P]) enqueue(now time.Time, t *task) (accepted bool, send, refuse []*task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.queue.Offer(now, wqsendqueue.Job[*task]{Item: t, Deadline: t.deadline, Unbatched: t.write != nil}) {
		return false, nil, nil
	}
	send, refuse = q.nextBatchLocked(now)
	return true, send, refuse
}

// requestEnded releases the slot of a request that ended.
func (q *searcherQueue[P]) requestEnded(now time.Time, o wqsendqueue.Outcome) (send, refuse []*task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Done(now, o)
	return q.nextBatchLocked(now)
}

// delayAfterCancel waits before the slot of a cancelled request is released, until
// the searcher has detected the cancellation: a searcher in cold start fails under
// the load of another request before that.
func (q *searcherQueue[P]) delayAfterCancel(e requestEnd) {
	if e.status == wqobservation.Expired && e.maybeSent && q.inColdStart() {
		time.Sleep(cancelDetectionDelay)
	}
}

func (q *searcherQueue[P]) inColdStart() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Cold()
}

// releaseUnused releases a slot on which no request was sent.
func (q *searcherQueue[P]) releaseUnused(now time.Time) (send, refuse []*task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Cancel()
	return q.nextBatchLocked(now)
}

// nextBatch is called by the refusal timer.
func (q *searcherQueue[P]) nextBatch(now time.Time) (send, refuse []*task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.nextBatchLocked(now)
}

// nextBatchLocked requires mu and sets the refusal timer again.
func (q *searcherQueue[P]) nextBatchLocked(now time.Time) (send, refuse []*task) {
	send, refuse = q.queue.NextBatch(now)
	at, queued := q.queue.NextRefusalTime()
	if queued {
		q.scheduleRefusal(now, at)
	}
	return send, refuse
}

func (q *searcherQueue[P]) scheduleRefusal(now, at time.Time) {
	if q.refusalTimer == nil {
		q.refusalTimer = time.AfterFunc(at.Sub(now), q.refuseExpired)
		return
	}
	q.refusalTimer.Reset(at.Sub(now))
}

func (q *searcherQueue[P]) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refusalTimer != nil {
		q.refusalTimer.Stop()
	}
}

// idle reports whether nothing is queued or in flight.
func (q *searcherQueue[P]) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Queued() == 0 && q.queue.InFlight() == 0
}

// shouldReport reports whether o differs from the last report in more than time and
// latency, or was observed at least reportInterval after it. If so, o becomes the
// last report.
func (q *searcherQueue[P]) shouldReport(o wqobservation.Observation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	lastReport := q.lastReport
	recent := o.ObservedAt.Sub(lastReport.ObservedAt) < reportInterval
	lastReport.ObservedAt, lastReport.Latency = o.ObservedAt, o.Latency
	if recent && lastReport == o {
		return false
	}
	q.lastReport = o
	return true
}
