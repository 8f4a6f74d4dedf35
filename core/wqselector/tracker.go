// Package wqselector tracks what this VM's own requests show about each searcher,
// and picks the searcher that is expected to answer a request first.
//
// A searcher may pause for a short time. The age of its oldest request in flight
// shows this before any average does, so it counts towards the expected time.
// Average latencies are kept relative to the typical latency of a request's route,
// so that cheap and expensive routes can be compared, and return to 1 while there
// are no new observations.
//
// # Usage
//
//	tr := wqselector.New()
//	t := wqselector.LeastLatency{Tracker: tr, Zone: "a"}.Pick(now, targets, tried, typical, random)
//	r := tr.Start(now, t.Searcher.ID)
//	r.Done(now, wqsend.Answered, typical)
package wqselector

import (
	"math"
	"sync"
	"time"

	"wisteriaquay/core/wqsend"
)

const (
	latencyWeight = 0.25                   // weight of a new observation in the moving average (EWMA)
	slownessDecay = 3 * time.Second        // time constant with which the average returns to 1
	maxSlowness   = 20                     // bounds one observation, as a multiple of the typical latency
	minBackoff    = 200 * time.Millisecond // how long a searcher is avoided after its first failure
	maxBackoff    = 2 * time.Second        // bounds how long failures avoid a searcher
	maxEntries    = 16384                  // bounds the memory: one more searcher clears all entries
)

// Tracker holds the request statistics of all searchers. It is safe for
// concurrent use.
type Tracker struct {
	mutex   sync.Mutex
	entries map[string]*entry
}

// entry holds the statistics of one searcher.
type entry struct {
	inFlight     []*Request    // oldest first
	slowness     float64       // average latency relative to the typical one; 1 when unknown
	observedAt   time.Time     // time of the latest latency observation
	failures     int           // failed requests since the latest answer
	backoffUntil time.Time     // when the searcher is no longer avoided for its failures
	coldStartEnd time.Time     // end of the cold start that nextColdSend belongs to
	nextColdSend time.Time     // when this VM may send the next request during cold start
	coldInterval time.Duration // time between two requests during cold start
}

// Request is one request in flight.
type Request struct {
	tracker   *Tracker
	entry     *entry
	startedAt time.Time
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{entries: make(map[string]*entry)} }

// Start records that a request is sent to a searcher.
func (tr *Tracker) Start(now time.Time, searcherID string) *Request {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	e := tr.entry(now, searcherID)
	r := &Request{tracker: tr, entry: e, startedAt: now}
	e.inFlight = append(e.inFlight, r)
	return r
}

// entry returns the entry of a searcher and creates it if there is none.
func (tr *Tracker) entry(now time.Time, searcherID string) *entry {
	e := tr.entries[searcherID]
	if e == nil {
		if len(tr.entries) >= maxEntries {
			clear(tr.entries)
		}
		e = &entry{slowness: 1, observedAt: now}
		tr.entries[searcherID] = e
	}
	return e
}

// Done records how the request ended. Typical is the typical latency of its
// route.
func (r *Request) Done(now time.Time, o wqsend.Outcome, typical time.Duration) {
	r.tracker.mutex.Lock()
	defer r.tracker.mutex.Unlock()
	e := r.entry
	for i := range e.inFlight {
		if e.inFlight[i] == r {
			e.inFlight = append(e.inFlight[:i], e.inFlight[i+1:]...)
			break
		}
	}
	elapsed := now.Sub(r.startedAt)
	switch o {
	case wqsend.Answered:
		e.failures, e.backoffUntil = 0, time.Time{}
		e.observe(now, elapsed, typical)
	case wqsend.Cancelled, wqsend.Withheld:
		// Its full latency is unknown but longer, so it counts only if it is already slow.
		if float64(elapsed) > e.currentSlowness(now)*float64(typical) {
			e.observe(now, elapsed, typical)
		}
	default:
		e.failures++
		backoff := min(minBackoff<<min(e.failures-1, 4), maxBackoff)
		e.backoffUntil = now.Add(backoff)
	}
}

func (e *entry) observe(now time.Time, took, typical time.Duration) {
	ratio := min(float64(took)/float64(max(typical, time.Millisecond)), maxSlowness)
	e.slowness = (1-latencyWeight)*e.currentSlowness(now) + latencyWeight*ratio
	e.observedAt = now
}

// currentSlowness returns the slowness decayed to now.
func (e *entry) currentSlowness(now time.Time) float64 {
	return 1 + (e.slowness-1)*math.Exp(-float64(now.Sub(e.observedAt))/float64(slownessDecay))
}
