// Package wqverdict decides from counted responses whether a new version of searchers
// is worse than the old one. It compares both over the same time, so that faults of the
// network or of the load, which hit both sides, are not held against the new version.
//
// Three kinds of bad response are tested apart: responses that report a failure, answers
// several times slower than the usual answer of the old side on the same route, and
// responses that are lost or invalid. Each test is a one-sided CUSUM of the
// log-likelihood ratio between "bad as often as the old side" and "a fixed share more
// often". It forgets good responses, so that a fault that starts late is found as fast
// as one from the start. Load handled: up to some thousand responses per evaluation in
// constant memory for each route and searcher.
//
// # Usage
//
//	t := wqverdict.New()
//	t.Add(now, rows) // the growth since the previous call, both sides
//	if reason := t.Bad(); reason != "" { ... roll back ... }
package wqverdict

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The kinds of bad response.
const (
	failures = iota
	slowness
	losses
	kindCount
)

var kindNames = [kindCount]string{"failures", "slow answers", "lost responses"}

const (
	// baseThreshold is the sum of log-likelihood ratios at which a version counts as bad
	// after few responses. By Wald's bound, a start of a sum at zero leads to a false
	// verdict with a probability under exp(-threshold), 1 in 1,100. As each good response
	// may start a sum anew, the threshold grows with the logarithm of their number.
	baseThreshold = 7.0
	baseResponses = 20.0
	// lossMargin is added for lost responses, since the network loses some as well.
	lossMargin = 4.0
	// suspectSum is the sum from which a single searcher counts as affected, and a quarter
	// of the highest sum of a searcher.
	suspectSum = 1
	// clearResponses is the number of responses of an unaffected searcher from which it
	// speaks for the version.
	clearResponses = 8
	// slowFactor is how many times the median of the old side a slow answer takes. Buckets
	// are 1.19 wide, so up to 2.6 times counts as usual; with a spread of 0.4 (lognormal)
	// 1 in 40 usual answers is slow, and most of those that are three times slower.
	slowFactor = 2.2
	slowMargin = 2 * time.Millisecond // slowMargin covers pauses of the sender on short routes.
	farTime    = 7 * time.Millisecond // farTime is the part of the median that is the way to another availability zone and back.

	longHalfLife  = 30 * time.Second
	shortHalfLife = 2 * time.Second
	minMedianFrom = 5  // minMedianFrom is the number of old answers from which their median is used.
	maxSum        = 40 // maxSum bounds the sums.
)

// excess is the share of responses that a bad version makes bad beyond those that the
// old side has too; floor is the least share that the old side is assumed to have.
var (
	excess = [kindCount]float64{0.2, 0.35, 0.3}
	floor  = [kindCount]float64{0.015, 0.04, 0.03}
)

// routeKey identifies the responses that can be compared: the same route, and the same
// distance to the searcher.
type routeKey struct {
	route string
	far   bool
}

// Test holds the evidence of one rollout. Create it with New.
type Test struct {
	// LatencyFrozen keeps the usual latency of the old side as it is. Set it once the
	// old side no longer bears its usual load.
	LatencyFrozen bool

	baselines map[routeKey]*baseline
	pooled    baseline // pooled holds the shares of all routes; its latency is not used.
	all       sums
	routes    map[string]*sums
	searchers map[string]*searcherSums
	responses uint64
	addedAt   time.Time
}

// sums holds the CUSUM of each kind.
type sums [kindCount]float64

type searcherSums struct {
	sums
	responses uint64
}

// New returns a test without evidence.
func New() *Test {
	return &Test{baselines: make(map[routeKey]*baseline), routes: make(map[string]*sums), searchers: make(map[string]*searcherSums)}
}

// Responses returns the number of responses of the new version so far.
func (t *Test) Responses() uint64 { return t.responses }

// Add adds the responses since the previous call. Counts of one key may be in several
// rows.
func (t *Test) Add(now time.Time, rows []Row) {
	elapsed := time.Duration(0)
	if !t.addedAt.IsZero() {
		elapsed = max(0, now.Sub(t.addedAt))
	}
	t.addedAt = now
	t.addOld(elapsed, rows)
	var all sums
	routes, searchers := make(map[string]*sums), make(map[string]*sums)
	for i := range rows {
		r := &rows[i]
		if !r.New {
			continue
		}
		ratio := t.logRatios(r)
		all.add(ratio)
		entry(routes, r.Route).add(ratio)
		entry(searchers, r.Searcher).add(ratio)
		n := r.Answered + r.Failed + r.Lost
		t.responses += n
		t.searcher(r.Searcher).responses += n
	}
	t.all.accumulate(&all)
	for name, s := range routes {
		entry(t.routes, name).accumulate(s)
	}
	for id, s := range searchers {
		t.searcher(id).accumulate(s)
	}
}

// addOld updates the baselines with the responses of the old side.
func (t *Test) addOld(elapsed time.Duration, rows []Row) {
	seen := make(map[routeKey]bool)
	for _, b := range t.baselines {
		b.latest = [kindCount]proportion{}
	}
	if slices.ContainsFunc(rows, func(r Row) bool { return !r.New }) {
		t.pooled.decay(elapsed, true)
	}
	for i := range rows {
		r := &rows[i]
		if r.New {
			continue
		}
		k := routeKey{r.Route, r.Far}
		b := entry(t.baselines, k)
		if !seen[k] {
			seen[k] = true
			b.decay(elapsed, t.LatencyFrozen)
		}
		b.add(r, t.LatencyFrozen)
		t.pooled.addCounts(r, b)
	}
}

// logRatios returns the log-likelihood ratio of each kind for new responses.
func (t *Test) logRatios(r *Row) sums {
	b := t.baselines[routeKey{r.Route, r.Far}]
	if b == nil {
		b = t.otherDistance(r)
	}
	complete := float64(r.Answered + r.Failed)
	var s sums
	s[failures] = logRatio(failures, float64(r.Failed), complete, t.share(b, failures))
	s[losses] = logRatio(losses, float64(r.Lost), complete+float64(r.Lost), t.share(b, losses))
	if limit, ok := b.slowLimit(r.Far); ok {
		slow, total := slowCount(r, limit)
		s[slowness] = logRatio(slowness, slow, total, t.share(b, slowness))
	}
	return s
}

// share returns the share of bad responses that has nothing to do with the version: that
// of the old side on the same route, or on all routes if that is higher.
func (t *Test) share(b *baseline, kind int) float64 {
	return max(b.share(kind), t.pooled.share(kind))
}

// otherDistance returns the baseline of the route's searchers at the other distance, an
// empty one if there is none.
func (t *Test) otherDistance(r *Row) *baseline {
	if b := t.baselines[routeKey{r.Route, !r.Far}]; b != nil {
		return b
	}
	return &baseline{}
}

// Bad returns why the version is bad, in a few words, or an empty string.
func (t *Test) Bad() string { return t.find(1) }

// Suspicious reports whether the evidence is half way to a verdict.
func (t *Test) Suspicious() bool { return t.find(0.5) != "" }

// find returns the first kind of bad response whose sum reaches a part of the threshold.
func (t *Test) find(part float64) string {
	for kind := range kindCount {
		limit := part * t.threshold(kind)
		if t.limitedToSearcher(kind) {
			continue
		}
		if t.all[kind] >= limit {
			return fmt.Sprintf("%s on all routes, score %.1f, threshold %.1f", kindNames[kind], t.all[kind], limit)
		}
		for name, s := range t.routes {
			if s[kind] >= limit {
				return fmt.Sprintf("%s on route %s, score %.1f, threshold %.1f", kindNames[kind], name, s[kind], limit)
			}
		}
	}
	return ""
}

func (t *Test) threshold(kind int) float64 {
	limit := baseThreshold + math.Log(max(float64(t.responses), baseResponses)/baseResponses)
	if kind == losses {
		limit += lossMargin
	}
	return limit
}

// limitedToSearcher reports whether one searcher alone is affected while others of the
// version have responded well: that is a fault of its machine or of its network.
func (t *Test) limitedToSearcher(kind int) bool {
	highest := 0.0
	for _, s := range t.searchers {
		highest = max(highest, s.sums[kind])
	}
	suspects, clear := 0, 0
	for _, s := range t.searchers {
		switch {
		case s.sums[kind] >= max(suspectSum, highest/4):
			suspects++
		case s.responses >= clearResponses:
			clear++
		}
	}
	return suspects == 1 && clear > 0
}

func (t *Test) searcher(id string) *searcherSums { return entry(t.searchers, id) }

func (s *sums) add(o sums) {
	for i := range s {
		s[i] += o[i]
	}
}

// accumulate adds the ratios of one evaluation to the CUSUM.
func (s *sums) accumulate(o *sums) {
	for i := range s {
		s[i] = min(maxSum, max(0, s[i]+o[i]))
	}
}

// logRatio returns the log-likelihood ratio for bad of n responses between a share p0
// and the share of a bad version.
func logRatio(kind int, bad, n, p0 float64) float64 {
	if n <= 0 {
		return 0
	}
	p1 := 1 - (1-p0)*(1-excess[kind])
	return bad*math.Log(p1/p0) + (n-bad)*math.Log((1-p1)/(1-p0))
}

// slowCount returns how many of the responses took longer than limit, and of how many
// that is known.
func slowCount(r *Row, limit time.Duration) (slow, total float64) {
	from := Bucket(limit) + 1
	for i, n := range r.Latency {
		total += float64(n)
		if i >= from {
			slow += float64(n)
		}
	}
	for i, n := range r.Cut {
		if i >= from {
			slow += float64(n)
			total += float64(n)
		}
	}
	return slow, total
}

func entry[K comparable, V any](m map[K]*V, k K) *V {
	if m[k] == nil {
		m[k] = new(V)
	}
	return m[k]
}
