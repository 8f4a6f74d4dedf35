// Package wqgather is the state machine of one caller's request. It decides to
// which searcher of each service the request is sent, when it is retried or hedged
// at another searcher, and when the reply is returned. A request without fan-out
// has a single service; a fan-out has a service for each shard.
//
// # Usage
//
// One goroutine drives a Gather. It carries out each Send, passes in its result,
// and calls Wake at the time that NextWake returns:
//
//	g := &wqgather.Gather[wqselector.LeastLatency, hedgePolicy]{Route: route, Services: services, ...}
//	sends := g.Start(now, pools)
//	sends = g.HandleResult(now, pools, send, result)
//	switch g.State(now) { ... }
//
// A request that is not idempotent is sent again only after a result that proves
// that it did not run.
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
	// Pick returns a target whose searcher id is not in tried, nil if there is none.
	Pick(now time.Time, targets []*wqdirectory.Target, tried []string, meanLatency time.Duration, random uint64) *wqdirectory.Target
	// Unresponsive reports whether no answer of the searcher can be expected.
	Unresponsive(now time.Time, searcherID string) bool
}

// HedgePolicy decides when a request is also sent to a second searcher.
type HedgePolicy interface {
	// HedgeDelay returns the time from a send to its hedge. Unanswered is the share
	// of the request's services without an answer, 0 for a request without fan-out.
	HedgeDelay(unanswered float64) time.Duration
	// MeanLatency returns the moving average of the latency of a send.
	MeanLatency() time.Duration
	// TrySpend takes one extra send to a service from the budget and reports
	// whether it is allowed.
	TrySpend(now time.Time, service string) bool
}

// Send is one transmission of the request to one searcher.
type Send struct {
	ID           int // ID counts the sends of a request from 1.
	ServiceIndex int // ServiceIndex is the index in Gather.Services.
	Target       *wqdirectory.Target
	Extra        bool // Extra is true for retries and hedges.
}

// State is the state of the caller's request.
type State uint8

// The states of a request.
const (
	Pending  State = iota // Pending means that more answers are needed and possible.
	Complete              // Complete means that every service answered.
	Partial               // Partial means that enough services answered to reply without the others.
	Refused               // Refused means that the request did not run and can't be sent.
	Failed                // Failed means that too few services can answer; some may have run the request.
	Expired               // Expired means that the deadline passed; the request may have run.
)

// Gather is the progress of one request. Set the exported fields before Start.
type Gather[P Picker, H HedgePolicy] struct {
	Route       *wqroute.Route
	Services    []string
	Picker      P
	HedgePolicy H
	Random      func() uint64
	// WaitTime returns the time until the first of some targets may be sent requests, 0
	// if one may be now, and whether that one waits for its limit; nil if that is always so.
	WaitTime func(now time.Time, targets []*wqdirectory.Target) (wait time.Duration, limited bool)
	// Take counts a send against the limit of its target, and returns false if the target
	// must not be sent a request any more; nil for no limits.
	Take         func(now time.Time, t *wqdirectory.Target) bool
	PartialAfter time.Time // PartialAfter is the time to return a partial answer to meet the objective; zero is never.
	Deadline     time.Time
	LastSendAt   time.Time       // LastSendAt is the time from which nothing is sent any more, because the VM stops; zero is never.
	Results      []wqsend.Result // Results holds the answer of each service, or its last failure until Answered is true.

	progress             []serviceProgress
	lastSendID           int
	answeredCount        int
	failedSendMayHaveRun bool // failedSendMayHaveRun is true after a failed send that may have run.
}

// serviceProgress is the state of the sends to one service.
type serviceProgress struct {
	inFlight       []inFlightSend
	triedIDs       []string // triedIDs are searcher ids.
	sendCount      int
	maybeDelivered int       // maybeDelivered counts the sends that may have reached a searcher.
	maybeRun       int       // maybeRun counts the sends that may have run.
	retryAt        time.Time // retryAt is the earliest time of the next send after a refusal or without a target.
	answered       bool
	closed         bool // closed is true when no further send can be made.
}

type inFlightSend struct {
	id     int
	target *wqdirectory.Target
	sentAt time.Time
}

const (
	minBackoff   = 15 * time.Millisecond // minBackoff is the first delay after all searchers of a service refused; it doubles.
	pollInterval = 10 * time.Millisecond // pollInterval is the time between two checks for another searcher or for budget.
)

// MaxSendsPerService applies to one request and includes refused sends.
const MaxSendsPerService = 6

// Start returns the first send to each service, or none when too few services
// have a searcher that can be sent the request in time.
func (g *Gather[P, H]) Start(now time.Time, pools wqdirectory.Pools) []Send {
	g.progress = make([]serviceProgress, len(g.Services))
	g.Results = make([]wqsend.Result, len(g.Services))
	available := 0
	for i, s := range g.Services {
		g.progress[i].closed = g.unavailable(now, pools[s])
		if !g.progress[i].closed {
			available++
		}
	}
	if available < g.minAnswers() {
		return nil
	}
	return g.Wake(now, pools)
}

// maxAttempts returns how many searchers of a service may run the request.
func (g *Gather[P, H]) maxAttempts() int {
	if !g.Route.Idempotent {
		return 1
	}
	return g.Route.Attempts
}

// HandleResult records the result of a send and returns the retries it leads to.
func (g *Gather[P, H]) HandleResult(now time.Time, pools wqdirectory.Pools, send Send, r wqsend.Result) []Send {
	s := &g.progress[send.ServiceIndex]
	for i := range s.inFlight {
		if s.inFlight[i].id == send.ID {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			break
		}
	}
	if s.answered {
		return nil
	}
	if r.Outcome == wqsend.Answered {
		s.answered = true
		g.answeredCount++
		g.Results[send.ServiceIndex] = r
		return nil
	}
	g.recordFailure(now, s, send, r)
	return g.appendDueSend(now, pools, send.ServiceIndex, nil)
}

func (g *Gather[P, H]) recordFailure(now time.Time, s *serviceProgress, send Send, r wqsend.Result) {
	if r.Outcome != wqsend.Cancelled {
		g.Results[send.ServiceIndex] = r
	}
	if r.Outcome.MayHaveRun() {
		g.failedSendMayHaveRun = true
		return
	}
	s.maybeRun--
	if r.Outcome == wqsend.Unreachable || r.Outcome == wqsend.Withheld {
		s.maybeDelivered--
	}
	s.retryAt = now.Add(minBackoff << min(s.sendCount-1, 4))
}

// Wake returns the sends that are due at now.
func (g *Gather[P, H]) Wake(now time.Time, pools wqdirectory.Pools) []Send {
	var sends []Send
	for i := range g.progress {
		sends = g.appendDueSend(now, pools, i, sends)
	}
	return sends
}

// appendDueSend appends the send to the service at index i if one is due.
func (g *Gather[P, H]) appendDueSend(now time.Time, pools wqdirectory.Pools, i int, sends []Send) []Send {
	s := &g.progress[i]
	if s.answered || s.closed {
		return sends
	}
	if g.sendsEnded(now) || s.maybeRun >= g.maxAttempts() || s.sendCount >= MaxSendsPerService {
		s.closed = len(s.inFlight) == 0
		return sends
	}
	if len(s.inFlight) > 0 && !g.hedgeDue(now, s) {
		return sends
	}
	t, hasBudget := g.takeTarget(now, pools[g.Services[i]], s, g.Services[i])
	if t == nil || !hasBudget {
		g.postpone(now, s, pools[g.Services[i]], t != nil)
		return sends
	}
	return append(sends, g.send(now, i, t))
}

// takeTarget picks a searcher and counts the send against its limit, nil if there is none.
// It returns hasBudget as false if there is one but no budget for an extra send.
func (g *Gather[P, H]) takeTarget(now time.Time, targets []*wqdirectory.Target, s *serviceProgress, service string) (t *wqdirectory.Target, hasBudget bool) {
	hasBudget = s.maybeDelivered == 0
	for {
		t = g.pickTarget(now, targets, s)
		if t == nil {
			return nil, hasBudget
		}
		hasBudget = hasBudget || g.HedgePolicy.TrySpend(now, service)
		if !hasBudget || g.Take == nil || g.Take(now, t) {
			return t, hasBudget
		}
	}
}

// sendsEnded reports whether LastSendAt is set and has passed.
func (g *Gather[P, H]) sendsEnded(now time.Time) bool {
	return !g.LastSendAt.IsZero() && !now.Before(g.LastSendAt)
}

// pickTarget picks a searcher that this request was not sent to, nil if there is
// none. When all refused, it picks any of them once the backoff is over.
func (g *Gather[P, H]) pickTarget(now time.Time, targets []*wqdirectory.Target, s *serviceProgress) *wqdirectory.Target {
	meanLatency := g.HedgePolicy.MeanLatency()
	t := g.Picker.Pick(now, targets, s.triedIDs, meanLatency, g.Random())
	if t != nil || len(s.inFlight) > 0 || now.Before(s.retryAt) {
		return t
	}
	return g.Picker.Pick(now, targets, nil, meanLatency, g.Random())
}

func (g *Gather[P, H]) send(now time.Time, i int, t *wqdirectory.Target) Send {
	s := &g.progress[i]
	g.lastSendID++
	s.inFlight = append(s.inFlight, inFlightSend{id: g.lastSendID, target: t, sentAt: now})
	s.triedIDs = append(s.triedIDs, t.Searcher.ID)
	s.sendCount++
	s.maybeDelivered++
	s.maybeRun++
	return Send{ID: g.lastSendID, ServiceIndex: i, Target: t, Extra: s.maybeDelivered > 1}
}

// hedgeDue reports whether the hedge delay of the latest send is over.
func (g *Gather[P, H]) hedgeDue(now time.Time, s *serviceProgress) bool {
	return g.Route.Idempotent && !now.Before(g.hedgeAt(s))
}

func (g *Gather[P, H]) hedgeAt(s *serviceProgress) time.Time {
	lastSentAt := s.inFlight[len(s.inFlight)-1].sentAt
	return wqtime.Later(lastSentAt.Add(g.HedgePolicy.HedgeDelay(g.unansweredShare())), s.retryAt)
}

// unansweredShare returns the share of the services without an answer, 0 for a request
// without fan-out.
func (g *Gather[P, H]) unansweredShare() float64 {
	if !g.Route.FanOut() {
		return 0
	}
	return 1 - float64(g.answeredCount)/float64(len(g.progress))
}

// NextWake returns the time of the next call to Wake, at most the deadline.
func (g *Gather[P, H]) NextWake(now time.Time) time.Time {
	next := g.Deadline
	if !g.PartialAfter.IsZero() && now.Before(g.PartialAfter) {
		next = wqtime.Earlier(next, g.PartialAfter)
	}
	if !g.LastSendAt.IsZero() && now.Before(g.LastSendAt) {
		next = wqtime.Earlier(next, g.LastSendAt)
	}
	for i := range g.progress {
		s := &g.progress[i]
		switch {
		case s.answered, s.closed, g.sendsEnded(now):
		case len(s.inFlight) == 0:
			next = wqtime.Earlier(next, wqtime.Later(s.retryAt, now.Add(time.Millisecond)))
		case g.Route.Idempotent && s.maybeRun < g.maxAttempts() && s.sendCount < MaxSendsPerService:
			next = wqtime.Earlier(next, wqtime.Later(g.hedgeAt(s), now.Add(time.Millisecond)))
		}
	}
	return next
}

// InFlight returns the number of sends without a result.
func (g *Gather[P, H]) InFlight() int {
	n := 0
	for i := range g.progress {
		n += len(g.progress[i].inFlight)
	}
	return n
}

// Answered reports whether a service has answered.
func (g *Gather[P, H]) Answered(i int) bool { return g.progress[i].answered }

// PendingSearchers returns the ids of the searchers with a send in flight.
func (g *Gather[P, H]) PendingSearchers(i int) []string {
	ids := make([]string, 0, len(g.progress[i].inFlight))
	for _, f := range g.progress[i].inFlight {
		ids = append(ids, f.target.Searcher.ID)
	}
	return ids
}

// RemoveInFlight removes the sends in flight to a service and returns their ids, so
// that the caller can cancel them.
func (g *Gather[P, H]) RemoveInFlight(i int) []int {
	s := &g.progress[i]
	ids := make([]int, 0, len(s.inFlight))
	for _, f := range s.inFlight {
		ids = append(ids, f.id)
	}
	s.inFlight = nil
	return ids
}
