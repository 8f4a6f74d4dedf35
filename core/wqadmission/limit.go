package wqadmission

import "time"

const (
	window       = 100 * time.Millisecond // window is how often the limit is adjusted.
	leastDone    = 5                      // leastDone is how many finished queries an adjustment needs.
	strainShare  = 0.03                   // strainShare of strained queries lowers the limit.
	spread       = 3                      // spread is how many shards must refuse in a window to count as strain; fewer are sick shards.
	deepestCut   = 0.7                    // deepestCut is the lowest factor after a strained window.
	slowCut      = 0.95                   // slowCut is the factor after a slow window.
	nearCeiling  = 0.9                    // nearCeiling is the share of the last strained limit below which the limit rises fast.
	fastRise     = 0.25                   // fastRise is what a window adds below it, as a share of the limit.
	slowRise     = 0.02                   // slowRise is what a window adds near and above it, as a share of the limit.
	longClean    = 20                     // longClean is how many windows without strain let it rise by more again.
	longRise     = 0.1                    // longRise is what a window adds after them, as a share of the limit.
	firstRise    = 1.5                    // firstRise is the factor until the first strain.
	averageGain  = 0.2                    // averageGain is the weight of the newest window in the averages.
	busyShare    = 0.9                    // busyShare of the limit in use counts as at the limit.
	slowdown     = 4                      // slowdown is how much slower than the best a window may be without strain.
	bestDrift    = 1.005                  // bestDrift lets the best time rise again, for each window.
	typicalGuess = time.Millisecond       // typicalGuess is the time of a query before one was measured.
)

// limit adapts how many queries run at once. It judges load by the time until
// half of the shards answered, so that one dead or sick shard does not throttle
// its service.
type limit struct {
	bounds  Bounds
	allowed float64
	current tally
	held    float64 // held is the average time that a query runs, in nanoseconds.
	best    float64 // best is the lowest mean half time of a window, in nanoseconds, rising slowly.
	ceiling float64 // ceiling is the limit at the last strain; 0 before the first.
	clean   int     // clean counts windows at the limit since the last strain.
	settled bool    // settled is false in the window after a cut, which still shows the old load.
}

// tally sums up one window.
type tally struct {
	began    time.Time
	finished int
	stuck    int // stuck counts queries of which not even half the shards answered.
	refused  int // refused counts queries with a shard that refused for load.
	shed     [spread]string
	distinct int // distinct is how many entries of shed are in use.
	enough   int // enough is the distinct count that means strain; small services need fewer.
	held     time.Duration
	half     time.Duration
	peak     int // peak is the most that ran at once.
}

func newLimit(b Bounds) limit { return limit{bounds: b, allowed: float64(b.Initial)} }

func (l *limit) whole() int { return int(l.allowed) }

func (l *limit) started(running int) { l.current.peak = max(l.current.peak, running) }

// typical returns the time that a query needs once it has started.
func (l *limit) typical() time.Duration {
	if l.best == 0 {
		return typicalGuess
	}
	return time.Duration(l.best)
}

// timeFor returns how long this many queries take to get their turn.
func (l *limit) timeFor(queries float64) time.Duration {
	return time.Duration(queries * l.held / l.allowed)
}

func (l *limit) done(now time.Time, o Outcome) {
	t := &l.current
	if t.began.IsZero() {
		t.began = now
	}
	t.add(o)
	if now.Sub(t.began) >= window && t.finished >= leastDone {
		l.adjust()
		l.current = tally{began: now}
	}
}

func (t *tally) add(o Outcome) {
	t.finished++
	t.held += o.RunTime
	t.half += o.TimeToHalf
	t.enough = min(spread, max(o.ShardCount, 1))
	if o.TimeToHalf == 0 {
		t.stuck++
	}
	if o.ShedShard == "" {
		return
	}
	t.refused++
	for _, s := range t.shed[:t.distinct] {
		if s == o.ShedShard {
			return
		}
	}
	if t.distinct < spread {
		t.shed[t.distinct] = o.ShedShard
		t.distinct++
	}
}

// strain returns the share of queries that show too much load on the targets.
func (t *tally) strain() float64 {
	bad := t.stuck
	if t.distinct >= t.enough {
		bad += t.refused
	}
	return float64(bad) / float64(t.finished)
}

// adjust ends a window.
func (l *limit) adjust() {
	t := &l.current
	half := l.average(t)
	settled := l.settled
	l.settled = true
	switch strain := t.strain(); {
	case !settled:
	case strain > strainShare:
		l.lower(max(1-strain, deepestCut))
	case half > slowdown*l.best:
		l.lower(slowCut)
	case float64(t.peak) >= busyShare*l.allowed:
		l.raise()
	}
	l.allowed = min(max(l.allowed, float64(l.bounds.Min)), float64(l.bounds.Max))
}

// lower cuts what ran at once, which may be far below the limit.
func (l *limit) lower(factor float64) {
	l.settled = false
	l.ceiling = min(l.allowed, float64(max(l.current.peak, 1)))
	l.clean = 0
	l.allowed = l.ceiling * factor
}

func (l *limit) raise() {
	l.clean++
	switch {
	case l.ceiling == 0:
		l.allowed *= firstRise
	case l.allowed < nearCeiling*l.ceiling:
		l.allowed = min(l.allowed+max(1, fastRise*l.allowed), nearCeiling*l.ceiling)
	case l.clean > longClean:
		l.allowed += max(1, longRise*l.allowed)
	default:
		l.allowed += max(1, slowRise*l.allowed)
	}
}

// average updates the averages and returns the window's mean half time, in
// nanoseconds; 0 when every query was stuck.
func (l *limit) average(t *tally) float64 {
	held := float64(t.held) / float64(t.finished)
	if l.held == 0 {
		l.held = held
	}
	l.held += averageGain * (held - l.held)
	if t.finished == t.stuck {
		return 0
	}
	half := float64(t.half) / float64(t.finished-t.stuck)
	if l.best == 0 {
		l.best = half
	}
	l.best = min(l.best*bestDrift, half)
	return half
}
