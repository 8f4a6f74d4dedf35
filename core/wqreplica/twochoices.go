package wqreplica

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

// otherZoneFactor multiplies the cost of a candidate in another zone. Its latency
// already includes the distance, so the factor only has to break ties.
const otherZoneFactor = 1.1

// failurePenaltyPeriod is the time for which a failure or refusal raises the cost
// of a candidate.
const failurePenaltyPeriod = 500 * time.Millisecond

// failureFactor multiplies the cost of a candidate that failed or refused recently.
const failureFactor = 8

// TwoChoices draws two candidates at random and picks the one with the lower cost
// (power of two choices). Cold candidates are drawn only when there is no warm one.
type TwoChoices struct {
	Stats *Stats
}

// Pick returns the index of a candidate, -1 if there is none.
func (t TwoChoices) Pick(now time.Time, candidates []Candidate, random uint64) int {
	warm := countWarm(candidates)
	if warm == 0 {
		return Random{}.Pick(now, candidates, random)
	}
	a := nthWarm(candidates, int(random>>32)%warm)
	if warm == 1 {
		return a
	}
	offset := 1 + int(random&0xffffffff)%(warm-1)
	b := nthWarm(candidates, (int(random>>32)%warm+offset)%warm)
	if t.cost(now, &candidates[b]) < t.cost(now, &candidates[a]) {
		return b
	}
	return a
}

// RecordSent records that a sub-query was sent to the candidate.
func (t TwoChoices) RecordSent(c *Candidate) { t.Stats.candidate(c).inFlight.Add(1) }

// RecordResult records how a sub-query ended and the time since it was sent.
func (t TwoChoices) RecordResult(now time.Time, c *Candidate, status wqobservation.Status, latency time.Duration) {
	stats := t.Stats.candidate(c)
	stats.inFlight.Add(-1)
	switch status {
	case wqobservation.Answered:
		stats.observe(latency)
	case wqobservation.Expired:
		stats.observe(max(latency, stats.expectedLatency()))
	case wqobservation.SnapshotGone:
	default:
		stats.failedAt.Store(now.UnixNano())
	}
}

func (t TwoChoices) cost(now time.Time, c *Candidate) float64 {
	stats := t.Stats.candidate(c)
	expected := float64(stats.expectedLatency())
	if expected == 0 {
		expected = float64(max(c.Latency, time.Microsecond))
	}
	slots := float64(max(c.Slots, 1))
	cost := expected * (1 + float64(stats.inFlight.Load())/slots)
	if !c.SameZone {
		cost *= otherZoneFactor
	}
	if now.UnixNano()-stats.failedAt.Load() < int64(failurePenaltyPeriod) {
		cost *= failureFactor
	}
	return cost
}

func countWarm(candidates []Candidate) int {
	warm := 0
	for i := range candidates {
		if !candidates[i].Cold {
			warm++
		}
	}
	return warm
}

func nthWarm(candidates []Candidate, n int) int {
	for i := range candidates {
		if candidates[i].Cold {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}
