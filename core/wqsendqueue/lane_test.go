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

type lane = wqsendqueue.Queue[int, *wqlimit.AIMD]

func newLane(slots, coldSlots, batch int) *lane {
	l := wqsendqueue.New[int](&wqlimit.AIMD{}, 32)
	l.SetShare(slots, coldSlots, time.Second, batch)
	return l
}

func at(millis int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

func job(item, deadline int) wqsendqueue.Job[int] {
	return wqsendqueue.Job[int]{Item: item, Deadline: at(deadline)}
}

// warmUp answers requests of 10 ms until the target is warm.
func warmUp(t *testing.T, l *lane) {
	t.Helper()
	for i := range 5 {
		must.True(t, l.Offer(at(0), job(i, 1000)))
		send, _ := l.NextBatch(at(0))
		must.SliceLen(t, 1, send)
		l.Done(at(10), wqsendqueue.Outcome{Started: at(0), Status: wqobservation.Answered, Replied: true, Incarnation: "a"})
	}
	must.False(t, l.Cold())
}

// Every job is sent or refused once, in requests within the share and the
// batch, and never after its deadline.
func TestLaneKeepsSharesAndJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		batch := rapid.IntRange(1, 4).Draw(t, "batch")
		l := newLane(slots, rapid.IntRange(0, 2).Draw(t, "cold"), batch)
		open := make(map[int]int)
		inFlight := 0
		for now := range 300 {
			left := rapid.IntRange(0, 60).Draw(t, "left")
			if rapid.Bool().Draw(t, "offer") && l.Offer(at(now), job(now, now+left)) {
				open[now] = now + left
			}
			if inFlight > 0 && rapid.IntRange(0, 2).Draw(t, "done") == 0 {
				inFlight--
				status := rapid.SampledFrom([]wqobservation.Status{wqobservation.Answered, wqobservation.Answered, wqobservation.Shed, wqobservation.Broken}).Draw(t, "status")
				l.Done(at(now), wqsendqueue.Outcome{Started: at(max(now-8, 0)), Status: status, Replied: status != wqobservation.Broken, Incarnation: "a"})
			}
			send, refuse := l.NextBatch(at(now))
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
			must.EqOp(t, inFlight, l.InFlight())
			must.EqOp(t, len(open), l.Queued())
		}
	})
}

// A job that the queue ahead would keep for over half of its time is refused on
// arrival.
func TestLaneRefusesEarly(t *testing.T) {
	l := newLane(1, 1, 1)
	warmUp(t, l)
	accepted := 0
	for i := range 20 {
		if l.Offer(at(10), job(i, 60)) {
			accepted++
		}
		_, _ = l.NextBatch(at(10))
	}
	must.EqOp(t, 2, accepted)
	must.False(t, l.Offer(at(10), job(20, 15)))
}

// A job that waited too long is refused before its deadline, while another
// replica may still answer.
func TestLaneRefusesHopelessWork(t *testing.T) {
	l := newLane(1, 1, 1)
	warmUp(t, l)
	must.True(t, l.Offer(at(10), job(1, 100)))
	must.True(t, l.Offer(at(10), job(2, 100)))
	send, _ := l.NextBatch(at(10))
	must.SliceLen(t, 1, send)
	due, queued := l.NextRefusalTime()
	must.True(t, queued)
	must.EqOp(t, at(85), due)
	_, refuse := l.NextBatch(due)
	must.SliceLen(t, 1, refuse)
}

// A write-like request never shares a request with others.
func TestLaneSendsAlone(t *testing.T) {
	l := newLane(1, 1, 8)
	alone := job(2, 1000)
	alone.Unbatched = true
	for _, j := range []wqsendqueue.Job[int]{job(0, 1000), job(1, 1000), alone, job(3, 1000)} {
		must.True(t, l.Offer(at(0), j))
	}
	for _, want := range []int{2, 1, 1} {
		send, _ := l.NextBatch(at(0))
		must.SliceLen(t, want, send)
		l.Done(at(1), wqsendqueue.Outcome{Started: at(0), Status: wqobservation.Answered, Replied: true})
	}
}

// A lost connection closes the lane of a VM without a share of the cold start,
// and what waits is refused at once.
func TestLaneRefusesWhileOthersRamp(t *testing.T) {
	l := newLane(1, 0, 1)
	l.HealthReported(at(0), "a", false)
	warm := 2000
	must.False(t, l.Offer(at(0), job(0, 100)))
	must.True(t, l.Offer(at(warm), job(0, warm+1000)))
	must.True(t, l.Offer(at(warm), job(1, warm+1000)))
	send, _ := l.NextBatch(at(warm))
	must.SliceLen(t, 1, send)
	l.Done(at(warm+5), wqsendqueue.Outcome{Started: at(warm), Status: wqobservation.Broken})
	send, refuse := l.NextBatch(at(warm + 5))
	must.SliceEmpty(t, send)
	must.SliceLen(t, 1, refuse)
}

// A spell of slow answers does not close the lane once the target is idle, and
// one straggler does not count in full.
func TestLaneRecoversFromSlowAnswers(t *testing.T) {
	l := newLane(1, 1, 1)
	warmUp(t, l)
	for i := range 40 {
		must.True(t, l.Offer(at(0), job(i, 1000)))
		send, _ := l.NextBatch(at(0))
		must.SliceLen(t, 1, send)
		l.Done(at(500), wqsendqueue.Outcome{Started: at(0), Status: wqobservation.Expired})
		if i == 0 {
			must.LessEq(t, 13*time.Millisecond, l.MeanLatency())
		}
	}
	must.Greater(t, 400*time.Millisecond, l.MeanLatency())
	must.True(t, l.Offer(at(1000), job(0, 1050)))
	send, _ := l.NextBatch(at(1000))
	must.SliceLen(t, 1, send)
	must.False(t, l.Offer(at(1000), job(1, 1050)))
}

// A target that sheds everything gets few requests, and its recovery is noticed
// within the longest rest.
func TestLaneRestsFromShedding(t *testing.T) {
	l := newLane(2, 1, 1)
	warmUp(t, l)
	requests, recovered := 0, 0
	for now := 100; now < 4000 && recovered == 0; now++ {
		if !l.Offer(at(now), job(now, now+80)) {
			continue
		}
		send, _ := l.NextBatch(at(now))
		must.SliceLen(t, 1, send)
		status := wqobservation.Shed
		if now >= 3000 {
			status = wqobservation.Answered
			recovered = now
		}
		requests++
		l.Done(at(now+1), wqsendqueue.Outcome{Started: at(now), Status: status, Replied: true, Incarnation: "a"})
	}
	must.LessEq(t, 15, requests)
	must.LessEq(t, 3500, recovered)
	must.Positive(t, recovered)
	must.True(t, l.Offer(at(recovered+1), job(0, recovered+100)))
}
