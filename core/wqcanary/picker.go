package wqcanary

import (
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
	newTargets, oldTargets := split(targets, d.Version)
	first, second := oldTargets, []*wqdirectory.Target(nil)
	switch {
	case d.PrefersNew(now):
		first = newTargets
		if len(newTargets) == 0 {
			first = oldTargets
		}
	case d.Phase == wqrollout.Held && len(oldTargets) == 0:
		first = newTargets
	case d.AllowsNew(now) && p.Meter.HasCredit(now, d.Service, p.Route):
		first, second = newTargets, oldTargets
	}
	if t := p.Inner.Pick(now, first, tried, meanLatency, random); t != nil || len(second) == 0 {
		return t
	}
	return p.Inner.Pick(now, second, tried, meanLatency, random)
}

// Unresponsive reports whether no answer of the searcher can be expected.
func (p Picker[P]) Unresponsive(now time.Time, searcherID string) bool {
	return p.Inner.Unresponsive(now, searcherID)
}

func split(targets []*wqdirectory.Target, version string) (newTargets, oldTargets []*wqdirectory.Target) {
	for _, t := range targets {
		if t.Version == version {
			newTargets = append(newTargets, t)
		} else {
			oldTargets = append(oldTargets, t)
		}
	}
	return newTargets, oldTargets
}
