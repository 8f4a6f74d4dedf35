// Package wqcoldstart limits what one VM sends to a target that is, or may be, in
// cold start. A target in cold start can serve few requests at a time and fails
// when it gets more.
//
// Each holder of a target owns a share of the target's limit of requests in flight
// during cold start. The shares add up to that limit, so holders stay within it
// without exchanging messages. A holder without a share sends nothing until the
// duration of the cold start has passed since the first contact.
//
// A target is treated as cold when it is new to this VM, when its incarnation
// changes, when it reports that it is cold, and when a connection to it is lost
// or refused. A restarted process is reached only over new connections, and a lost
// connection lowers the limit before a new one is opened, so no request under the
// limit of the warm target reaches the new process. A reply of the same
// incarnation that reports a warm target lifts the limit that a lost connection
// caused.
//
// # Usage
//
//	g := wqcoldstart.Gate{Share: 3, ColdShare: 1, ColdStartDuration: 10 * time.Second}
//	if inFlight < g.MaxInFlight(now) {
//		// send, then
//		g.ReplyReceived(now, reply.Incarnation, reply.Cold)
//		// or, when the connection was lost or refused,
//		g.ConnectionLost()
//	}
//	g.HealthReported(now, health.Incarnation, health.Cold)
//
// A Gate is not safe for concurrent use.
package wqcoldstart

import "time"

// probeMarginDivisor sets the margin that a holder without a share of the cold
// start adds to ColdStartDuration before it sends its first request: the
// duration divided by this.
const probeMarginDivisor = 4

type phase uint8

const (
	cold    phase = iota // limit is ColdShare
	ramping              // limit grows by one request with each reply
	warm                 // limit is Share
)

// Gate limits the requests of one VM to one target by the target's cold start.
// Set its exported fields before use; they may change at any time. The target
// of a new Gate is cold.
type Gate struct {
	Share             int           // Share is this VM's maximum of requests in flight to the warm target.
	ColdShare         int           // ColdShare is its maximum during cold start; 0 sends none in that time.
	ColdStartDuration time.Duration // ColdStartDuration is how long the target's cold start lasts; 0 means that it has none.

	phase               phase
	rampLimit           int // maximum of requests in flight while ramping
	incarnation         string
	previousIncarnation string    // its delayed replies are ignored
	restarted           bool      // whether the incarnation replaced another one
	coldSince           time.Time // when the current cold start was noticed
	connectionLost      bool      // true from a lost connection until the next reply
	firstContact        time.Time // first reply or health report since the gate was created or a connection was lost
}

// MaxInFlight returns how many requests this VM may have in flight to the
// target.
func (g *Gate) MaxInFlight(now time.Time) int {
	switch {
	case g.ColdStartDuration <= 0 || (g.phase == warm && !g.connectionLost):
		return g.Share
	case g.phase == ramping && !g.connectionLost:
		return min(g.rampLimit, g.Share)
	case g.ColdShare > 0:
		return min(g.ColdShare, g.Share)
	case g.mayProbe(now):
		return min(1, g.Share)
	}
	return 0
}

// Cold reports whether the target is treated as cold.
func (g *Gate) Cold() bool {
	return g.ColdStartDuration > 0 && (g.connectionLost || g.phase == cold)
}

// ReplyReceived records a reply of the target to a request, refusals included.
// An empty incarnation means that the reply did not contain one.
func (g *Gate) ReplyReceived(now time.Time, incarnation string, reportedCold bool) {
	if incarnation != "" && incarnation == g.previousIncarnation {
		return
	}
	if incarnation != "" && incarnation != g.incarnation {
		g.startIncarnation(now, incarnation)
	}
	g.connectionLost = false
	g.recordContact(now)
	if reportedCold {
		g.markCold(now)
		return
	}
	g.advancePhase(now)
}

// ConnectionLost records that a connection to the target was lost or refused.
func (g *Gate) ConnectionLost() {
	g.connectionLost = true
	g.firstContact = time.Time{}
}

// HealthReported records a report of the target's health endpoint, which may be
// wrong: it can lower the limit and never raises it.
func (g *Gate) HealthReported(now time.Time, incarnation string, reportedCold bool) {
	bothReported := g.incarnation != "" && incarnation != ""
	if bothReported && incarnation != g.incarnation && incarnation != g.previousIncarnation {
		g.startIncarnation(now, incarnation)
	}
	g.recordContact(now)
	if reportedCold && g.phase != cold {
		g.phase = cold
		g.coldSince = now
	}
}

// startIncarnation starts the cold start of a new incarnation.
func (g *Gate) startIncarnation(now time.Time, incarnation string) {
	g.recordContact(now)
	g.restarted = g.incarnation != ""
	g.previousIncarnation = g.incarnation
	g.incarnation = incarnation
	g.phase = cold
	g.coldSince = now
	if g.connectionLost {
		g.coldSince = g.firstContact
	}
}

func (g *Gate) recordContact(now time.Time) {
	if g.firstContact.IsZero() {
		g.firstContact = now
	}
}

func (g *Gate) markCold(now time.Time) {
	if g.phase != cold {
		g.phase = cold
		g.coldSince = now
	}
	g.firstContact = now.Add(-g.ColdStartDuration)
}

// advancePhase moves one step towards warm after a reply that reports a warm
// target. The report of a target that restarted is ignored until the duration
// of the cold start has passed.
func (g *Gate) advancePhase(now time.Time) {
	switch g.phase {
	case cold:
		if g.restarted && now.Before(g.coldSince.Add(g.ColdStartDuration)) {
			return
		}
		g.phase = ramping
		g.rampLimit = max(g.ColdShare, 1)
	case ramping:
		g.rampLimit++
	}
	if g.rampLimit >= g.Share {
		g.phase = warm
	}
}

// mayProbe reports whether a holder without a share of the cold start may send
// one request.
func (g *Gate) mayProbe(now time.Time) bool {
	return !g.firstContact.IsZero() && !now.Before(g.firstContact.Add(g.ColdStartDuration+g.ColdStartDuration/probeMarginDivisor))
}
