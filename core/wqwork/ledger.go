// Package wqwork keeps the work that each searcher still has to do, as far as it is
// known here, and how fast each of them works.
//
// What is left of a send is the mean of its cost given how long it has
// run. The speed of a searcher is learned from the sends that it answered, less the time
// that they are estimated to have queued, and from the age of those that it should have
// answered. It returns to the usual speed without observations.
//
// # Usage
//
//	l := wqwork.New()
//	s := l.Start(now, wqwork.Start{SearcherID: "searcher-1", Slots: 3, Cost: cost, Owner: request, Deadline: deadline})
//	finish, wait := l.Finish(now, "searcher-1", 3, otherCost) // expected time until a further send would end
//	work, ok := s.Done(now, wqsend.Answered)            // ok: an observation of its cost
package wqwork

import (
	"math"
	"slices"
	"sync"
	"time"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqsend"
)

const (
	speedWeight   = 0.12            // weight of a new observation in the slowness
	slownessDecay = 8 * time.Second // time constant with which the slowness returns to 1
	maxSlowness   = 20              // bounds one observation, and the slowness
	minSlowness   = 0.5             // searchers differ in speed by 1.6 times; one that seems faster than this answers wrongly
	suspectShare  = 0.125           // an answer after less than this part of the cost may be wrong: it shows no speed, and its send counts as in flight for the whole cost, so that such a searcher does not get everything
	ageWeight     = 2               // sends in flight that count as much as the slowness learned before
	overdueFactor = 3               // times the expected time after which a send is overdue
	maxAge        = time.Minute     // a send without a deadline is forgotten after this time
	maxEntries    = 16384           // bounds the memory: one more searcher clears all entries
	maxSends      = 512             // sends in flight to one searcher that are considered
	clearWait     = 0.5             // an answer gives an observation of the cost if it queued for less than this part of the cost
)

// Ledger holds the sends in flight and the speed of all searchers. It is safe for
// concurrent use.
type Ledger struct {
	mutex   sync.Mutex
	entries map[string]*entry
}

// entry holds the state of one searcher.
type entry struct {
	sends      []*Send // in flight, oldest first
	slowness   float64 // logarithm of the time that work takes, relative to the usual time
	observedAt time.Time
}

// Send is one send in flight.
type Send struct {
	ledger    *Ledger
	entry     *entry
	owner     any
	cost      wqcost.Distribution
	startedAt time.Time
	deadline  time.Time
	wait      time.Duration // expected time in the queue
}

// New returns an empty Ledger.
func New() *Ledger { return &Ledger{entries: make(map[string]*entry)} }

// Start describes a send that starts.
type Start struct {
	SearcherID string
	Slots      int // Slots is the number of sends that the searcher runs at once.
	Cost       wqcost.Distribution
	Owner      any       // Owner is comparable and names the request; nil for none.
	Deadline   time.Time // Deadline is when the send ends at the latest, also if its end is not recorded.
}

// Start records that a request is sent to a searcher.
func (l *Ledger) Start(now time.Time, s Start) *Send {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.entries[s.SearcherID]
	if e == nil {
		if len(l.entries) >= maxEntries {
			clear(l.entries)
		}
		e = &entry{observedAt: now}
		l.entries[s.SearcherID] = e
	}
	e.forget(now)
	send := &Send{ledger: l, entry: e, owner: s.Owner, cost: s.Cost, startedAt: now, deadline: s.Deadline, wait: e.wait(now, s.Slots)}
	if latest := now.Add(maxAge); s.Deadline.IsZero() || s.Deadline.After(latest) {
		send.deadline = latest
	}
	if len(e.sends) < maxSends {
		e.sends = append(e.sends, send)
	}
	return send
}

// Finish returns the expected time until a send with this cost would end, and the part
// of it that the send would wait.
func (l *Ledger) Finish(now time.Time, searcherID string, slots int, cost wqcost.Distribution) (finish, wait time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.entries[searcherID]
	if e == nil {
		return cost.Mean(), 0
	}
	e.forget(now)
	wait = e.wait(now, slots)
	return wait + scaled(cost.Mean(), e.currentSlowness(now, slots)), wait
}

// Queue returns the least time that a further send would wait, by the answers alone:
// sends that are overdue, whose end may not have been reported, do not count, and none
// counts for more than its cost.
func (l *Ledger) Queue(now time.Time, searcherID string, slots int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.entries[searcherID]
	if e == nil {
		return 0
	}
	slowness := math.Exp(e.slownessAt(now))
	sum := time.Duration(0)
	for _, s := range e.sends {
		mean := scaled(s.cost.Mean(), slowness)
		if now.Sub(s.startedAt) <= overdueFactor*(s.wait+mean) {
			sum += min(s.remaining(now, slowness), mean)
		}
	}
	return sum / time.Duration(max(slots, 1))
}

// Remaining returns the expected time until the owner's send to a searcher ends, and
// false if there is none in flight.
func (l *Ledger) Remaining(now time.Time, searcherID string, slots int, owner any) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.entries[searcherID]
	if e == nil {
		return 0, false
	}
	slowness := e.currentSlowness(now, slots)
	for _, s := range e.sends {
		if s.owner == owner && owner != nil {
			queued := max(0, s.wait-now.Sub(s.startedAt))
			return queued + s.remaining(now, slowness), true
		}
	}
	return 0, false
}

// InFlight returns the number of sends in flight to a searcher, and how many times
// longer than usual its work takes.
func (l *Ledger) InFlight(now time.Time, searcherID string, slots int) (sends int, slowness float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.entries[searcherID]
	if e == nil {
		return 0, 1
	}
	e.forget(now)
	return len(e.sends), e.currentSlowness(now, slots)
}

// Done records how a send ended. It returns what the request cost, and true if the
// searcher's answer shows it.
func (s *Send) Done(now time.Time, o wqsend.Outcome) (time.Duration, bool) {
	s.ledger.mutex.Lock()
	defer s.ledger.mutex.Unlock()
	e := s.entry
	elapsed := now.Sub(s.startedAt)
	mean := s.cost.Mean()
	suspect := o == wqsend.Answered && elapsed < scaled(mean, suspectShare)
	if suspect {
		s.deadline, s.owner = s.startedAt.Add(mean), nil
	} else if i := slices.Index(e.sends, s); i >= 0 {
		e.sends = slices.Delete(e.sends, i, i+1)
	}
	if o != wqsend.Answered || elapsed <= 0 || mean <= 0 {
		return 0, false
	}
	slowness := math.Exp(e.slownessAt(now))
	ratio := float64(elapsed) / (float64(s.wait) + float64(mean))
	if suspect {
		ratio = 1
	}
	e.observe(now, ratio)
	if float64(s.wait) > clearWait*float64(mean) {
		return 0, false
	}
	return max(scaled(max(elapsed-s.wait, elapsed/4), 1/slowness), 1), true
}

func (e *entry) observe(now time.Time, ratio float64) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	e.slowness = (1-speedWeight)*e.slownessAt(now) + speedWeight*math.Log(ratio)
	e.observedAt = now
}

// slownessAt returns the logarithm of the slowness that earlier answers show.
func (e *entry) slownessAt(now time.Time) float64 {
	return e.slowness * math.Exp(-max(0, float64(now.Sub(e.observedAt)))/float64(slownessDecay))
}

// currentSlowness returns the slowness that answers and the ages of the sends in flight
// show: a searcher that stopped or became slow has sends that should have ended.
func (e *entry) currentSlowness(now time.Time, slots int) float64 {
	known := math.Exp(e.slownessAt(now))
	passed, done := ageWeight*known, float64(ageWeight)
	for i, s := range e.sends {
		if i >= max(slots, 1) {
			break
		}
		mean := float64(max(s.cost.Mean(), 1))
		age := max(0, now.Sub(s.startedAt)-s.wait)
		passed += float64(age) / mean
		done += float64(s.cost.Done(scaled(age, 1/known))) / mean
	}
	return min(max(passed/done, known), maxSlowness)
}

// wait returns the expected time until the searcher has done the work in flight, with
// all slots. It counts a busy slot also while another one is free: the sends of other
// VMs, which are not known here, take free slots too.
func (e *entry) wait(now time.Time, slots int) time.Duration {
	slowness := e.currentSlowness(now, slots)
	sum := time.Duration(0)
	for _, s := range e.sends {
		sum += s.remaining(now, slowness)
	}
	return sum / time.Duration(max(slots, 1))
}

// remaining returns the expected time until a send ends, from when it runs.
func (s *Send) remaining(now time.Time, slowness float64) time.Duration {
	ran := max(0, now.Sub(s.startedAt)-s.wait)
	return scaled(s.cost.Remaining(scaled(ran, 1/slowness)), slowness)
}

// forget drops the sends whose deadline has passed, and those that a clock which went
// back left in the future.
func (e *entry) forget(now time.Time) {
	e.sends = slices.DeleteFunc(e.sends, func(s *Send) bool {
		return !now.Before(s.deadline) || s.startedAt.Sub(now) > maxAge
	})
}

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
