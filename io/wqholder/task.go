package wqholder

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtarget"
)

// task is one sub-query or write-like request on its way to a searcher.
type task struct {
	fan      *fan
	sub      *wqpb.SubQuery
	write    *writing
	deadline time.Time
	group    atomic.Pointer[group]
	taken    atomic.Bool // taken is true once it is decided whether the task is sent.
	gone     atomic.Bool // gone is true once nobody waits for the result.
	dropped  atomic.Bool // dropped is true once its group was told.
	reported bool        // reported belongs to the goroutine that collects.
}

// result is how a sub-query ended.
type result struct {
	task   *task
	status wqobservation.Status
	answer *wqtarget.Result // answer is nil unless the searcher gave one.
	oldest uint64
	newest uint64
	sent   bool
	after  time.Duration // after is the time from the arrival of the fan.
}

// take decides whether the task is sent; only the first call returns true. The
// sender calls it before sending, and who gives the task up calls it too.
func (t *task) take() bool { return t.taken.CompareAndSwap(false, true) }

// abandon gives the task up, or tells the request that carries it that nobody
// waits for it.
func (t *task) abandon() {
	t.gone.Store(true)
	if t.take() {
		return
	}
	if g := t.group.Load(); g != nil {
		g.drop(t)
	}
}

// refuse ends a task that was not sent.
func (t *task) refuse(status wqobservation.Status) {
	if t.write != nil {
		t.write.finish(refusedWrite(t.write.request, status))
		return
	}
	t.fan.results <- result{task: t, status: status}
}

// group is the tasks that travel in one request.
type group struct {
	tasks  []*task
	live   atomic.Int32
	cancel context.CancelFunc
}

func newGroup(tasks []*task, cancel context.CancelFunc) *group {
	g := &group{tasks: tasks, cancel: cancel}
	g.live.Store(int32(len(tasks)))
	for _, t := range tasks {
		t.group.Store(g)
		if t.gone.Load() {
			g.drop(t)
		}
	}
	return g
}

// drop cancels the request once nobody waits for any of its tasks.
func (g *group) drop(t *task) {
	if t.dropped.Swap(true) {
		return
	}
	if g.live.Add(-1) == 0 {
		g.cancel()
	}
}
