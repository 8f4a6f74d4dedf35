// Package wqcandidate ranks the ways to send a write-like request to a shard:
// pairs of a searcher and a VM that holds it.
//
// # Usage
//
// Build the list from the latest view right before each send, so that a zone that
// was taken out in the meantime gets no request:
//
//	for _, c := range (wqcandidate.NearFirst{}).Rank(view, now, "orders", "o07") { ... }
package wqcandidate

import (
	"sort"
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// Candidate is one way to send a request to a shard: a searcher, and the VM
// that sends to it.
type Candidate struct {
	Searcher *wqtopology.Searcher
	Holder   wqmember.Member
}

// NearFirst is the policy that prefers searchers that are up, holders that are
// alive and may use their shares, warm searchers, and searchers in this VM's
// availability zone, in this order.
type NearFirst struct{}

type ranked struct {
	candidate Candidate
	penalty   int
}

// Penalties of a candidate. Their sum plus the index in the list of holders is
// its rank, lowest first; each penalty outweighs the sum of those below it.
const (
	penaltyDown           = 1 << 21 // connections to the searcher fail
	penaltySuspect        = 1 << 20 // the holder missed a heartbeat
	penaltyShareNotUsable = 1 << 19 // the holder may not use its share yet
	penaltyCold           = 1 << 18 // the searcher is in its cold start
	penaltyFarZone        = 1 << 16 // the searcher is not in this VM's availability zone
	penaltyOtherHolder    = 1 << 8  // the holder is not this VM
)

// Rank returns the candidates of a shard, best first. It omits draining
// searchers, searchers in zones that are out, and holders that are leaving,
// dead or have no epoch yet.
func (NearFirst) Rank(v *wqview.View, now time.Time, service, shard string) []Candidate {
	var all []ranked
	for _, s := range v.Index.Replicas(service, shard) {
		if v.Index.ZoneOut(s.Zone) || v.Targets[s.ID].Draining {
			continue
		}
		all = appendCandidates(all, v, now, s)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].penalty < all[j].penalty })
	picked := make([]Candidate, len(all))
	for i := range all {
		picked[i] = all[i].candidate
	}
	return picked
}

// appendCandidates appends a candidate for each usable holder of s.
func appendCandidates(all []ranked, v *wqview.View, now time.Time, s *wqtopology.Searcher) []ranked {
	for i, h := range v.Holders[s.ID] {
		m, known := v.Members[h.MemberID]
		if !known || m.Epoch == 0 || m.State > wqmember.Suspect {
			continue
		}
		sum := penalty(v, s, m) + i
		if now.Before(h.UsableFrom) {
			sum += penaltyShareNotUsable
		}
		all = append(all, ranked{Candidate{Searcher: s, Holder: m}, sum})
	}
	return all
}

// penalty returns the sum of the penalties that do not depend on the share.
func penalty(v *wqview.View, s *wqtopology.Searcher, m wqmember.Member) int {
	sum := 0
	if v.Targets[s.ID].Down {
		sum += penaltyDown
	}
	if v.Targets[s.ID].Cold {
		sum += penaltyCold
	}
	if m.State == wqmember.Suspect {
		sum += penaltySuspect
	}
	if s.Zone != v.Self.Zone {
		sum += penaltyFarZone
	}
	if m.ID != v.Self.ID {
		sum += penaltyOtherHolder
	}
	return sum
}
