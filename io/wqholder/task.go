package wqholder

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtarget"
)

// task is one sub-query or write-like request, queued or in flight.
type task struct {
	fanOut     *fanOut
	sub        *wqpb.SubQuery
	write      *pendingWrite
	deadline   time.Time
	group      atomic.Pointer[requestGroup]
	claimed    atomic.Bool // set by claim: sent, or never to be sent
	abandoned  atomic.Bool // the caller no longer waits for the result
	countedOut atomic.Bool // no longer counted in requestGroup.waiting
	hasResult  bool        // used only by the goroutine of fanOut.sendResults
}

// result is the end of one sub-query.
type result struct {
	task           *task
	status         wqobservation.Status
	answer         *wqtarget.Result // nil if the searcher did not answer
	oldestSnapshot uint64
	newestSnapshot uint64
	maybeSent      bool
	elapsed        time.Duration // from the arrival of the FanRequest to the result
}

// claim returns true on its first call only. The sender claims a task before
// sending it; a caller that abandons the task claims it to prevent sending.
func (t *task) claim() bool { return t.claimed.CompareAndSwap(false, true) }

// abandon prevents the task from being sent. If it was sent already, the request is
// cancelled once all its tasks are abandoned.
func (t *task) abandon() {
	t.abandoned.Store(true)
	if t.claim() {
		return
	}
	if g := t.group.Load(); g != nil {
		g.taskAbandoned(t)
	}
}

// refuse ends a task that was not sent.
func (t *task) refuse(status wqobservation.Status) {
	if t.write != nil {
		t.write.respond(notRunResponse(t.write.request, status))
		return
	}
	t.fanOut.results <- result{task: t, status: status}
}

// requestGroup holds the tasks of several fan-outs that share one request.
type requestGroup struct {
	tasks   []*task
	waiting atomic.Int32
	cancel  context.CancelFunc
}

func newRequestGroup(tasks []*task, cancel context.CancelFunc) *requestGroup {
	g := &requestGroup{tasks: tasks, cancel: cancel}
	g.waiting.Store(int32(len(tasks)))
	for _, t := range tasks {
		t.group.Store(g)
		if t.abandoned.Load() {
			g.taskAbandoned(t)
		}
	}
	return g
}

// taskAbandoned cancels the request once all its tasks are abandoned.
func (g *requestGroup) taskAbandoned(t *task) {
	if t.countedOut.Swap(true) {
		return
	}
	if g.waiting.Add(-1) == 0 {
		g.cancel()
	}
}
