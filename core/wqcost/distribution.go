package wqcost

import (
	"math"
	"time"
)

const (
	binsPerOctave = 4
	binCount      = 36      // from 1/8 to 64 times the typical cost
	lowestLog     = -3.0    // base-2 logarithm of the lowest edge
	tailShare     = 0.5     // expected rest beyond the last bin, as a share of the time passed
	priorSpread   = 0.5     // standard deviation of the logarithm, before there are observations
	priorWeight   = 30.0    // observations that the prior counts as
	maxWeight     = 2000.0  // when reached, older observations count half
	refreshEvery  = 16      // observations between two updates of the published shape
	defaultTail   = 1.5     // mean of the last bin, relative to its lower edge
	minCost       = 1000.0  // 1 us, in nanoseconds
	maxCost       = 600.0e9 // 10 minutes
)

// Distribution is the likely cost of one request: the time that it takes at a searcher
// of usual speed, without waiting. The zero value is a cost of 0.
type Distribution struct {
	Scale time.Duration // typical cost, the median or a little above
	Shape *Shape        // relative to Scale; nil for a cost that is known exactly
}

// Shape is the distribution of costs relative to their estimate. It is immutable.
type Shape struct {
	mean     float64
	survival [binCount + 1]float64 // share of the costs above the lower edge of a bin
	rest     [binCount + 1]float64 // mean of what is left, of the costs above that edge
}

// Mean returns the mean cost.
func (d Distribution) Mean() time.Duration {
	if d.Shape == nil {
		return d.Scale
	}
	return time.Duration(float64(d.Scale) * d.Shape.mean)
}

// Remaining returns the mean of what is left of a request that has run for this long.
func (d Distribution) Remaining(passed time.Duration) time.Duration {
	if d.Shape == nil {
		return max(d.Scale-passed, 0)
	}
	if passed <= 0 {
		return d.Mean()
	}
	return time.Duration(float64(d.Scale) * d.Shape.restAfter(float64(passed)/float64(max(d.Scale, 1))))
}

// Done returns the mean part of the cost that a request has used up after running for
// this long, if it may have ended before: 0 at the start, the mean cost in the end.
func (d Distribution) Done(passed time.Duration) time.Duration {
	if d.Shape == nil {
		return min(d.Scale, max(passed, 0))
	}
	if passed <= 0 {
		return 0
	}
	x := float64(passed) / float64(max(d.Scale, 1))
	return time.Duration(float64(d.Scale) * max(0, d.Shape.mean-d.Shape.survivalAt(x)*d.Shape.restAfter(x)))
}

// position returns the bin of a relative cost and how far inside it the cost is.
func position(x float64) (bin int, inside float64) {
	p := (math.Log2(x) - lowestLog) * binsPerOctave
	if p >= binCount {
		return binCount, 0
	}
	bin = int(p)
	return bin, p - float64(bin)
}

func edge(bin int) float64 { return math.Exp2(lowestLog + float64(bin)/binsPerOctave) }

func (s *Shape) restAfter(x float64) float64 {
	if x <= edge(0) {
		return max(s.mean-x, 0)
	}
	bin, inside := position(x)
	if bin >= binCount {
		return tailShare * x
	}
	return s.rest[bin] + inside*(s.rest[bin+1]-s.rest[bin])
}

func (s *Shape) survivalAt(x float64) float64 {
	if x <= edge(0) {
		return 1
	}
	bin, inside := position(x)
	if bin >= binCount {
		return s.survival[binCount]
	}
	return s.survival[bin] + inside*(s.survival[bin+1]-s.survival[bin])
}

// histogram counts relative costs.
type histogram struct {
	counts [binCount]float64
	total  float64
}

func newHistogram() *histogram {
	h := &histogram{}
	for i := range h.counts {
		z := math.Log(edge(i)*math.Exp2(0.5/binsPerOctave)) / priorSpread
		h.counts[i] = math.Exp(-z * z / 2)
		h.total += h.counts[i]
	}
	for i := range h.counts {
		h.counts[i] *= priorWeight / h.total
	}
	h.total = priorWeight
	return h
}

func (h *histogram) add(x, weight float64) {
	if h.total >= maxWeight {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
	}
	bin := 0
	if x > edge(0) {
		bin, _ = position(x)
	}
	h.counts[min(bin, binCount-1)] += weight
	h.total += weight
}

// shape returns the distribution of the costs counted.
func (h *histogram) shape() *Shape {
	s := &Shape{}
	above, sum := 0.0, 0.0 // share and sum of the costs above the edge
	s.rest[binCount] = tailShare * edge(binCount)
	for i := binCount - 1; i >= 0; i-- {
		share := h.counts[i] / h.total
		middle := edge(i) * math.Exp2(0.5/binsPerOctave)
		if i == binCount-1 {
			middle = edge(i) * defaultTail
		}
		above += share
		sum += share * middle
		s.survival[i] = above
		s.rest[i] = tailShare * edge(i)
		if above > 1e-9 {
			s.rest[i] = max(sum/above-edge(i), 0)
		}
	}
	s.mean = sum
	return s
}
