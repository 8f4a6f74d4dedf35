package wqgather

import (
	"math"
	"time"
)

// State returns the state of the request at now.
func (g *Gather[P, H]) State(now time.Time) State {
	if g.answeredCount == len(g.progress) {
		return Complete
	}
	possible, likely := g.countUnanswered(now)
	enough := g.answeredCount >= g.minAnswers()
	expired := !now.Before(g.Deadline)
	switch {
	case enough && (likely == 0 || expired || g.partialAnswerDue(now)):
		return Partial
	case expired && !g.mayHaveRun():
		return Refused
	case expired:
		return Expired
	case g.answeredCount+possible >= g.minAnswers():
		return Pending
	case g.mayHaveRun():
		return Failed
	}
	return Refused
}

// minAnswers returns how many services must answer for a reply.
func (g *Gather[P, H]) minAnswers() int {
	if !g.Route.FanOut() {
		return len(g.progress)
	}
	// LeastShare is a decimal fraction; 1e-9 absorbs its rounding error.
	return max(1, int(math.Ceil(g.Route.LeastShare*float64(len(g.progress))-1e-9)))
}

// partialAnswerDue reports whether PartialAfter is set and has passed.
func (g *Gather[P, H]) partialAnswerDue(now time.Time) bool {
	return !g.PartialAfter.IsZero() && !now.Before(g.PartialAfter)
}

// countUnanswered counts the services that may still answer, and those of them
// that are likely to: not all searchers with a send in flight are unresponsive.
func (g *Gather[P, H]) countUnanswered(now time.Time) (possible, likely int) {
	for i := range g.progress {
		s := &g.progress[i]
		if s.answered || s.closed && len(s.inFlight) == 0 {
			continue
		}
		possible++
		if len(s.inFlight) == 0 || !g.allUnresponsive(now, s) {
			likely++
		}
	}
	return possible, likely
}

func (g *Gather[P, H]) allUnresponsive(now time.Time, s *serviceProgress) bool {
	for _, f := range s.inFlight {
		if !g.Picker.Unresponsive(now, f.target.Searcher.ID) {
			return false
		}
	}
	return true
}

// mayHaveRun reports whether some searcher may have run the request.
func (g *Gather[P, H]) mayHaveRun() bool {
	return g.failedSendMayHaveRun || g.answeredCount > 0 || g.InFlight() > 0
}
