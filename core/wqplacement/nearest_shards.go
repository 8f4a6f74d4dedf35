// Package wqplacement chooses the VMs that may run a fan-out: the hubs of the
// availability zone in which the fewest of its requests cross to another zone.
//
// It answers the load of a large fleet in which some zones have callers and VMs but
// few or no searchers of a route. From such a zone, each shard costs a request and a
// reply across zones; from a zone with the searchers, one call and one merged reply do.
// The way across is as long either way.
//
// # Usage
//
//	p := wqplacement.NearestShards{Zone: "a", MinSavedShare: wqplacement.DefaultMinSavedShare}
//	candidates := p.Candidates(route.Shards, plan.Pools, plan.Hubs)
//
// All VMs with the same view choose the same zones without any messages.
package wqplacement

import "wisteriaquay/core/wqdirectory"

// DefaultMinSavedShare is the share of a route's shards below which the requests
// that stay within a zone don't outweigh the call to a hub of another zone, which
// also has to be reachable.
const DefaultMinSavedShare = 0.25

// NearestShards prefers the zones that have searchers of the most shards.
type NearestShards struct {
	Zone          string  // Zone is the availability zone of this VM.
	MinSavedShare float64 // MinSavedShare is the least share of the shards for which another zone must save a request across zones.
}

// Candidates returns the hubs that may run a fan-out to shards. These are the hubs of
// this VM's zone, unless those of another one save enough requests across zones, and
// all hubs if there is none in the preferred zones.
func (n NearestShards) Candidates(shards []string, pools wqdirectory.Pools, hubs []*wqdirectory.Target) []*wqdirectory.Target {
	near := countNear(shards, pools)
	most := 0
	for _, h := range hubs {
		most = max(most, near[h.Searcher.Zone])
	}
	useOwnZone := float64(most-near[n.Zone]) < n.MinSavedShare*float64(len(shards))
	var candidates []*wqdirectory.Target
	for _, h := range hubs {
		if zone := h.Searcher.Zone; useOwnZone && zone == n.Zone || !useOwnZone && near[zone] == most {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return hubs
	}
	return candidates
}

// countNear counts, for each zone, the shards that have a searcher there which is not
// a last resort.
func countNear(shards []string, pools wqdirectory.Pools) map[string]int {
	near := make(map[string]int)
	counted := make(map[string]int) // last shard counted, plus 1, by zone
	for i, s := range shards {
		for _, t := range pools[s] {
			if zone := t.Searcher.Zone; !t.LastResort && counted[zone] != i+1 {
				counted[zone] = i + 1
				near[zone]++
			}
		}
	}
	return near
}
