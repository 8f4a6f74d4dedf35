package wqcanary

import (
	"slices"
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqrollout"
)

// Picker limits the choice of another policy to the version that a send may go to. It
// implements wqgather.Picker.
type Picker[P wqgather.Picker] struct {
	Inner      P
	Meter      *Meter
	Route      string // Route is the name of the request's route.
	Directives func() wqrollout.Directives
}

// Pick returns a target of the version that is due, nil if there is none.
func (p Picker[P]) Pick(now time.Time, targets []*wqdirectory.Target, tried []string, meanLatency time.Duration, random uint64) *wqdirectory.Target {
	directives := p.Directives()
	if len(directives) == 0 || len(targets) == 0 {
		return p.Inner.Pick(now, targets, tried, meanLatency, random)
	}
	d, ok := directives[targets[0].Searcher.Service]
	if !ok || d.Phase == wqrollout.None {
		return p.Inner.Pick(now, targets, tried, meanLatency, random)
	}
	if d.Phase == wqrollout.Completed && !slices.ContainsFunc(targets, func(t *wqdirectory.Target) bool { return t.Version != d.Version }) {
		return p.Inner.Pick(now, targets, tried, meanLatency, random) // The usual state after a rollout, without allocations.
	}
	first, second := p.order(now, targets, &d)
	if t := p.Inner.Pick(now, first, tried, meanLatency, random); t != nil || len(second) == 0 {
		return t
	}
	return p.Inner.Pick(now, second, tried, meanLatency, random)
}

// order returns the targets of the version that is due, and those that take its place if
// none of them can be picked.
func (p Picker[P]) order(now time.Time, targets []*wqdirectory.Target, d *wqrollout.Directive) (first, second []*wqdirectory.Target) {
	newTargets, oldTargets := split(targets, d)
	switch {
	case d.PrefersNew(now) && len(newTargets) > 0:
		return newTargets, nil
	case d.Phase == wqrollout.Held && len(oldTargets) == 0:
		return newTargets, nil
	case d.Phase == wqrollout.Running && d.AllowsNew(now) && p.Meter.HasCredit(now, d.Service, p.Route):
		return newTargets, oldTargets
	}
	return oldTargets, nil
}

// Unresponsive reports whether no answer of the searcher can be expected.
func (p Picker[P]) Unresponsive(now time.Time, searcherID string) bool {
	return p.Inner.Unresponsive(now, searcherID)
}

// split returns the targets of the new and of the old version. Without an order, barred
// versions count as old if there is nothing else.
func split(targets []*wqdirectory.Target, d *wqrollout.Directive) (newTargets, oldTargets []*wqdirectory.Target) {
	var barred []*wqdirectory.Target
	for _, t := range targets {
		switch {
		case t.Version == d.Version:
			newTargets = append(newTargets, t)
		case slices.Contains(d.Barred, t.Version):
			barred = append(barred, t)
		default:
			oldTargets = append(oldTargets, t)
		}
	}
	if d.Phase == wqrollout.Held && len(newTargets)+len(oldTargets) == 0 {
		oldTargets = barred
	}
	return newTargets, oldTargets
}
