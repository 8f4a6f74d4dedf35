// Package wqcoldstart bounds what one VM sends to a target that is, or may be, in
// cold start, when it bears few requests and falls over above them.
//
// Each holder of a target owns a share of the requests that the target bears
// while cold; the shares add up to the target's own number, so that holders
// need no message to stay within it. A holder without a share sends nothing
// until the target's own time has passed since the first contact.
//
// A target counts as cold at first sight, when its incarnation changes, when it
// says so, and when a connection to it is lost or refused. A restarted process
// is reached only over new connections, and a lost connection closes the gate
// before one is made; so no request of the old limit reaches the new process.
// A reply by the incarnation known before, which says that it is warm, clears a
// lost connection at once.
//
// # Usage
//
//	g := wqcoldstart.Gate{Share: 3, ColdShare: 1, Warm: 10 * time.Second}
//	if inFlight < g.Allowed(now) {
//		// send, then
//		g.Answered(now, reply.Incarnation, reply.Cold)
//		// or, when the connection was lost or refused,
//		g.Suspect()
//	}
//	g.Hint(now, health.Incarnation, health.Cold)
//
// A Gate is not safe for concurrent use.
package wqcoldstart

import "time"

// probeMargin divides Warm into the further time that a holder without a share
// of the cold start waits before it sends one request.
const probeMargin = 4

type phase uint8

const (
	cold    phase = iota // cold allows the share of the cold start.
	ramping              // ramping allows one more request with each answer.
	warm                 // warm allows the whole share.
)

// Gate is one VM's view of one target's cold start. Set its exported fields
// before use; they may change at any time. The zero phase is cold.
type Gate struct {
	Share             int           // Share is how many requests at once this VM may send to the warm target.
	ColdShare         int           // ColdShare is how many it may send in cold start; 0 leaves that to other holders.
	ColdStartDuration time.Duration // ColdStartDuration is how long the target's cold start lasts; 0 means that it has none.

	phase       phase
	level       int // level is the allowance while ramping.
	incarnation string
	previous    string    // previous is the incarnation before; late replies of it are ignored.
	restarted   bool      // restarted is true when the present incarnation was seen to replace another.
	since       time.Time // since is when the present cold start was noticed.
	suspect     bool      // suspect is true from a lost connection to the next reply.
	contact     time.Time // contact is the first word of the target since the gate was made or suspect.
}

// MaxInFlight returns how many requests this VM may have in flight to the target.
func (g *Gate) MaxInFlight(now time.Time) int {
	switch {
	case g.ColdStartDuration <= 0 || (g.phase == warm && !g.suspect):
		return g.Share
	case g.phase == ramping && !g.suspect:
		return min(g.level, g.Share)
	case g.ColdShare > 0:
		return min(g.ColdShare, g.Share)
	case g.mayProbe(now):
		return min(1, g.Share)
	}
	return 0
}

// Cold reports whether the target is treated as cold.
func (g *Gate) Cold() bool {
	return g.ColdStartDuration > 0 && (g.suspect || g.phase == cold)
}

// ReplyReceived learns from a reply that the target gave to a request, refusals
// included. An empty incarnation means that the reply did not name it.
func (g *Gate) ReplyReceived(now time.Time, incarnation string, saysCold bool) {
	if incarnation != "" && incarnation == g.previous {
		return
	}
	if incarnation != "" && incarnation != g.incarnation {
		g.begin(now, incarnation)
	}
	g.suspect = false
	g.touch(now)
	if saysCold {
		g.stayCold(now)
		return
	}
	g.advance(now)
}

// ConnectionLost learns that a connection to the target was lost or refused.
func (g *Gate) ConnectionLost() {
	g.suspect = true
	g.contact = time.Time{}
}

// HealthReported learns from the target's health endpoint, which may be wrong: it can
// make the gate stricter and never less strict.
func (g *Gate) HealthReported(now time.Time, incarnation string, saysCold bool) {
	known := g.incarnation != "" && incarnation != ""
	if known && incarnation != g.incarnation && incarnation != g.previous {
		g.begin(now, incarnation)
	}
	g.touch(now)
	if saysCold && g.phase != cold {
		g.phase = cold
		g.since = now
	}
}

// begin notes a new incarnation.
func (g *Gate) begin(now time.Time, incarnation string) {
	g.touch(now)
	g.restarted = g.incarnation != ""
	g.previous = g.incarnation
	g.incarnation = incarnation
	g.phase = cold
	g.since = now
	if g.suspect {
		g.since = g.contact
	}
}

func (g *Gate) touch(now time.Time) {
	if g.contact.IsZero() {
		g.contact = now
	}
}

func (g *Gate) stayCold(now time.Time) {
	if g.phase != cold {
		g.phase = cold
		g.since = now
	}
	g.contact = now.Add(-g.ColdStartDuration)
}

// advance moves towards warm after the word of a reply that it is. A target
// that was seen to restart is not believed before its own time has passed.
func (g *Gate) advance(now time.Time) {
	switch g.phase {
	case cold:
		if g.restarted && now.Before(g.since.Add(g.ColdStartDuration)) {
			return
		}
		g.phase = ramping
		g.level = max(g.ColdShare, 1)
	case ramping:
		g.level++
	}
	if g.level >= g.Share {
		g.phase = warm
	}
}

func (g *Gate) mayProbe(now time.Time) bool {
	return !g.contact.IsZero() && !now.Before(g.contact.Add(g.ColdStartDuration+g.ColdStartDuration/probeMargin))
}
