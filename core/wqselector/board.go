// Package wqselector keeps what this VM's own requests show of each searcher, and
// chooses the searcher that a request will be answered by soonest.
//
// Searchers stop for moments: a request that has been out for long says so
// before any average does, so the age of the oldest one counts. Averages are
// kept relative to the usual time of a request's route, so that routes with much
// and little work can be compared, and they fade when nothing new is seen.
//
// # Usage
//
//	b := wqselector.New()
//	t := wqselector.LeastLatency{Board: b, Zone: "a"}.Pick(now, targets, tried, typical, random)
//	f := b.Sent(now, t.Searcher.ID)
//	f.Done(now, wqsend.Answered, typical)
package wqselector

import (
	"math"
	"sync"
	"time"

	"wisteriaquay/core/wqsend"
)

const (
	gain        = 0.25                   // gain is the weight of a new observation in the average.
	fade        = 3 * time.Second        // fade is the time constant with which an average returns to 1.
	slowest     = 20                     // slowest bounds one observation, relative to the usual time.
	firstPause  = 200 * time.Millisecond // firstPause is how long a searcher is avoided after a failed send.
	longestRest = 2 * time.Second        // longestRest bounds the time for which failures avoid a searcher.
	maxCells    = 16384                  // maxCells bounds the memory; beyond it all observations start anew.
)

// Tracker holds what is known of all searchers. It is safe for concurrent use.
type Tracker struct {
	mutex sync.Mutex
	cells map[string]*cell
}

// cell is what is known of one searcher.
type cell struct {
	flights   []*Request // flights are the requests out, oldest first.
	slowness  float64    // slowness is the average time relative to the usual one, 1 when unknown.
	seenAt    time.Time
	failures  int       // failures counts the failed sends since the last answer.
	restsTo   time.Time // restsTo is until when failures avoid it.
	coldTo    time.Time // coldTo is the end of the cold start that coldNext is about.
	coldNext  time.Time // coldNext is when this VM may send it a request while it is cold.
	coldEvery time.Duration
}

// Request is one request that is out.
type Request struct {
	board *Tracker
	cell  *cell
	since time.Time
}

// New returns an empty Board.
func New() *Tracker { return &Tracker{cells: make(map[string]*cell)} }

// Start notes that a request goes out to a searcher.
func (b *Tracker) Start(now time.Time, searcherID string) *Request {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.cell(now, searcherID)
	f := &Request{board: b, cell: c, since: now}
	c.flights = append(c.flights, f)
	return f
}

// cell returns what is known of a searcher.
func (b *Tracker) cell(now time.Time, searcherID string) *cell {
	c := b.cells[searcherID]
	if c == nil {
		if len(b.cells) >= maxCells {
			clear(b.cells)
		}
		c = &cell{slowness: 1, seenAt: now}
		b.cells[searcherID] = c
	}
	return c
}

// Done notes how the request ended. Typical is the usual time of its route.
func (f *Request) Done(now time.Time, o wqsend.Outcome, typical time.Duration) {
	f.board.mutex.Lock()
	defer f.board.mutex.Unlock()
	c := f.cell
	for i := range c.flights {
		if c.flights[i] == f {
			c.flights = append(c.flights[:i], c.flights[i+1:]...)
			break
		}
	}
	took := now.Sub(f.since)
	switch o {
	case wqsend.Answered:
		c.failures, c.restsTo = 0, time.Time{}
		c.observe(now, took, typical)
	case wqsend.Cancelled:
		// It would have taken longer still, so it only counts if it is slow.
		if float64(took) > c.faded(now)*float64(typical) {
			c.observe(now, took, typical)
		}
	default:
		c.failures++
		rest := min(firstPause<<min(c.failures-1, 4), longestRest)
		c.restsTo = now.Add(rest)
	}
}

func (c *cell) observe(now time.Time, took, typical time.Duration) {
	ratio := min(float64(took)/float64(max(typical, time.Millisecond)), slowest)
	c.slowness = (1-gain)*c.faded(now) + gain*ratio
	c.seenAt = now
}

// faded returns the slowness now: it returns to 1 while nothing is seen.
func (c *cell) faded(now time.Time) float64 {
	return 1 + (c.slowness-1)*math.Exp(-float64(now.Sub(c.seenAt))/float64(fade))
}
