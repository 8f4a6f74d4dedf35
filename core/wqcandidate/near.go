// Package wqcandidate lists where a write-like request may be sent: pairs of a
// searcher and a VM that holds it, best first.
//
// # Usage
//
// The list is made anew from the newest view right before each send, so that a
// zone that was taken out meanwhile gets nothing:
//
//	for _, c := range (wqcandidate.NearFirst{}).Pick(view, now, "orders", "o07") { ... }
package wqcandidate

import (
	"sort"
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// Candidate is one way to a shard.
type Candidate struct {
	Searcher *wqtopology.Searcher
	Holder   wqmember.Member
}

// NearFirst is the policy that prefers searchers that are up, then warm, then in
// this VM's availability zone, and their best holders.
type NearFirst struct{}

type ranked struct {
	candidate Candidate
	penalty   int
}

// Weights of what speaks against a candidate; each outweighs all below it.
const (
	penaltyDown    = 1 << 21
	penaltySuspect = 1 << 20 // penaltySuspect is for a holder that missed a heartbeat.
	penaltyResting = 1 << 19 // penaltyResting is for a share that may not be used yet.
	penaltyCold    = 1 << 18
	penaltyFarZone = 1 << 16
	penaltyRelayed = 1 << 8 // penaltyRelayed is for a holder other than this VM.
)

// Rank returns the candidates of a shard. Searchers that leave, searchers in
// zones that are out, holders that leave, and holders whose start is not known yet
// are not among them.
func (NearFirst) Rank(v *wqview.View, now time.Time, service, shard string) []Candidate {
	var all []ranked
	for _, s := range v.Index.Replicas(service, shard) {
		if v.Index.ZoneOut(s.Zone) || v.Targets[s.ID].Draining {
			continue
		}
		all = appendHolders(all, v, now, s)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].penalty < all[j].penalty })
	picked := make([]Candidate, len(all))
	for i := range all {
		picked[i] = all[i].candidate
	}
	return picked
}

func appendHolders(all []ranked, v *wqview.View, now time.Time, s *wqtopology.Searcher) []ranked {
	for i, h := range v.Holders[s.ID] {
		m, known := v.Members[h.MemberID]
		if !known || m.Epoch == 0 || m.State > wqmember.Suspect {
			continue
		}
		sum := penalty(v, s, m) + i
		if now.Before(h.UsableFrom) {
			sum += penaltyResting
		}
		all = append(all, ranked{Candidate{Searcher: s, Holder: m}, sum})
	}
	return all
}

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
		sum += penaltyRelayed
	}
	return sum
}
