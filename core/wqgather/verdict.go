package wqgather

import (
	"math"
	"time"
)

// State returns what to do with the request at now.
func (g *Gather[P, H]) State(now time.Time) State {
	if g.answered == len(g.shards) {
		return Complete
	}
	possible, likely := g.prospects(now)
	enough := g.answered >= g.least()
	over := !now.Before(g.Deadline)
	switch {
	case enough && (likely == 0 || over || g.settled(now)):
		return Partial
	case over && !g.mayHaveRun():
		return Refused
	case over:
		return Expired
	case g.answered+possible >= g.least():
		return Pending
	case g.mayHaveRun():
		return Failed
	}
	return Refused
}

// least returns how many services must answer.
func (g *Gather[P, H]) least() int {
	if !g.Route.FanOut() {
		return len(g.shards)
	}
	// The share is a decimal fraction; the small term absorbs its rounding.
	return max(1, int(math.Ceil(g.Route.LeastShare*float64(len(g.shards))-1e-9)))
}

// settled reports whether it is time to make do with enough answers.
func (g *Gather[P, H]) settled(now time.Time) bool {
	return !g.PartialAfter.IsZero() && !now.Before(g.PartialAfter)
}

// prospects counts the services that may still answer, and those whose answer
// can be expected.
func (g *Gather[P, H]) prospects(now time.Time) (possible, likely int) {
	for i := range g.shards {
		s := &g.shards[i]
		if s.answered || s.closed && len(s.flights) == 0 {
			continue
		}
		possible++
		if len(s.flights) == 0 || !g.silent(now, s) {
			likely++
		}
	}
	return possible, likely
}

func (g *Gather[P, H]) silent(now time.Time, s *shard) bool {
	for _, f := range s.flights {
		if !g.Picker.Unresponsive(now, f.target.Searcher.ID) {
			return false
		}
	}
	return true
}

// mayHaveRun reports whether a searcher may have begun to work on the request.
func (g *Gather[P, H]) mayHaveRun() bool {
	return g.ran || g.answered > 0 || g.InFlight() > 0
}
