// Package wqgather is the state machine of one caller's request: it decides
// which searcher of each service it is sent to, when a second one is tried, and
// when the reply is given. A request to one searcher is one with a single
// service; a fan-out has a service for each shard.
//
// # Usage
//
// One goroutine drives a Gather. It carries out each Send, feeds back what
// arrives, and calls Wake at the time that Next names:
//
//	g := &wqgather.Gather[wqselector.LeastLatency, hedge]{Route: route, Services: services, ...}
//	sends := g.Start(now, pools)
//	sends = g.Take(now, pools, number, result)
//	switch g.Verdict(now) { ... }
//
// A request that is not idempotent is sent again only on proof that it did not
// run.
package wqgather

import (
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtime"
)

// Picker chooses among the searchers of a service.
type Picker interface {
	// Pick returns a target that is not among tried, nil when there is none.
	Pick(now time.Time, targets []*wqdirectory.Target, tried []string, typical time.Duration, random uint64) *wqdirectory.Target
	// Unresponsive reports whether a searcher's answer should not be waited for.
	Unresponsive(now time.Time, searcherID string) bool
}

// HedgePolicy decides when to stop relying on one send.
type HedgePolicy interface {
	// HedgeDelay returns how long a send is waited for before a second one.
	HedgeDelay() time.Duration
	// MeanLatency returns the usual time of a send.
	MeanLatency() time.Duration
	// TrySpend takes one extra send to a service from the budget, if it allows it.
	TrySpend(now time.Time, service string) bool
}

// Send is one request to one searcher.
type Send struct {
	ID           int // ID names the send in Take.
	ServiceIndex int // ServiceIndex is the place of its service in Services.
	Target       *wqdirectory.Target
	Extra        bool // Extra is true for all but the first send to a service.
}

// State says what to do with the caller's request.
type State uint8

// The verdicts.
const (
	Pending  State = iota // Pending for more answers.
	Complete              // Complete means that every service answered.
	Partial               // Partial means that enough services answered and the rest is not waited for.
	Refused               // Refused means that nothing ran and nothing can be sent.
	Failed                // Failed means that too few services can answer; some may have run.
	Expired               // Expired means that the time is over.
)

// Gather is the progress of one request. Set the exported fields before Start.
type Gather[P Picker, H HedgePolicy] struct {
	Route        *wqroute.Route
	Services     []string
	Picker       P
	HedgePolicy  H
	Random       func() uint64
	PartialAfter time.Time // PartialAfter is when enough answers are taken for all, to be within the objective; zero is never.
	Deadline     time.Time
	Results      []wqsend.Result // Results holds the answer of each service once Answered says so, else its last failure.

	shards   []shard
	numbers  int
	answered int
	ran      bool // ran is true once a send was made that is not proved not to have run.
}

// shard is the progress at one service.
type shard struct {
	flights  []flight
	tried    []string // tried are the searchers that this request was sent to.
	sends    int
	arrivals int       // arrivals counts the sends that are not proved to have reached no searcher.
	runs     int       // runs counts the sends that may have run.
	again    time.Time // again is the earliest time of the next send after refusals.
	answered bool
	closed   bool // closed is true when no further send is possible.
}

type flight struct {
	number int
	target *wqdirectory.Target
	since  time.Time
}

const (
	firstRest = 15 * time.Millisecond // firstRest is the wait after all searchers of a service have refused; it doubles.
	mostSends = 6                     // mostSends bounds the sends to one service for one request, refused ones included.
	lookAgain = 10 * time.Millisecond // lookAgain is the time between two looks for another searcher or for budget.
)

// Start returns the first send to each service, none when too few services have
// a searcher.
func (g *Gather[P, H]) Start(now time.Time, pools wqdirectory.Pools) []Send {
	g.shards = make([]shard, len(g.Services))
	g.Results = make([]wqsend.Result, len(g.Services))
	staffed := 0
	for i, s := range g.Services {
		g.shards[i].closed = len(pools[s]) == 0
		if !g.shards[i].closed {
			staffed++
		}
	}
	if staffed < g.least() {
		return nil
	}
	return g.Wake(now, pools)
}

// attempts returns how many searchers may begin to work on the request.
func (g *Gather[P, H]) attempts() int {
	if !g.Route.Idempotent {
		return 1
	}
	return g.Route.Attempts
}

// HandleResult notes the end of a send and returns the sends that follow from it.
func (g *Gather[P, H]) HandleResult(now time.Time, pools wqdirectory.Pools, sent Send, r wqsend.Result) []Send {
	s := &g.shards[sent.ServiceIndex]
	for i := range s.flights {
		if s.flights[i].number == sent.ID {
			s.flights = append(s.flights[:i], s.flights[i+1:]...)
			break
		}
	}
	if s.answered {
		return nil
	}
	if r.Outcome == wqsend.Answered {
		s.answered = true
		g.answered++
		g.Results[sent.ServiceIndex] = r
		return nil
	}
	g.takeFailure(now, s, sent, r)
	return g.advance(now, pools, sent.ServiceIndex, nil)
}

func (g *Gather[P, H]) takeFailure(now time.Time, s *shard, sent Send, r wqsend.Result) {
	if r.Outcome != wqsend.Cancelled {
		g.Results[sent.ServiceIndex] = r
	}
	if r.Outcome.MayHaveRun() {
		g.ran = true
		return
	}
	s.runs--
	if r.Outcome == wqsend.Unreachable {
		s.arrivals--
	}
	s.again = now.Add(firstRest << min(s.sends-1, 4))
}

// Wake returns the sends that are due by time.
func (g *Gather[P, H]) Wake(now time.Time, pools wqdirectory.Pools) []Send {
	var sends []Send
	for i := range g.shards {
		sends = g.advance(now, pools, i, sends)
	}
	return sends
}

// advance appends the send to a service that is due, if any.
func (g *Gather[P, H]) advance(now time.Time, pools wqdirectory.Pools, i int, sends []Send) []Send {
	s := &g.shards[i]
	if s.answered || s.closed {
		return sends
	}
	if s.runs >= g.attempts() || s.sends >= mostSends {
		s.closed = len(s.flights) == 0
		return sends
	}
	if len(s.flights) > 0 && !g.hedgeDue(now, s) {
		return sends
	}
	t := g.choose(now, pools[g.Services[i]], s)
	if t == nil || s.arrivals > 0 && !g.HedgePolicy.TrySpend(now, g.Services[i]) {
		// A fan-out has other services to wait for, and budget may come meanwhile.
		denied := t != nil && !g.Route.FanOut()
		s.closed = len(s.flights) == 0 && (denied || len(pools[g.Services[i]]) == 0)
		s.again = wqtime.Later(s.again, now.Add(lookAgain))
		return sends
	}
	return append(sends, g.send(now, i, t))
}

// choose picks a searcher that this request has not been sent to. After all have
// refused, it picks any one again once the rest is over.
func (g *Gather[P, H]) choose(now time.Time, targets []*wqdirectory.Target, s *shard) *wqdirectory.Target {
	typical := g.HedgePolicy.MeanLatency()
	t := g.Picker.Pick(now, targets, s.tried, typical, g.Random())
	if t != nil || len(s.flights) > 0 || now.Before(s.again) {
		return t
	}
	return g.Picker.Pick(now, targets, nil, typical, g.Random())
}

func (g *Gather[P, H]) send(now time.Time, i int, t *wqdirectory.Target) Send {
	s := &g.shards[i]
	g.numbers++
	s.flights = append(s.flights, flight{number: g.numbers, target: t, since: now})
	s.tried = append(s.tried, t.Searcher.ID)
	s.sends++
	s.arrivals++
	s.runs++
	return Send{ID: g.numbers, ServiceIndex: i, Target: t, Extra: s.arrivals > 1}
}

// hedgeDue reports whether the sends that are out have been waited for enough.
func (g *Gather[P, H]) hedgeDue(now time.Time, s *shard) bool {
	return g.Route.Idempotent && !now.Before(g.hedgeAt(s))
}

func (g *Gather[P, H]) hedgeAt(s *shard) time.Time {
	newest := s.flights[len(s.flights)-1].since
	return wqtime.Later(newest.Add(g.HedgePolicy.HedgeDelay()), s.again)
}

// NextWake returns when Wake is due.
func (g *Gather[P, H]) NextWake(now time.Time) time.Time {
	next := g.Deadline
	if !g.PartialAfter.IsZero() && now.Before(g.PartialAfter) {
		next = wqtime.Earlier(next, g.PartialAfter)
	}
	for i := range g.shards {
		s := &g.shards[i]
		switch {
		case s.answered, s.closed:
		case len(s.flights) == 0:
			next = wqtime.Earlier(next, wqtime.Later(s.again, now.Add(time.Millisecond)))
		case g.Route.Idempotent && s.runs < g.attempts() && s.sends < mostSends:
			next = wqtime.Earlier(next, wqtime.Later(g.hedgeAt(s), now.Add(time.Millisecond)))
		}
	}
	return next
}

// InFlight returns the sends that have not ended.
func (g *Gather[P, H]) InFlight() int {
	n := 0
	for i := range g.shards {
		n += len(g.shards[i].flights)
	}
	return n
}

// Answered reports whether a service has answered.
func (g *Gather[P, H]) Answered(i int) bool { return g.shards[i].answered }

// PendingSearchers returns the searchers that a service's answer is awaited from.
func (g *Gather[P, H]) PendingSearchers(i int) []string {
	ids := make([]string, 0, len(g.shards[i].flights))
	for _, f := range g.shards[i].flights {
		ids = append(ids, f.target.Searcher.ID)
	}
	return ids
}

// RemoveInFlight forgets the sends to a service that are still out and returns their
// numbers, so that they can be cancelled.
func (g *Gather[P, H]) RemoveInFlight(i int) []int {
	s := &g.shards[i]
	numbers := make([]int, 0, len(s.flights))
	for _, f := range s.flights {
		numbers = append(numbers, f.number)
	}
	s.flights = nil
	return numbers
}
