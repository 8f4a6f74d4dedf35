package wqgather_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqlatency"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
)

// pausingSearchers answer after a log-normal service time, one in a hundred five times
// as late, and stop for a while at regular times, each at its own.
type pausingSearchers struct {
	random    *rand.Rand
	mean      time.Duration
	pause     time.Duration
	interval  time.Duration // from the start of one pause to that of the next
	pauseFrom map[string]time.Duration
}

// latency returns the time from a send at a time until its answer.
func (p *pausingSearchers) latency(at time.Time, searcherID string) time.Duration {
	from, ok := p.pauseFrom[searcherID]
	if !ok {
		from = time.Duration(p.random.Int64N(int64(p.interval)))
		p.pauseFrom[searcherID] = from
	}
	const spread = 0.35
	service := time.Duration(float64(p.mean) * math.Exp(spread*p.random.NormFloat64()-spread*spread/2))
	if p.random.IntN(100) == 0 {
		service *= 5
	}
	sincePause := (time.Duration(at.UnixNano()) + p.interval - from) % p.interval
	switch {
	case sincePause < p.pause:
		return p.pause - sincePause + service
	case sincePause+service > p.interval: // The pause begins while the request runs.
		return service + p.pause
	}
	return service
}

// playUrgentFanOuts plays fan-outs to 90 services, 7 a second as at one of several hubs,
// and returns the mean share of services that have answered at partialAfter, after some
// to warm up. The VM takes 100 us for each send and each answer, and a hedge mostly goes
// out on a new connection, which takes 6 ms.
func playUrgentFanOuts(objective, partialAfter time.Duration) float64 {
	const services, fanOuts = 90, 240
	const stepTime = 100 * time.Microsecond
	tr := newTestRequest(services, wqroute.Route{Attempts: 2, Idempotent: true, LeastShare: 0.85})
	random := rand.New(rand.NewPCG(1, 2))
	searchers := &pausingSearchers{random: random, mean: 8 * time.Millisecond, pause: 200 * time.Millisecond, interval: 4500 * time.Millisecond, pauseFrom: make(map[string]time.Duration)}
	estimator := wqlatency.New(objective)
	tracker := wqselector.New()
	sum, counted := 0.0, 0
	for n := range fanOuts {
		now := tr.now.Add(time.Duration(n) * 140 * time.Millisecond)
		g := &wqgather.Gather[wqselector.LeastLatency, estimatedHedgePolicy]{
			Route: tr.Route, Services: tr.Services, Random: random.Uint64, Picker: wqselector.LeastLatency{Tracker: tracker, Zone: "a"},
			Deadline: now.Add(600 * time.Millisecond), PartialAfter: now.Add(partialAfter), HedgePolicy: estimatedHedgePolicy{Estimator: estimator},
		}
		share := playFanOut(g, now, tr, searchers, estimator, tracker, stepTime)
		if n >= 40 {
			sum, counted = sum+share, counted+1
		}
	}
	return sum / float64(counted)
}

const connectTime = 6 * time.Millisecond

// playFanOut plays one fan-out until its reply and returns the share of services that
// answered.
func playFanOut(g *wqgather.Gather[wqselector.LeastLatency, estimatedHedgePolicy], now time.Time, tr *testRequest, p *pausingSearchers,
	estimator *wqlatency.Estimator, tracker *wqselector.Tracker, stepTime time.Duration,
) float64 {
	var queue stepQueue
	sentAt, inFlight := map[int]time.Time{}, map[int]*wqselector.Request{}
	enqueue := func(sends []wqgather.Send) {
		for _, s := range sends {
			heap.Push(&queue, step{readyAt: now, send: s})
			sentAt[s.ID], inFlight[s.ID] = now, tracker.Start(now, s.Target.Searcher.ID)
		}
	}
	enqueue(g.Start(now, tr.pools))
	for g.State(now) == wqgather.Pending {
		wakeAt := g.NextWake(now)
		if len(queue) == 0 || wakeAt.Before(queue[0].readyAt) {
			now = wakeAt
			enqueue(g.Wake(now, tr.pools))
			continue
		}
		next := heap.Pop(&queue).(step)
		if next.readyAt.After(now) {
			now = next.readyAt
		}
		now = now.Add(stepTime)
		if !next.answer {
			sentAt := now
			if next.send.Extra {
				sentAt = now.Add(connectTime)
			}
			heap.Push(&queue, step{readyAt: sentAt.Add(p.latency(sentAt, next.send.Target.Searcher.ID)), send: next.send, answer: true})
			continue
		}
		if r := inFlight[next.send.ID]; r != nil {
			estimator.Observe(now, now.Sub(sentAt[next.send.ID]))
			r.Done(now, wqsend.Answered, estimator.MeanLatency())
			delete(inFlight, next.send.ID)
			enqueue(g.HandleResult(now, tr.pools, next.send, wqsend.Result{Outcome: wqsend.Answered, Signature: "s"}))
		}
	}
	answered := 0
	for i := range g.Services {
		if g.Answered(i) {
			answered++
		}
	}
	for id, r := range inFlight {
		estimator.ObserveAbandoned(now, now.Sub(sentAt[id]))
		r.Done(now, wqsend.Cancelled, estimator.MeanLatency())
	}
	return float64(answered) / float64(len(g.Services))
}

// The load of an urgent search: an objective of 60 ms over 90 shards whose searchers stop
// for 200 ms each 4.5 s, so that four of them stand still at any time. Guards against
// hedges that are sent too late to be in the answer: the callers got 97.4% of the shards
// on the average when a hedge could wait for 0.45 of the objective.
func TestUrgentFanOutGetsItsHedgesInTime(t *testing.T) {
	share := playUrgentFanOuts(60*time.Millisecond, 40*time.Millisecond)
	must.Greater(t, 0.985, share)
}
