package wqplacement_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplacement"
	"wisteriaquay/core/wqtopology"
)

func target(id, zone string) *wqdirectory.Target {
	return &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: id, Zone: zone}}
}

// deployment returns the shards of a route with one searcher of each shard in each of
// searcherZones, and two hubs in each of hubZones.
func deployment(count int, searcherZones, hubZones []string) (shards []string, pools wqdirectory.Pools, hubs []*wqdirectory.Target) {
	pools = make(wqdirectory.Pools)
	for i := range count {
		s := fmt.Sprintf("shard-%03d", i)
		shards = append(shards, s)
		for _, z := range searcherZones {
			pools[s] = append(pools[s], target(s+z, z))
		}
	}
	for _, z := range hubZones {
		hubs = append(hubs, target("hub-1-"+z, z), target("hub-2-"+z, z))
	}
	return shards, pools, hubs
}

func zonesOf(targets []*wqdirectory.Target) []string {
	var zones []string
	for _, t := range targets {
		zones = append(zones, t.Searcher.Zone)
	}
	return zones
}

func nearest(zone string) wqplacement.NearestShards {
	return wqplacement.NearestShards{Zone: zone, MinSavedShare: wqplacement.DefaultMinSavedShare}
}

func TestOwnZoneIsPreferredWhereItHasTheSearchers(t *testing.T) {
	shards, pools, hubs := deployment(180, []string{"a", "b", "c"}, []string{"a", "b", "c", "d"})
	must.Eq(t, []string{"b", "b"}, zonesOf(nearest("b").Candidates(shards, pools, hubs)))
}

func TestZoneWithoutSearchersHandsOver(t *testing.T) {
	shards, pools, hubs := deployment(180, []string{"a", "b", "c"}, []string{"a", "b", "c", "d"})
	must.Eq(t, []string{"a", "a", "b", "b", "c", "c"}, zonesOf(nearest("d").Candidates(shards, pools, hubs)))
}

func TestFewSavedRequestsStayInTheOwnZone(t *testing.T) {
	shards, pools, hubs := deployment(180, []string{"a", "b"}, []string{"a", "b"})
	for _, s := range shards[:44] {
		pools[s] = pools[s][1:]
	}
	must.Eq(t, []string{"a", "a"}, zonesOf(nearest("a").Candidates(shards, pools, hubs)))
	for _, s := range shards[44:46] {
		pools[s] = pools[s][1:]
	}
	must.Eq(t, []string{"b", "b"}, zonesOf(nearest("a").Candidates(shards, pools, hubs)))
}

func TestLeavingSearchersDoNotCount(t *testing.T) {
	shards, pools, hubs := deployment(10, []string{"a", "b"}, []string{"a", "b"})
	for _, s := range shards {
		pools[s][0].LastResort = true
	}
	must.Eq(t, []string{"b", "b"}, zonesOf(nearest("a").Candidates(shards, pools, hubs)))
}

func TestAllHubsAreCandidatesWhereThePreferredZoneHasNone(t *testing.T) {
	shards, pools, hubs := deployment(10, []string{"a"}, []string{"b", "c"})
	must.Eq(t, []string{"b", "b", "c", "c"}, zonesOf(nearest("a").Candidates(shards, pools, hubs)))
	must.Eq(t, []string{"b", "b"}, zonesOf(nearest("b").Candidates(shards, pools, hubs)), must.Sprint("no hub is nearer than those of the own zone"))
	must.SliceEmpty(t, nearest("a").Candidates(shards, pools, nil))
}

// countFar returns how many requests of one fan-out cross zones when VMs of each zone
// run it, and how many calls and replies between VMs do.
func countFar(policy func(zone string) []*wqdirectory.Target, shards []string, pools wqdirectory.Pools, zones []string) (sends, calls int) {
	for _, z := range zones {
		hub := policy(z)[0].Searcher.Zone
		if hub != z {
			calls++
		}
		for _, s := range shards {
			isNear := false
			for _, t := range pools[s] {
				isNear = isNear || t.Searcher.Zone == hub
			}
			if !isNear {
				sends++
			}
		}
	}
	return sends, calls
}

// The load of mdp-agujas-large: callers in five zones, 180 shards with a searcher in
// three of them. Hubs of the own zone, the policy before, send two fifths of all
// requests across zones.
func TestUnevenSearchersNeedNoRequestsAcrossZones(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e"}
	shards, pools, hubs := deployment(180, zones[:3], zones)
	sends, calls := countFar(func(z string) []*wqdirectory.Target { return nearest(z).Candidates(shards, pools, hubs) }, shards, pools, zones)
	must.Eq(t, 0, sends)
	must.Eq(t, 2, calls)
	ownZone := wqplacement.NearestShards{MinSavedShare: 2}
	sends, calls = countFar(func(z string) []*wqdirectory.Target {
		ownZone.Zone = z
		return ownZone.Candidates(shards, pools, hubs)
	}, shards, pools, zones)
	must.Eq(t, 360, sends)
	must.Eq(t, 0, calls)
}
