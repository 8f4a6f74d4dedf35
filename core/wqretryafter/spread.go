package wqretryafter

import "time"

const (
	// spreadShare is the random part of a computed delay, so that callers that were
	// refused together do not all come back in the moment in which searchers may be
	// asked again.
	spreadShare = 0.25
	minSpread   = 50 * time.Millisecond
	maxSpread   = time.Second // A caller has few attempts within its total time.
)

// Spread returns the delay for a request that can't be served before wait has passed:
// wait and a random part beyond it. Random is any random number.
func Spread(wait time.Duration, random uint64) time.Duration {
	width := min(max(time.Duration(spreadShare*float64(wait)), minSpread), maxSpread)
	return wait + time.Duration(float64(width)*float64(random>>11)/(1<<53))
}
