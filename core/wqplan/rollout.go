package wqplan

import (
	"slices"
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqrollout"
)

// rolloutAllows reports whether the rollout of a target's service, if there is one, lets
// a request that was picked before go to the target's version.
func (p *Plan) rolloutAllows(now time.Time, pool []*wqdirectory.Target, t *wqdirectory.Target) bool {
	if len(p.Rollouts) == 0 {
		return true
	}
	d, ok := p.Rollouts[t.Searcher.Service]
	if !ok {
		return true
	}
	if slices.Contains(d.Barred, t.Version) {
		return !slices.ContainsFunc(pool, func(o *wqdirectory.Target) bool { return !slices.Contains(d.Barred, o.Version) })
	}
	hasOther := slices.ContainsFunc(pool, func(o *wqdirectory.Target) bool { return (o.Version == d.Version) != (t.Version == d.Version) })
	if t.Version != d.Version {
		return !d.PrefersNew(now) || !hasOther
	}
	return d.AllowsNew(now) || d.Phase == wqrollout.Held && !hasOther
}
