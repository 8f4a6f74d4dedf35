// Package wqdrain decides the phases of a graceful stop. The VM fails its
// readiness check and announces to its peers that it leaves, but keeps serving
// until the load balancer has taken it out. Then it accepts no new requests
// while those in flight finish and its tickets are settled or expire, and then
// it closes its connections. A timeout bounds the whole stop, even when requests
// hang: those that are left shortly before it get a reply in the Ending phase, so
// that no connection is closed without one.
//
// # Usage
//
// One goroutine calls Begin at the first signal and then Advance until it
// returns Closed, doing the work of each phase when it is entered:
//
//	d := &wqdrain.Drain{BalancerLag: 2 * time.Second, Timeout: 45 * time.Second, EndReserve: time.Second, CloseReserve: time.Second}
//	d.Begin(now)
//	switch d.Advance(now, work) { ... }
//
// A VM whose callers hold an unused ticket drains until that ticket expires.
// Timeout should therefore be at least the sum of BalancerLag, the TTL of
// tickets and CloseReserve.
package wqdrain

import (
	"time"

	"wisteriaquay/core/wqtime"
)

// Phase is a phase of a stop. A stop passes through the phases in this order.
type Phase uint8

// The phases.
const (
	Serving  Phase = iota // Serving is the phase before the stop.
	Unready               // Unready VMs fail their readiness check and announce to peers that they leave, but keep serving.
	Draining              // Draining VMs accept no new callers and finish the work in flight.
	Ending                // Ending VMs reply to the requests that are left: refusals to those that have not run.
	Closing               // Closing VMs end their peer connections and announce to peers that they have left.
	Closed                // Closed VMs exit.
)

// Work counts the work in flight that a stop would abort.
type Work struct {
	Requests      int // Requests is the number of callers' requests in flight.
	SendsInFlight int // SendsInFlight is the number of write-like requests in flight to searchers and of parts of peers' queries.
	Tickets       int // Tickets is the number of tickets that are unused and not expired, or whose request is running.
}

// Empty reports whether no work is in flight.
func (w Work) Empty() bool { return w == Work{} }

// Drain is the state of one stop. Set the exported fields before Begin.
type Drain struct {
	BalancerLag  time.Duration // BalancerLag is how long callers still arrive after the readiness check fails.
	Timeout      time.Duration // Timeout bounds the time from Begin to Closed.
	EndReserve   time.Duration // EndReserve is the part of Timeout that is reserved for Ending; 0 skips it.
	CloseReserve time.Duration // CloseReserve is the part of Timeout that is reserved for Closing.

	phase   Phase
	begunAt time.Time
	aborted Work
}

// Begin begins the stop. Later calls have no effect, so that a second signal
// does not shorten the stop.
func (d *Drain) Begin(now time.Time) {
	if d.phase != Serving {
		return
	}
	d.phase = Unready
	d.begunAt = now
}

// Advance returns the phase at now with work w in flight. Call it at the times
// that NextAdvance returns and whenever work ends.
func (d *Drain) Advance(now time.Time, w Work) Phase {
	if d.phase == Unready && !now.Before(d.begunAt.Add(d.BalancerLag)) {
		d.phase = Draining
	}
	if d.phase > Serving && d.phase < Ending && !now.Before(d.EndAt()) {
		d.phase = Ending
	}
	if (d.phase == Draining || d.phase == Ending) && w.Empty() {
		d.phase = Closing
	}
	if d.phase < Closing && d.phase > Serving && !now.Before(d.closeAt()) {
		d.phase = Closing
		d.aborted = w
	}
	if d.phase == Closing && !now.Before(d.Deadline()) {
		d.phase = Closed
	}
	return d.phase
}

// FinishClosing ends the Closing phase before the deadline. Call it when the
// connections are closed.
func (d *Drain) FinishClosing() {
	if d.phase == Closing {
		d.phase = Closed
	}
}

// NextAdvance returns the next time at which the phase changes even if no work
// ends.
func (d *Drain) NextAdvance() time.Time {
	switch d.phase {
	case Unready:
		return wqtime.Earlier(d.begunAt.Add(d.BalancerLag), d.EndAt())
	case Draining:
		return d.EndAt()
	case Ending:
		return d.closeAt()
	default:
		return d.Deadline()
	}
}

// Deadline returns the latest time at which the VM exits.
func (d *Drain) Deadline() time.Time { return d.begunAt.Add(d.Timeout) }

// EndAt returns when Ending starts at the latest.
func (d *Drain) EndAt() time.Time { return d.closeAt().Add(-d.EndReserve) }

// Aborted returns the work that was still in flight when the time for it ran
// out; it is empty when all work finished.
func (d *Drain) Aborted() Work { return d.aborted }

// closeAt returns when Closing starts at the latest.
func (d *Drain) closeAt() time.Time { return d.Deadline().Add(-d.CloseReserve) }
