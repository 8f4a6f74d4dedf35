// Package wqhealth tracks the state of each searcher from the results of requests.
//
// A searcher is down after several failed connections in a row, until a delay
// passes that doubles with each further failure. It is draining once it reports
// so, until another incarnation answers or it has not repeated that report for a
// minute. Observations that a holder makes from the health endpoint report only
// failures and draining, so the endpoint can never improve a state.
//
// # Usage
//
// The control goroutine owns one Tracker:
//
//	tr := wqhealth.New()
//	if tr.Observe(observation) || tr.Advance(now) {
//		view.Targets = tr.States()
//	}
//
// A Tracker is not safe for concurrent use; the map that States returns is.
package wqhealth

import (
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqview"
)

const (
	// failuresBeforeDown is how many failures in a row make a searcher down.
	failuresBeforeDown = 2
	// minDownTime is how long a searcher is down at first.
	minDownTime = 500 * time.Millisecond
	// maxDownTime bounds how long a searcher is down without another attempt.
	maxDownTime = 8 * time.Second
	// drainingTTL is how long a searcher is draining after its latest draining
	// report.
	drainingTTL = time.Minute
	// latencyWeight is the weight of a new sample in the moving average (EWMA)
	// of the latency.
	latencyWeight = 0.125
)

// Tracker holds the states of all searchers. Create one with New.
type Tracker struct {
	targets map[string]*target
	states  map[string]wqview.TargetState // returned by the latest States call; nil when outdated
}

type target struct {
	wqview.TargetState
	lastObservedAt     time.Time
	failures           int // failed connections in a row
	downUntil          time.Time
	drainingReportedAt time.Time // time of the latest draining report
}

// New returns a Tracker without searchers.
func New() *Tracker {
	return &Tracker{targets: make(map[string]*target)}
}

// Observe records one observation and returns whether a state changed in more
// than its latency.
func (tr *Tracker) Observe(o wqobservation.Observation) bool {
	t := tr.targets[o.SearcherID]
	if t == nil {
		t = &target{}
		tr.targets[o.SearcherID] = t
	}
	before := t.TargetState
	t.observe(o)
	before.Latency = t.Latency
	return tr.invalidateIf(before != t.TargetState)
}

// Advance ends the down and draining states that have expired at now and
// returns whether a state changed.
func (tr *Tracker) Advance(now time.Time) bool {
	changed := false
	for _, t := range tr.targets {
		changed = t.advance(now) || changed
	}
	return tr.invalidateIf(changed)
}

// Retain removes the searchers for which listed returns false, because the
// topology no longer has them.
func (tr *Tracker) Retain(listed func(searcherID string) bool) {
	for id := range tr.targets {
		if !listed(id) {
			delete(tr.targets, id)
			tr.states = nil
		}
	}
}

// States returns the state of each observed searcher by its ID. The returned
// map is never modified afterwards.
func (tr *Tracker) States() map[string]wqview.TargetState {
	if tr.states != nil {
		return tr.states
	}
	tr.states = make(map[string]wqview.TargetState, len(tr.targets))
	for id, t := range tr.targets {
		tr.states[id] = t.TargetState
	}
	return tr.states
}

// invalidateIf discards the map of the latest States call if a state changed.
func (tr *Tracker) invalidateIf(changed bool) bool {
	if changed {
		tr.states = nil
	}
	return changed
}

func (t *target) observe(o wqobservation.Observation) {
	if o.ObservedAt.Before(t.lastObservedAt) && o.Incarnation != t.Incarnation {
		return
	}
	t.lastObservedAt = o.ObservedAt
	if o.Incarnation != "" && o.Incarnation != t.Incarnation {
		t.startIncarnation(o)
	}
	switch o.Status {
	case wqobservation.Unreachable, wqobservation.Broken:
		t.recordFailure(o)
	case wqobservation.Draining:
		t.Draining = true
		t.drainingReportedAt = o.ObservedAt
	case wqobservation.Answered, wqobservation.SnapshotGone, wqobservation.Shed, wqobservation.NotRun:
		t.recordAnswer(o)
	}
}

func (t *target) startIncarnation(o wqobservation.Observation) {
	t.TargetState = wqview.TargetState{Incarnation: o.Incarnation, Cold: o.Cold, Latency: t.Latency}
	t.failures = 0
}

func (t *target) recordFailure(o wqobservation.Observation) {
	t.failures++
	t.Cold = true
	if t.failures < failuresBeforeDown {
		return
	}
	downTime := min(minDownTime<<min(t.failures-failuresBeforeDown, 8), maxDownTime)
	t.Down = true
	t.downUntil = o.ObservedAt.Add(downTime)
}

func (t *target) recordAnswer(o wqobservation.Observation) {
	t.failures = 0
	t.Down = false
	t.Cold = o.Cold
	if o.NewestSnapshot != 0 {
		t.OldestSnapshot, t.NewestSnapshot = o.OldestSnapshot, o.NewestSnapshot
	}
	if o.Status == wqobservation.Answered {
		t.recordLatency(o.Latency)
	}
}

func (t *target) recordLatency(latency time.Duration) {
	if t.Latency == 0 {
		t.Latency = latency
		return
	}
	t.Latency += time.Duration(float64(latency-t.Latency) * latencyWeight)
}

func (t *target) advance(now time.Time) bool {
	before := t.TargetState
	if t.Down && !now.Before(t.downUntil) {
		t.Down = false
	}
	if t.Draining && now.Sub(t.drainingReportedAt) >= drainingTTL {
		t.Draining = false
	}
	return before != t.TargetState
}
