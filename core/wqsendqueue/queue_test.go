package wqsendqueue_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqsendqueue"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

type queue = wqsendqueue.Queue[int, *wqlimit.AIMD]

func newQueue(slots, coldSlots, batch int) *queue {
	q := wqsendqueue.New[int](&wqlimit.AIMD{}, 32)
	q.SetShare(slots, coldSlots, time.Second, batch)
	return q
}

func at(millis int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

func job(item, deadline int) wqsendqueue.Job[int] {
	return wqsendqueue.Job[int]{Item: item, Deadline: at(deadline)}
}

// warmUp answers requests of 10 ms until the target is warm.
func warmUp(t *testing.T, q *queue) {
	t.Helper()
	for i := range 5 {
		must.True(t, q.Offer(at(0), job(i, 1000)))
		send, _ := q.NextBatch(at(0))
		must.SliceLen(t, 1, send)
		q.Done(at(10), wqsendqueue.Outcome{Started: at(0), Status: wqobservation.Answered, Replied: true, Incarnation: "a"})
	}
	must.False(t, q.Cold())
}

// Guards against lost, doubled or late jobs: each job is sent or refused once,
// within the share and the batch size, and never sent after its deadline.
func TestEachJobIsSentOrRefusedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		batch := rapid.IntRange(1, 4).Draw(t, "batch")
		q := newQueue(slots, rapid.IntRange(0, 2).Draw(t, "cold"), batch)
		open := make(map[int]int)
		inFlight := 0
		for now := range 300 {
			left := rapid.IntRange(0, 60).Draw(t, "left")
			if rapid.Bool().Draw(t, "offer") && q.Offer(at(now), job(now, now+left)) {
				open[now] = now + left
			}
			if inFlight > 0 && rapid.IntRange(0, 2).Draw(t, "done") == 0 {
				inFlight--
				status := rapid.SampledFrom([]wqobservation.Status{wqobservation.Answered, wqobservation.Answered, wqobservation.Shed, wqobservation.Broken}).Draw(t, "status")
				q.Done(at(now), wqsendqueue.Outcome{Started: at(max(now-8, 0)), Status: status, Replied: status != wqobservation.Broken, Incarnation: "a"})
			}
			send, refuse := q.NextBatch(at(now))
			must.LessEq(t, batch, len(send))
			if len(send) > 0 {
				inFlight++
				must.Greater(t, now, open[send[0]])
			}
			for _, item := range append(send, refuse...) {
				must.MapContainsKey(t, open, item)
				delete(open, item)
			}
			must.LessEq(t, slots, inFlight)
			must.EqOp(t, inFlight, q.InFlight())
			must.EqOp(t, len(open), q.Queued())
		}
	})
}

// A job whose expected reply takes more than half of its time left is refused
// on arrival.
func TestOfferRefusesJobWithLongExpectedWait(t *testing.T) {
	q := newQueue(1, 1, 1)
	warmUp(t, q)
	accepted := 0
	for i := range 20 {
		if q.Offer(at(10), job(i, 60)) {
			accepted++
		}
		_, _ = q.NextBatch(at(10))
	}
	must.EqOp(t, 2, accepted)
	must.False(t, q.Offer(at(10), job(20, 15)))
}

// A job that was queued for too long is refused while another replica may still
// answer in time.
func TestQueuedJobIsRefusedBeforeItsDeadline(t *testing.T) {
	q := newQueue(1, 1, 1)
	warmUp(t, q)
	must.True(t, q.Offer(at(10), job(1, 100)))
	must.True(t, q.Offer(at(10), job(2, 100)))
	send, _ := q.NextBatch(at(10))
	must.SliceLen(t, 1, send)
	due, queued := q.NextRefusalTime()
	must.True(t, queued)
	must.EqOp(t, at(85), due)
	_, refuse := q.NextBatch(due)
	must.SliceLen(t, 1, refuse)
}

// A write-like request is never sent in a batch with others.
func TestUnbatchedJobIsSentAlone(t *testing.T) {
	q := newQueue(1, 1, 8)
	unbatched := job(2, 1000)
	unbatched.Unbatched = true
	for _, j := range []wqsendqueue.Job[int]{job(0, 1000), job(1, 1000), unbatched, job(3, 1000)} {
		must.True(t, q.Offer(at(0), j))
	}
	for _, want := range []int{2, 1, 1} {
		send, _ := q.NextBatch(at(0))
		must.SliceLen(t, want, send)
		q.Done(at(1), wqsendqueue.Outcome{Started: at(0), Status: wqobservation.Answered, Replied: true})
	}
}

// After a lost connection a VM without a share of the cold start sends nothing
// and refuses queued jobs immediately.
func TestLostConnectionRefusesJobsWithoutColdShare(t *testing.T) {
	q := newQueue(1, 0, 1)
	q.HealthReported(at(0), "a", false)
	warm := 2000
	must.False(t, q.Offer(at(0), job(0, 100)))
	must.True(t, q.Offer(at(warm), job(0, warm+1000)))
	must.True(t, q.Offer(at(warm), job(1, warm+1000)))
	send, _ := q.NextBatch(at(warm))
	must.SliceLen(t, 1, send)
	q.Done(at(warm+5), wqsendqueue.Outcome{Started: at(warm), Status: wqobservation.Broken})
	send, refuse := q.NextBatch(at(warm + 5))
	must.SliceEmpty(t, send)
	must.SliceLen(t, 1, refuse)
}

// Guards against a target that stays unused after a period of slow answers. A
// single straggler has a bounded effect on the mean latency.
func TestSlowAnswersDoNotBlockIdleTarget(t *testing.T) {
	q := newQueue(1, 1, 1)
	warmUp(t, q)
	for i := range 40 {
		must.True(t, q.Offer(at(0), job(i, 1000)))
		send, _ := q.NextBatch(at(0))
		must.SliceLen(t, 1, send)
		q.Done(at(500), wqsendqueue.Outcome{Started: at(0), Status: wqobservation.Expired})
		if i == 0 {
			must.LessEq(t, 13*time.Millisecond, q.MeanLatency())
		}
	}
	must.Greater(t, 400*time.Millisecond, q.MeanLatency())
	must.True(t, q.Offer(at(1000), job(0, 1050)))
	send, _ := q.NextBatch(at(1000))
	must.SliceLen(t, 1, send)
	must.False(t, q.Offer(at(1000), job(1, 1050)))
}

// A target that sheds all load gets few requests, and its recovery is noticed
// within the maximum backoff.
func TestBackoffFromSheddingTarget(t *testing.T) {
	q := newQueue(2, 1, 1)
	warmUp(t, q)
	requests, recovered := 0, 0
	for now := 100; now < 4000 && recovered == 0; now++ {
		if !q.Offer(at(now), job(now, now+80)) {
			continue
		}
		send, _ := q.NextBatch(at(now))
		must.SliceLen(t, 1, send)
		status := wqobservation.Shed
		if now >= 3000 {
			status = wqobservation.Answered
			recovered = now
		}
		requests++
		q.Done(at(now+1), wqsendqueue.Outcome{Started: at(now), Status: status, Replied: true, Incarnation: "a"})
	}
	must.LessEq(t, 15, requests)
	must.LessEq(t, 3500, recovered)
	must.Positive(t, recovered)
	must.True(t, q.Offer(at(recovered+1), job(0, recovered+100)))
}
