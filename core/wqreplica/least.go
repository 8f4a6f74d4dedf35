package wqreplica

import (
	"time"

	"wisteriaquay/core/wqobservation"
)

// farPenalty is how much slower a near candidate may seem before a far one is
// preferred: the measured latency of a far one already contains its distance,
// so that this only breaks ties.
const farPenalty = 1.1

// refusalMemory is how long a refusal counts against a candidate.
const refusalMemory = 500 * time.Millisecond

// refusalPenalty multiplies the expected latency of a candidate that refused.
const refusalPenalty = 8

// TwoChoices draws two candidates and picks the one with the lower expected latency.
// Cold candidates are drawn only when there is no warm one.
type TwoChoices struct {
	Stats *Stats
}

// Pick returns the index of a candidate, -1 when there is none.
func (l TwoChoices) Pick(now time.Time, candidates []Candidate, random uint64) int {
	warm := countWarm(candidates)
	if warm == 0 {
		return Random{}.Pick(now, candidates, random)
	}
	a := nthWarm(candidates, int(random>>32)%warm)
	if warm == 1 {
		return a
	}
	skip := 1 + int(random&0xffffffff)%(warm-1)
	b := nthWarm(candidates, (int(random>>32)%warm+skip)%warm)
	if l.cost(now, &candidates[b]) < l.cost(now, &candidates[a]) {
		return b
	}
	return a
}

// RecordSent notes that a sub-query was sent.
func (l TwoChoices) RecordSent(c *Candidate) { l.Stats.cell(c).inFlight.Add(1) }

// RecordResult notes how a sub-query ended. Latency is the time from sending it.
func (l TwoChoices) RecordResult(now time.Time, c *Candidate, status wqobservation.Status, latency time.Duration) {
	cell := l.Stats.cell(c)
	cell.inFlight.Add(-1)
	switch status {
	case wqobservation.Answered:
		cell.observe(latency)
	case wqobservation.Expired:
		cell.observe(max(latency, cell.expected()))
	case wqobservation.SnapshotGone:
	default:
		cell.refusedAt.Store(now.UnixNano())
	}
}

func (l TwoChoices) cost(now time.Time, c *Candidate) float64 {
	cell := l.Stats.cell(c)
	expected := float64(cell.expected())
	if expected == 0 {
		expected = float64(max(c.Latency, time.Microsecond))
	}
	slots := float64(max(c.Slots, 1))
	cost := expected * (1 + float64(cell.inFlight.Load())/slots)
	if !c.SameZone {
		cost *= farPenalty
	}
	if now.UnixNano()-cell.refusedAt.Load() < int64(refusalMemory) {
		cost *= refusalPenalty
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
