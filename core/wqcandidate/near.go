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

type rankedCandidate struct {
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
// searchers, searchers in zones that are out, and holders that are leaving or
// dead or whose epoch is not known yet.
func (NearFirst) Rank(v *wqview.View, now time.Time, service, shard string) []Candidate {
	var candidates []rankedCandidate
	for _, s := range v.Index.Replicas(service, shard) {
		if v.Index.ZoneOut(s.Zone) || v.Targets[s.ID].Draining {
			continue
		}
		candidates = appendCandidates(candidates, v, now, s)
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].penalty < candidates[j].penalty })
	sorted := make([]Candidate, len(candidates))
	for i := range candidates {
		sorted[i] = candidates[i].candidate
	}
	return sorted
}

// appendCandidates appends a candidate for each usable holder of s.
func appendCandidates(candidates []rankedCandidate, v *wqview.View, now time.Time, s *wqtopology.Searcher) []rankedCandidate {
	for i, h := range v.Holders[s.ID] {
		m, found := v.Members[h.MemberID]
		if !found || m.Epoch == 0 || m.State > wqmember.Suspect {
			continue
		}
		total := penalty(v, s, m) + i
		if now.Before(h.UsableFrom) {
			total += penaltyShareNotUsable
		}
		candidates = append(candidates, rankedCandidate{Candidate{Searcher: s, Holder: m}, total})
	}
	return candidates
}

// penalty returns the sum of the penalties that do not depend on the share.
func penalty(v *wqview.View, s *wqtopology.Searcher, m wqmember.Member) int {
	total := 0
	if v.Targets[s.ID].Down {
		total += penaltyDown
	}
	if v.Targets[s.ID].Cold {
		total += penaltyCold
	}
	if m.State == wqmember.Suspect {
		total += penaltySuspect
	}
	if s.Zone != v.Self.Zone {
		total += penaltyFarZone
	}
	if m.ID != v.Self.ID {
		total += penaltyOtherHolder
	}
	return total
}
