// Package wqsendqueue decides what one VM sends to one target, and when. A queue
// holds the pending jobs by deadline; a concurrency limit, a cold-start gate and a
// backoff bound the requests in flight; jobs that are queued when a slot becomes
// free are sent together in one batch.
//
// A job that cannot be served in time is refused immediately, so that its sender
// can still use another replica: on arrival when the expected wait is too long,
// and later when too little time is left before its deadline.
//
// # Usage
//
//	q := wqsendqueue.New[*job](&wqlimit.AIMD{}, 64)
//	q.SetShare(3, 1, 10*time.Second, batch)
//	if !q.Offer(now, wqsendqueue.Job[*job]{Item: j, Deadline: deadline}) {
//		// refuse j: it was not run
//	}
//	send, refuse := q.NextBatch(now)
//	// send the batch if it is not empty, then
//	q.Done(now, outcome)
//	// and call NextBatch again
//
// A Queue is not safe for concurrent use.
package wqsendqueue

import (
	"time"

	"wisteriaquay/core/wqcoldstart"
	"wisteriaquay/core/wqdeadlinequeue"
	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqobservation"
)

const (
	// maxLatencyRatio caps one latency sample, as a multiple of the mean
	// latency, so that a straggler doesn't make the queue refuse other jobs.
	maxLatencyRatio = 3
	// latencyWeight is the weight of a new sample in the moving average (EWMA)
	// of the latency.
	latencyWeight = 0.125
	// minTimeLeftRatio is the minimum time left before a job's deadline to send
	// it, as a multiple of the mean latency.
	minTimeLeftRatio = 1.5
	// maxWaitShare is the maximum expected time to the reply, as a share of the
	// time left; the rest covers slower replies than usual and another replica.
	maxWaitShare = 0.5
)

// Job is one sub-query or write-like request for the target.
type Job[T any] struct {
	Item      T
	Deadline  time.Time
	Unbatched bool // Unbatched sends the job in a request of its own.
}

// Outcome is the result of one request to the target.
type Outcome struct {
	Started     time.Time
	Status      wqobservation.Status
	Replied     bool   // Replied is true when the target itself reported the status.
	Incarnation string // Incarnation is the target's process incarnation; empty when it reported none.
	Cold        bool   // Cold is true when the target reported that it is in cold start.
}

// Queue holds the jobs that one VM has for one target.
type Queue[T any, P wqlimit.Policy] struct {
	limiter     wqlimit.Limiter[P]
	gate        wqcoldstart.Gate
	jobs        wqdeadlinequeue.Queue[Job[T]]
	backoff     backoff
	maxBatch    int
	meanLatency time.Duration
}

// New returns a Queue that holds at most capacity jobs. It refuses all jobs
// until SetShare is called.
func New[T any, P wqlimit.Policy](policy P, capacity int) *Queue[T, P] {
	return &Queue[T, P]{
		limiter:  wqlimit.Limiter[P]{Policy: policy},
		jobs:     wqdeadlinequeue.Queue[Job[T]]{Capacity: capacity},
		maxBatch: 1,
	}
}

// SetShare sets this VM's share of the target's limits: slots and coldSlots are
// its maximum of requests in flight to the warm and to the cold target. The
// cold start lasts coldStartDuration, 0 for none; batch is the maximum number
// of sub-queries in one request.
func (q *Queue[T, P]) SetShare(slots, coldSlots int, coldStartDuration time.Duration, batch int) {
	q.limiter.Share = slots
	q.gate.Share = slots
	q.gate.ColdShare = coldSlots
	q.gate.ColdStartDuration = coldStartDuration
	q.maxBatch = max(batch, 1)
}

// Offer queues a job. It returns false when the job cannot be served in time,
// no request may be sent to the target, or the queue is full.
func (q *Queue[T, P]) Offer(now time.Time, j Job[T]) bool {
	allowed := q.maxInFlight(now)
	if allowed == 0 {
		return false
	}
	if !q.idle() && float64(q.expectedTime(allowed)) > maxWaitShare*float64(j.Deadline.Sub(now)) {
		return false
	}
	return q.jobs.Push(j, j.Deadline)
}

// NextBatch returns the jobs to send now in one request, for which it acquires
// a slot, and the jobs to refuse because too little time is left. Send is empty
// when no slot is free or no job is queued.
func (q *Queue[T, P]) NextBatch(now time.Time) (send, refuse []T) {
	allowed := q.maxInFlight(now)
	if allowed == 0 && (q.limiter.InFlight() == 0 || q.backoff.active(now)) {
		return nil, q.refuseAll()
	}
	refuse = q.refuseTooLate(now)
	if q.jobs.Len() == 0 || !q.limiter.Acquire(allowed) {
		return nil, refuse
	}
	return q.popBatch(), refuse
}

// Done releases the slot of a request that was sent and records its outcome.
func (q *Queue[T, P]) Done(now time.Time, o Outcome) {
	q.limiter.Release(wqlimit.Sample{Started: o.Started, Ended: now, Status: o.Status})
	q.updateColdStart(now, o)
	q.backoff.observe(o.Started, now, o.Status, q.meanLatency)
	elapsed := now.Sub(o.Started)
	if o.Status == wqobservation.Answered || (o.Status == wqobservation.Expired && elapsed > q.meanLatency) {
		q.recordLatency(elapsed)
	}
}

// Cancel releases the slot of a request that was never sent.
func (q *Queue[T, P]) Cancel() { q.limiter.Cancel() }

// ConnectionLost records that an idle connection to the target was lost.
func (q *Queue[T, P]) ConnectionLost() { q.gate.ConnectionLost() }

// HealthReported records the incarnation and cold state that the target's
// health endpoint reports; it can only reduce what is sent.
func (q *Queue[T, P]) HealthReported(now time.Time, incarnation string, cold bool) {
	q.gate.HealthReported(now, incarnation, cold)
}

// Cold reports whether the target is treated as cold.
func (q *Queue[T, P]) Cold() bool { return q.gate.Cold() }

// MeanLatency returns the moving average of the target's latency; 0 means
// unknown.
func (q *Queue[T, P]) MeanLatency() time.Duration { return q.meanLatency }

// NextRefusalTime returns when NextBatch must be called to refuse the first
// queued job in time; false means that no job is queued.
func (q *Queue[T, P]) NextRefusalTime() (time.Time, bool) {
	_, deadline, ok := q.jobs.Peek()
	return deadline.Add(-q.minTimeLeft()), ok
}

// Queued returns the number of queued jobs.
func (q *Queue[T, P]) Queued() int { return q.jobs.Len() }

// InFlight returns the number of requests in flight.
func (q *Queue[T, P]) InFlight() int { return q.limiter.InFlight() }

func (q *Queue[T, P]) maxInFlight(now time.Time) int {
	if q.backoff.active(now) {
		return 0
	}
	return min(q.limiter.Limit(), q.gate.MaxInFlight(now))
}

// idle reports whether this VM has no job queued and no request in flight. In
// that state a job is sent however high the mean latency is, since only a reply
// can show that the target has recovered.
func (q *Queue[T, P]) idle() bool {
	return q.jobs.Len() == 0 && q.limiter.InFlight() == 0
}

// expectedTime returns the expected time until the reply to a new job.
func (q *Queue[T, P]) expectedTime(allowed int) time.Duration {
	ahead := q.jobs.Len()/q.maxBatch + max(q.limiter.InFlight()-allowed+1, 0)
	wait := time.Duration(ahead) * q.meanLatency / time.Duration(allowed)
	return wait + q.meanLatency
}

func (q *Queue[T, P]) refuseAll() []T {
	var refuse []T
	for {
		j, _, ok := q.jobs.Pop()
		if !ok {
			return refuse
		}
		refuse = append(refuse, j.Item)
	}
}

// minTimeLeft returns the time left before its deadline below which a job is
// not sent.
func (q *Queue[T, P]) minTimeLeft() time.Duration {
	if q.limiter.InFlight() == 0 {
		return 0
	}
	return time.Duration(float64(q.meanLatency) * minTimeLeftRatio)
}

// refuseTooLate removes and returns the jobs with too little time left.
func (q *Queue[T, P]) refuseTooLate(now time.Time) []T {
	var refuse []T
	minLeft := q.minTimeLeft()
	for {
		_, deadline, ok := q.jobs.Peek()
		if !ok || deadline.Sub(now) > minLeft {
			return refuse
		}
		j, _, _ := q.jobs.Pop()
		refuse = append(refuse, j.Item)
	}
}

func (q *Queue[T, P]) popBatch() []T {
	first, _, _ := q.jobs.Pop()
	send := make([]T, 1, min(q.maxBatch, q.jobs.Len()+1))
	send[0] = first.Item
	for len(send) < q.maxBatch && !first.Unbatched {
		next, _, ok := q.jobs.Peek()
		if !ok || next.Unbatched {
			break
		}
		_, _, _ = q.jobs.Pop()
		send = append(send, next.Item)
	}
	return send
}

func (q *Queue[T, P]) updateColdStart(now time.Time, o Outcome) {
	switch {
	case o.Replied:
		q.gate.ReplyReceived(now, o.Incarnation, o.Cold)
	case o.Status == wqobservation.Unreachable, o.Status == wqobservation.Broken:
		q.gate.ConnectionLost()
	}
}

func (q *Queue[T, P]) recordLatency(latency time.Duration) {
	if q.meanLatency == 0 {
		q.meanLatency = latency
		return
	}
	latency = min(latency, maxLatencyRatio*q.meanLatency)
	q.meanLatency += time.Duration(float64(latency-q.meanLatency) * latencyWeight)
}
