// Package wqdrain decides the steps of a graceful stop: the VM turns unready and
// tells its peers, serves on until the balancer has noticed, takes no new
// requests while those in progress finish and its tickets are settled or expire,
// and then closes. A limit bounds all of it, whatever hangs.
//
// # Usage
//
// One goroutine calls Stop at the first signal and then Next until it returns
// Closed, doing the work of each phase when it is entered:
//
//	d := &wqdrain.Drain{BalancerLag: 2 * time.Second, Limit: 45 * time.Second, Reserve: time.Second}
//	d.Stop(now)
//	switch d.Next(now, work) { ... }
//
// A ticket's life bounds the longest stop of a VM whose callers keep a ticket
// unused, so Limit is to be at least BalancerLag, the life of tickets and
// Reserve together.
package wqdrain

import (
	"time"

	"wisteriaquay/core/wqtime"
)

// Phase is a step of a stop. Phases only follow each other in this order.
type Phase uint8

// The phases.
const (
	Serving  Phase = iota // Serving is before the stop.
	Unready               // Unready VMs fail their readiness check and tell peers that they leave, but serve on.
	Draining              // Draining VMs take no new callers and finish what is in progress.
	Closing               // Closing VMs end their peer connections and tell peers that they are gone.
	Closed                // Closed VMs exit.
)

// Work counts what a stop would cut.
type Work struct {
	Requests int // Requests are callers' calls in progress.
	InFlight int // InFlight are write-like requests on their way to searchers, and parts of peers' queries.
	Tickets  int // Tickets are those that may still be used or whose requests run.
}

// Empty reports whether a stop would cut nothing.
func (w Work) Empty() bool { return w == Work{} }

// Drain is the progress of one stop. Set the exported fields before Stop.
type Drain struct {
	BalancerLag  time.Duration // BalancerLag is how long callers still arrive after the readiness check fails.
	Timeout      time.Duration // Timeout is the longest time from the first signal to Closed.
	CloseReserve time.Duration // CloseReserve is the part of Limit that is kept for Closing.

	phase   Phase
	stopped time.Time
	cut     Work
}

// Begin starts the stop. Later calls change nothing, so that a second signal
// cuts nothing short.
func (d *Drain) Begin(now time.Time) {
	if d.phase != Serving {
		return
	}
	d.phase = Unready
	d.stopped = now
}

// Advance returns the phase at now. Call it at the times that Wake returns and
// when work ends.
func (d *Drain) Advance(now time.Time, w Work) Phase {
	if d.phase == Unready && !now.Before(d.stopped.Add(d.BalancerLag)) {
		d.phase = Draining
	}
	if d.phase == Draining && w.Empty() {
		d.phase = Closing
	}
	if d.phase < Closing && d.phase > Serving && !now.Before(d.closeBy()) {
		d.phase = Closing
		d.cut = w
	}
	if d.phase == Closing && !now.Before(d.Deadline()) {
		d.phase = Closed
	}
	return d.phase
}

// FinishClosing ends Closing once its work is done.
func (d *Drain) FinishClosing() {
	if d.phase == Closing {
		d.phase = Closed
	}
}

// NextAdvance returns the next time at which Next changes by time alone.
func (d *Drain) NextAdvance() time.Time {
	switch d.phase {
	case Unready:
		return wqtime.Earlier(d.stopped.Add(d.BalancerLag), d.closeBy())
	case Draining:
		return d.closeBy()
	default:
		return d.Deadline()
	}
}

// Deadline returns when the VM exits at the latest.
func (d *Drain) Deadline() time.Time { return d.stopped.Add(d.Timeout) }

// Aborted returns the work that the limit cut, empty after a stop that finished.
func (d *Drain) Aborted() Work { return d.cut }

func (d *Drain) closeBy() time.Time { return d.Deadline().Add(-d.CloseReserve) }
