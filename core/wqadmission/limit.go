package wqadmission

import "time"

const (
	adjustInterval        = 100 * time.Millisecond // how often the limit is adjusted
	minFinished           = 5                      // minimum of finished queries in an adjustment
	maxOverloadShare      = 0.03                   // share of overloaded queries above which the limit is lowered
	minShedShards         = 3                      // how many shards must shed load in a window to count as overload; fewer are failing shards
	minCutFactor          = 0.7                    // minimum factor after an overloaded window
	slowCutFactor         = 0.95                   // factor after a slow window
	nearCeilingShare      = 0.9                    // share of the ceiling below which the limit rises fast
	fastRise              = 0.25                   // rise per window below that share, as a share of the limit
	slowRise              = 0.02                   // rise per window above it, as a share of the limit
	longCleanWindows      = 20                     // windows at the limit without overload after which it rises by longCleanRise
	longCleanRise         = 0.1                    // rise per window, as a share of the limit
	initialRiseFactor     = 1.5                    // factor per window before the first overload
	averageWeight         = 0.2                    // weight of the latest window in the moving averages (EWMA)
	busyShare             = 0.9                    // share of the limit in use from which it may rise
	maxSlowdown           = 4                      // multiple of the baseline above which a window is slow
	baselineDrift         = 1.005                  // factor per window by which the baseline may rise again
	initialTypicalRunTime = time.Millisecond       // time of a query before the first measurement
)

// limit adapts the number of running queries. It judges load by the time until
// half of the shards have answered, so that a dead or failing shard doesn't
// reduce the throughput of its service.
type limit struct {
	bounds       Bounds
	value        float64
	window       windowStats
	meanRunTime  float64 // moving average, in nanoseconds
	baseline     float64 // lowest mean time to half of a window, in nanoseconds; drifts upwards
	ceiling      float64 // value at the latest cut, or the peak of running queries if lower; 0 before the first
	cleanWindows int     // windows at the limit since the latest cut
	settled      bool    // false in the window after a cut, which still shows the former load
}

// windowStats are the statistics of the finished queries of one window.
type windowStats struct {
	startedAt          time.Time
	finished           int
	unanswered         int                   // queries of which fewer than half of the shards answered
	refused            int                   // queries with a shard that shed load
	shedShards         [minShedShards]string // distinct shards that shed load
	shedShardCount     int                   // used entries of shedShards
	overloadShardCount int                   // distinct shedding shards that count as overload; lower for services with few shards
	runTime            time.Duration
	timeToHalf         time.Duration
	peakRunning        int // maximum of queries running at once
}

func newLimit(b Bounds) limit { return limit{bounds: b, value: float64(b.Initial)} }

func (l *limit) queries() int { return int(l.value) }

func (l *limit) started(running int) { l.window.peakRunning = max(l.window.peakRunning, running) }

// typicalRunTime returns the time that a query needs once it has started.
func (l *limit) typicalRunTime() time.Duration {
	if l.baseline == 0 {
		return initialTypicalRunTime
	}
	return time.Duration(l.baseline)
}

// queueDelay returns how long it takes to start this many queued queries.
func (l *limit) queueDelay(queries float64) time.Duration {
	return time.Duration(queries * l.meanRunTime / l.value)
}

func (l *limit) done(now time.Time, o Outcome) {
	w := &l.window
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	w.add(o)
	if now.Sub(w.startedAt) >= adjustInterval && w.finished >= minFinished {
		l.adjust()
		l.window = windowStats{startedAt: now}
	}
}

func (w *windowStats) add(o Outcome) {
	w.finished++
	w.runTime += o.RunTime
	w.timeToHalf += o.TimeToHalf
	w.overloadShardCount = min(minShedShards, max(o.ShardCount, 1))
	if o.TimeToHalf == 0 {
		w.unanswered++
	}
	if o.ShedShard == "" {
		return
	}
	w.refused++
	for _, s := range w.shedShards[:w.shedShardCount] {
		if s == o.ShedShard {
			return
		}
	}
	if w.shedShardCount < minShedShards {
		w.shedShards[w.shedShardCount] = o.ShedShard
		w.shedShardCount++
	}
}

// overloadShare returns the share of queries that show an overload of the
// targets.
func (w *windowStats) overloadShare() float64 {
	overloaded := w.unanswered
	if w.shedShardCount >= w.overloadShardCount {
		overloaded += w.refused
	}
	return float64(overloaded) / float64(w.finished)
}

// adjust updates the limit at the end of a window.
func (l *limit) adjust() {
	w := &l.window
	half := l.updateAverages(w)
	settled := l.settled
	l.settled = true
	switch share := w.overloadShare(); {
	case !settled:
	case share > maxOverloadShare:
		l.lower(max(1-share, minCutFactor))
	case half > maxSlowdown*l.baseline:
		l.lower(slowCutFactor)
	case float64(w.peakRunning) >= busyShare*l.value:
		l.raise()
	}
	l.value = min(max(l.value, float64(l.bounds.Min)), float64(l.bounds.Max))
}

// lower cuts the limit to a factor of the queries that really ran at once,
// which may be far fewer than the limit.
func (l *limit) lower(factor float64) {
	l.settled = false
	l.ceiling = min(l.value, float64(max(l.window.peakRunning, 1)))
	l.cleanWindows = 0
	l.value = l.ceiling * factor
}

func (l *limit) raise() {
	l.cleanWindows++
	switch {
	case l.ceiling == 0:
		l.value *= initialRiseFactor
	case l.value < nearCeilingShare*l.ceiling:
		l.value = min(l.value+max(1, fastRise*l.value), nearCeilingShare*l.ceiling)
	case l.cleanWindows > longCleanWindows:
		l.value += max(1, longCleanRise*l.value)
	default:
		l.value += max(1, slowRise*l.value)
	}
}

// updateAverages updates the moving averages and the baseline. It returns the
// window's mean time to half, in nanoseconds; 0 when no query reached it.
func (l *limit) updateAverages(w *windowStats) float64 {
	runTime := float64(w.runTime) / float64(w.finished)
	if l.meanRunTime == 0 {
		l.meanRunTime = runTime
	}
	l.meanRunTime += averageWeight * (runTime - l.meanRunTime)
	if w.finished == w.unanswered {
		return 0
	}
	half := float64(w.timeToHalf) / float64(w.finished-w.unanswered)
	if l.baseline == 0 {
		l.baseline = half
	}
	l.baseline = min(l.baseline*baselineDrift, half)
	return half
}
