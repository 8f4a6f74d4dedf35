package wqgather_test

import (
	"container/heap"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqlatency"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
)

// estimatedHedgePolicy is the policy of a route's estimator without a limit of extra
// sends. With hedgeAlways it is the policy before unanswered shares counted.
type estimatedHedgePolicy struct {
	*wqlatency.Estimator
	hedgeAlways bool
}

func (p estimatedHedgePolicy) HedgeDelay(unanswered float64) time.Duration {
	if p.hedgeAlways {
		unanswered = 0
	}
	return p.Estimator.HedgeDelay(unanswered)
}

func (estimatedHedgePolicy) TrySpend(time.Time, string) bool { return true }

// step is something that a slow processor has to do: start a send, or handle its
// answer.
type step struct {
	readyAt time.Time
	send    wqgather.Send
	answer  bool
}

type stepQueue []step

func (q stepQueue) Len() int           { return len(q) }
func (q stepQueue) Less(i, j int) bool { return q[i].readyAt.Before(q[j].readyAt) }
func (q stepQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *stepQueue) Push(x any)        { *q = append(*q, x.(step)) }
func (q *stepQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// playSlowVM plays a fan-out to 180 services on a VM whose processor needs stepTime
// for each send and for each answer. The searchers answer after 10 ms. It returns the
// number of sends and the time until the reply.
func playSlowVM(hedgeAlways bool, stepTime time.Duration) (sendCount int, elapsed time.Duration) {
	tr := newTestRequest(180, wqroute.Route{Attempts: 2, Idempotent: true, LeastShare: 0.95})
	start := tr.now
	g := &wqgather.Gather[wqselector.LeastLatency, estimatedHedgePolicy]{
		Route: tr.Route, Services: tr.Services, Random: tr.Random, Picker: tr.Picker, Deadline: start.Add(2 * time.Second),
		HedgePolicy: estimatedHedgePolicy{Estimator: wqlatency.New(100 * time.Millisecond), hedgeAlways: hedgeAlways},
	}
	now := start
	var queue stepQueue
	enqueue := func(sends []wqgather.Send) {
		sendCount += len(sends)
		for _, s := range sends {
			heap.Push(&queue, step{readyAt: now, send: s})
		}
	}
	enqueue(g.Start(now, tr.pools))
	wakeAt := g.NextWake(now)
	for g.State(now) == wqgather.Pending {
		if len(queue) == 0 || wakeAt.Before(queue[0].readyAt) || !now.Before(wakeAt) {
			if now.Before(wakeAt) {
				now = wakeAt
			}
			enqueue(g.Wake(now, tr.pools))
			wakeAt = g.NextWake(now)
			continue
		}
		next := heap.Pop(&queue).(step)
		if next.readyAt.After(now) {
			now = next.readyAt
		}
		now = now.Add(stepTime)
		if !next.answer {
			heap.Push(&queue, step{readyAt: now.Add(10 * time.Millisecond), send: next.send, answer: true})
			continue
		}
		enqueue(g.HandleResult(now, tr.pools, next.send, wqsend.Result{Outcome: wqsend.Answered, Signature: "s"}))
	}
	return sendCount, now.Sub(start)
}

// The load of a hub that has just started, or has little of a core: most services are
// unanswered when the first hedges are due, because of the VM itself. Hedging them all
// then doubles its work and makes the answer later.
func TestBusyVMDoesNotHedgeEverything(t *testing.T) {
	const stepTime = 200 * time.Microsecond
	before, latencyBefore := playSlowVM(true, stepTime)
	after, latency := playSlowVM(false, stepTime)
	must.Greater(t, 270, before)
	must.Less(t, 216, after, must.Sprint("at most a fifth of the sends are extra"))
	must.Less(t, latencyBefore, latency)
}
