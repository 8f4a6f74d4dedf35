// Package wqhealth works out the state of each searcher from what traffic saw
// of it.
//
// A searcher is down after failed connections in a row, until a pause passes
// that doubles with each failure after it; it leaves from its own word on,
// until another incarnation answers or that word has not been repeated for
// long. Reports that a holder makes from the health endpoint carry only bad
// news, so that the endpoint never makes a state better.
//
// # Usage
//
// The control goroutine owns one Machine:
//
//	m := wqhealth.New()
//	if m.Observe(report) || m.Advance(now) {
//		view.Targets = m.States()
//	}
//
// A Machine is not safe for concurrent use; the map that States returns is.
package wqhealth

import (
	"time"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqview"
)

const (
	// failuresBeforeDown is how many failures in a row make a searcher down.
	failuresBeforeDown = 2
	// shortestPause is the first time for which a searcher stays down.
	shortestPause = 500 * time.Millisecond
	// longestPause bounds the time for which a searcher stays down without
	// another attempt.
	longestPause = 8 * time.Second
	// leavingFor is how long the word that a searcher leaves holds unrepeated.
	leavingFor = time.Minute
	// smoothing is the weight of a new latency in the running mean.
	smoothing = 0.125
)

// Tracker holds the state of all searchers. Make one with New.
type Tracker struct {
	targets map[string]*target
	states  map[string]wqview.TargetState // states is the map last given out; nil when it is stale.
}

type target struct {
	wqview.TargetState
	seen      time.Time // seen is the time of the newest report.
	failures  int       // failures counts those in a row.
	downUntil time.Time
	leftAt    time.Time // leftAt is when it last said that it leaves.
}

// New returns a Machine that knows nothing.
func New() *Tracker {
	return &Tracker{targets: make(map[string]*target)}
}

// Observe learns from one report and returns whether a state changed in more
// than its latency.
func (m *Tracker) Observe(r wqobservation.Observation) bool {
	t := m.targets[r.SearcherID]
	if t == nil {
		t = &target{}
		m.targets[r.SearcherID] = t
	}
	before := t.TargetState
	t.observe(r)
	before.Latency = t.Latency
	return m.note(before != t.TargetState)
}

// Advance ends the pauses that are over at now and returns whether a state
// changed.
func (m *Tracker) Advance(now time.Time) bool {
	changed := false
	for _, t := range m.targets {
		changed = t.advance(now) || changed
	}
	return m.note(changed)
}

// Retain forgets the searchers that the topology no longer names.
func (m *Tracker) Retain(named func(searcherID string) bool) {
	for id := range m.targets {
		if !named(id) {
			delete(m.targets, id)
			m.states = nil
		}
	}
}

// States returns the state of each searcher that was observed. The map is
// never changed afterwards.
func (m *Tracker) States() map[string]wqview.TargetState {
	if m.states != nil {
		return m.states
	}
	m.states = make(map[string]wqview.TargetState, len(m.targets))
	for id, t := range m.targets {
		m.states[id] = t.TargetState
	}
	return m.states
}

func (m *Tracker) note(changed bool) bool {
	if changed {
		m.states = nil
	}
	return changed
}

func (t *target) observe(r wqobservation.Observation) {
	if r.ObservedAt.Before(t.seen) && r.Incarnation != t.Incarnation {
		return
	}
	t.seen = r.ObservedAt
	if r.Incarnation != "" && r.Incarnation != t.Incarnation {
		t.restart(r)
	}
	switch r.Status {
	case wqobservation.Unreachable, wqobservation.Broken:
		t.fail(r)
	case wqobservation.Draining:
		t.Draining = true
		t.leftAt = r.ObservedAt
	case wqobservation.Answered, wqobservation.SnapshotGone, wqobservation.Shed, wqobservation.NotRun:
		t.answer(r)
	}
}

func (t *target) restart(r wqobservation.Observation) {
	t.TargetState = wqview.TargetState{Incarnation: r.Incarnation, Cold: r.Cold, Latency: t.Latency}
	t.failures = 0
}

func (t *target) fail(r wqobservation.Observation) {
	t.failures++
	t.Cold = true
	if t.failures < failuresBeforeDown {
		return
	}
	pause := min(shortestPause<<min(t.failures-failuresBeforeDown, 8), longestPause)
	t.Down = true
	t.downUntil = r.ObservedAt.Add(pause)
}

func (t *target) answer(r wqobservation.Observation) {
	t.failures = 0
	t.Down = false
	t.Cold = r.Cold
	if r.NewestSnapshot != 0 {
		t.OldestSnapshot, t.NewestSnapshot = r.OldestSnapshot, r.NewestSnapshot
	}
	if r.Status == wqobservation.Answered {
		t.measure(r.Latency)
	}
}

func (t *target) measure(latency time.Duration) {
	if t.Latency == 0 {
		t.Latency = latency
		return
	}
	t.Latency += time.Duration(float64(latency-t.Latency) * smoothing)
}

func (t *target) advance(now time.Time) bool {
	before := t.TargetState
	if t.Down && !now.Before(t.downUntil) {
		t.Down = false
	}
	if t.Draining && now.Sub(t.leftAt) >= leavingFor {
		t.Draining = false
	}
	return before != t.TargetState
}
