package wqgather

import (
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqtime"
)

const (
	// maxUnavailableWait bounds how long a request waits for a service whose searchers
	// all want no requests, whatever its deadline: it holds memory and a connection of
	// the VM, and its caller can wait instead.
	maxUnavailableWait = 10 * time.Second
	// unavailablePoll is the time between two checks whether a service has become
	// available sooner, by another searcher. It also spreads the sends of requests that
	// wait for the same searcher.
	unavailablePoll = 5 * pollInterval
)

// waitTime returns the time until the first of targets may be sent requests, 0 if one
// may be or none is known to want no requests, and whether that one waits for its limit.
func (g *Gather[P, H]) waitTime(now time.Time, targets []*wqdirectory.Target) (wait time.Duration, limited bool) {
	if g.WaitTime == nil {
		return 0, false
	}
	return g.WaitTime(now, targets)
}

// unavailable reports whether no target of a service can be sent the request in time. A
// request does not wait for the limit of a searcher: others wait too, and the searcher
// gets no more requests because of it.
func (g *Gather[P, H]) unavailable(now time.Time, targets []*wqdirectory.Target) bool {
	wait, limited := g.waitTime(now, targets)
	return len(targets) == 0 || wait > 0 && (limited || wait > maxUnavailableWait || wait >= g.Deadline.Sub(now))
}

// postpone records that no send to a service was possible: there is no target, or a
// target but no budget for an extra send. It closes the service if it is of no use to
// wait.
func (g *Gather[P, H]) postpone(now time.Time, s *serviceProgress, targets []*wqdirectory.Target, hasTarget bool) {
	if len(s.inFlight) == 0 {
		// A fan-out waits for its other services in any case; until then the
		// budget may refill.
		noBudget := hasTarget && !g.Route.FanOut()
		s.closed = noBudget || !hasTarget && g.unavailable(now, targets)
	}
	wait, _ := g.waitTime(now, targets)
	delay := max(pollInterval, min(wait, unavailablePoll))
	s.retryAt = wqtime.Later(s.retryAt, now.Add(delay))
}
