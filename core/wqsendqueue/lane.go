// Package wqsendqueue decides what one VM sends to one target, and when: a queue
// bounded by the deadlines, the concurrency limit, the cold-start gate, and the
// batch that travels together when a slot becomes free.
//
// Work that cannot be served in time is refused at once, so that its sender can
// still turn to another replica: on arrival, when the queue ahead would take
// too long, and on leaving the queue, when the time left is too short.
//
// # Usage
//
//	l := wqsendqueue.New[*job](&wqlimit.AIMD{}, 64)
//	l.SetShare(3, 1, 10*time.Second, batch)
//	if !l.Offer(now, wqsendqueue.Job[*job]{Item: j, Deadline: deadline}) {
//		// refuse j: not run
//	}
//	send, refuse := l.Next(now)
//	// send the batch when there is one, then
//	l.Done(now, outcome)
//	// and call Next again
//
// A Lane is not safe for concurrent use.
package wqsendqueue

import (
	"time"

	"wisteriaquay/core/wqcoldstart"
	"wisteriaquay/core/wqdeadlinequeue"
	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqobservation"
)

const (
	// outlier is the multiple of the mean latency above which a latency counts
	// no more, so that stragglers don't close the lane to others.
	outlier = 3
	// smoothing is the weight of a new latency in the running mean.
	smoothing = 0.125
	// hopeless is the multiple of the mean latency below which the time left of
	// a request is too short to send it.
	hopeless = 1.5
	// waitShare is the share of the time left that a job may be expected to
	// wait; the rest covers slower answers than usual and another replica.
	waitShare = 0.5
)

// Job is one sub-query or write-like request for the target.
type Job[T any] struct {
	Item      T
	Deadline  time.Time
	Unbatched bool // Unbatched keeps it out of batches.
}

// Outcome is how one request to the target ended.
type Outcome struct {
	Started     time.Time
	Status      wqobservation.Status
	Replied     bool   // Replied is true when the status is the target's own word.
	Incarnation string // Incarnation is the target's own; empty when it did not name it.
	Cold        bool   // Cold is the target's own word.
}

// Queue is one VM's way to one target.
type Queue[T any, P wqlimit.Policy] struct {
	limiter wqlimit.Limiter[P]
	gate    wqcoldstart.Gate
	queue   wqdeadlinequeue.Queue[Job[T]]
	rest    rest
	batch   int
	mean    time.Duration
}

// New returns a Lane without a share, with a queue of at most capacity jobs.
func New[T any, P wqlimit.Policy](policy P, capacity int) *Queue[T, P] {
	return &Queue[T, P]{
		limiter: wqlimit.Limiter[P]{Policy: policy},
		queue:   wqdeadlinequeue.Queue[Job[T]]{Capacity: capacity},
		batch:   1,
	}
}

// SetShare sets this VM's rights on the target: requests at once when warm and
// in cold start, the time of the target's cold start, and the sub-queries that
// it takes in one request.
func (l *Queue[T, P]) SetShare(slots, coldSlots int, warm time.Duration, batch int) {
	l.limiter.Share = slots
	l.gate.Share = slots
	l.gate.ColdShare = coldSlots
	l.gate.ColdStartDuration = warm
	l.batch = max(batch, 1)
}

// Offer queues a job. It returns false when the job cannot be served in time or
// the target may be sent nothing.
func (l *Queue[T, P]) Offer(now time.Time, j Job[T]) bool {
	allowed := l.allowed(now)
	if allowed == 0 {
		return false
	}
	if !l.idle() && float64(l.expected(allowed)) > waitShare*float64(j.Deadline.Sub(now)) {
		return false
	}
	return l.queue.Push(j, j.Deadline)
}

// NextBatch returns the jobs to send in one request now, for which it takes a slot,
// and those to refuse because too little time is left. No jobs to send means
// that a slot or work is lacking.
func (l *Queue[T, P]) NextBatch(now time.Time) (send, refuse []T) {
	allowed := l.allowed(now)
	if allowed == 0 && (l.limiter.InFlight() == 0 || l.rest.resting(now)) {
		return nil, l.dropAll()
	}
	refuse = l.dropHopeless(now)
	if l.queue.Len() == 0 || !l.limiter.Acquire(allowed) {
		return nil, refuse
	}
	return l.take(), refuse
}

// Done gives back the slot of a request that was sent.
func (l *Queue[T, P]) Done(now time.Time, o Outcome) {
	l.limiter.Release(wqlimit.Sample{Started: o.Started, Ended: now, Status: o.Status})
	l.learn(now, o)
	l.rest.observe(o.Started, now, o.Status, l.mean)
	took := now.Sub(o.Started)
	if o.Status == wqobservation.Answered || (o.Status == wqobservation.Expired && took > l.mean) {
		l.measure(took)
	}
}

// Cancel gives back the slot of a request that was never sent.
func (l *Queue[T, P]) Cancel() { l.limiter.Cancel() }

// ConnectionLost notes that an idle connection to the target was lost.
func (l *Queue[T, P]) ConnectionLost() { l.gate.ConnectionLost() }

// HealthReported notes what the target's health endpoint says; it can only make the lane
// more careful.
func (l *Queue[T, P]) HealthReported(now time.Time, incarnation string, cold bool) {
	l.gate.HealthReported(now, incarnation, cold)
}

// Cold reports whether the target is treated as cold.
func (l *Queue[T, P]) Cold() bool { return l.gate.Cold() }

// MeanLatency returns the running mean time of the target's answers; 0 is unknown.
func (l *Queue[T, P]) MeanLatency() time.Duration { return l.mean }

// NextRefusalTime returns when Next has to be called to refuse the first queued job
// in time; false means that none is queued.
func (l *Queue[T, P]) NextRefusalTime() (time.Time, bool) {
	_, deadline, ok := l.queue.Peek()
	return deadline.Add(-l.leastTime()), ok
}

// Queued returns how many jobs wait.
func (l *Queue[T, P]) Queued() int { return l.queue.Len() }

// InFlight returns how many requests are in flight.
func (l *Queue[T, P]) InFlight() int { return l.limiter.InFlight() }

func (l *Queue[T, P]) allowed(now time.Time) int {
	if l.rest.resting(now) {
		return 0
	}
	return min(l.limiter.Limit(), l.gate.MaxInFlight(now))
}

// idle reports whether the target has nothing to do for this VM. Then a job is
// sent however slow the target was before, so that its recovery is noticed.
func (l *Queue[T, P]) idle() bool {
	return l.queue.Len() == 0 && l.limiter.InFlight() == 0
}

// expected is the time until a new job would be answered.
func (l *Queue[T, P]) expected(allowed int) time.Duration {
	ahead := l.queue.Len()/l.batch + max(l.limiter.InFlight()-allowed+1, 0)
	waits := time.Duration(ahead) * l.mean / time.Duration(allowed)
	return waits + l.mean
}

func (l *Queue[T, P]) dropAll() []T {
	var refuse []T
	for {
		j, _, ok := l.queue.Pop()
		if !ok {
			return refuse
		}
		refuse = append(refuse, j.Item)
	}
}

// leastTime is the time left below which a job is not sent.
func (l *Queue[T, P]) leastTime() time.Duration {
	if l.limiter.InFlight() == 0 {
		return 0
	}
	return time.Duration(float64(l.mean) * hopeless)
}

func (l *Queue[T, P]) dropHopeless(now time.Time) []T {
	var refuse []T
	least := l.leastTime()
	for {
		_, deadline, ok := l.queue.Peek()
		if !ok || deadline.Sub(now) > least {
			return refuse
		}
		j, _, _ := l.queue.Pop()
		refuse = append(refuse, j.Item)
	}
}

// take removes the next batch from the queue.
func (l *Queue[T, P]) take() []T {
	first, _, _ := l.queue.Pop()
	send := make([]T, 1, min(l.batch, l.queue.Len()+1))
	send[0] = first.Item
	for len(send) < l.batch && !first.Unbatched {
		next, _, ok := l.queue.Peek()
		if !ok || next.Unbatched {
			break
		}
		_, _, _ = l.queue.Pop()
		send = append(send, next.Item)
	}
	return send
}

func (l *Queue[T, P]) learn(now time.Time, o Outcome) {
	switch {
	case o.Replied:
		l.gate.ReplyReceived(now, o.Incarnation, o.Cold)
	case o.Status == wqobservation.Unreachable, o.Status == wqobservation.Broken:
		l.gate.ConnectionLost()
	}
}

func (l *Queue[T, P]) measure(latency time.Duration) {
	if l.mean == 0 {
		l.mean = latency
		return
	}
	latency = min(latency, outlier*l.mean)
	l.mean += time.Duration(float64(latency-l.mean) * smoothing)
}
