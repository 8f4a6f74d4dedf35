package wqverdict

import (
	"math"
	"time"
)

// baseline holds the decayed counts of the old side on one route. The long window gives
// the usual state, the short one and the latest evaluation show a fault of the moment.
type baseline struct {
	long, short, latest [kindCount]proportion
	latency             [BucketCount]float64
	answers             float64
}

// proportion is a decayed count of bad responses among all.
type proportion struct{ bad, all float64 }

func (p *proportion) scale(f float64) { p.bad, p.all = p.bad*f, p.all*f }

// estimate returns the share of bad responses, drawn to floor while there are few, plus
// half a standard deviation.
func (p *proportion) estimate(floor float64) float64 {
	const priorWeight = 10
	n := p.all + priorWeight
	share := (p.bad + floor*priorWeight) / n
	return share + 0.5*math.Sqrt(share*(1-share)/n)
}

// decay ages the counts. A baseline without new responses stays as it is, since the old
// side gets none at the end of a rollout.
func (b *baseline) decay(elapsed time.Duration, latencyFrozen bool) {
	slow, fast := math.Exp2(-float64(elapsed)/float64(longHalfLife)), math.Exp2(-float64(elapsed)/float64(shortHalfLife))
	for i := range kindCount {
		b.long[i].scale(slow)
		b.short[i].scale(fast)
		b.latest[i] = proportion{}
	}
	if latencyFrozen {
		return
	}
	b.answers *= slow
	for i := range b.latency {
		b.latency[i] *= slow
	}
}

func (b *baseline) add(r *Row, latencyFrozen bool) {
	if !latencyFrozen {
		for i, n := range r.Latency {
			b.latency[i] += float64(n)
			b.answers += float64(n)
		}
	}
	b.addCounts(r, b)
}

// addCounts adds the responses of a row whose usual latency is that of usual.
func (b *baseline) addCounts(r *Row, usual *baseline) {
	complete := float64(r.Answered + r.Failed)
	b.count(failures, float64(r.Failed), complete)
	b.count(losses, float64(r.Lost), complete+float64(r.Lost))
	if limit, ok := usual.slowLimit(r.Far); ok {
		slow, total := slowCount(r, limit)
		b.count(slowness, slow, total)
	}
}

func (b *baseline) count(kind int, bad, all float64) {
	for _, p := range []*proportion{&b.long[kind], &b.short[kind], &b.latest[kind]} {
		p.bad, p.all = p.bad+bad, p.all+all
	}
}

// share returns the share of bad responses to expect without a fault of the version.
func (b *baseline) share(kind int) float64 {
	p := max(b.long[kind].estimate(floor[kind]), b.short[kind].estimate(floor[kind]))
	if b.latest[kind].all > 0 {
		p = max(p, b.latest[kind].estimate(floor[kind]))
	}
	return min(p, 0.9)
}

// slowLimit returns the latency from which an answer is slow, and false while the usual
// latency is unknown.
func (b *baseline) slowLimit(far bool) (time.Duration, bool) {
	if b.answers < minMedianFrom {
		return 0, false
	}
	seen := 0.0
	for i, n := range b.latency {
		seen += n
		if seen >= b.answers/2 {
			median := float64(firstBucket) * math.Exp2((float64(i)+0.5)/bucketsPerDoubling)
			way := 0.0
			if far {
				way = min(float64(farTime), median/2)
			}
			return time.Duration(slowFactor*(median-way)+way) + slowMargin, true
		}
	}
	return 0, false
}
