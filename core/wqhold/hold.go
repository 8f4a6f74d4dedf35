// Package wqhold decides which VMs hold a searcher: only holders open
// connections to it, so that its limits are split among few VMs.
//
// # Usage
//
//	holders := wqhold.Assign(members, searcher, wqhold.Limits{MaxHolders: 3})
//
// The choice is rendezvous hashing over the VMs in the searcher's availability
// zone, or over all VMs when its zone has none, so that VMs with the same view
// agree without a message.
package wqhold

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// Limits bounds an assignment.
type Limits struct {
	MaxHolders int // MaxHolders is the most VMs that hold one searcher.
}

type candidate struct {
	id     string
	weight uint64
}

// Assign returns the holders of a searcher, best first, with their shares. The
// shares add up to at most the searcher's own limits.
func Assign(members []wqmember.Member, s *wqtopology.Searcher, l Limits) []wqview.Holder {
	candidates := rank(members, s)
	count := min(len(candidates), l.MaxHolders, max(s.Slots, 1), max(s.Connections, 1))
	holders := make([]wqview.Holder, 0, count)
	for i := range count {
		holders = append(holders, wqview.Holder{
			MemberID:    candidates[i].id,
			Slots:       part(s.Slots, i, count),
			Connections: part(s.Connections, i, count),
			ColdSlots:   part(s.ColdSlots, i, count),
		})
	}
	return holders
}

func rank(members []wqmember.Member, s *wqtopology.Searcher) []candidate {
	near := weigh(members, s, func(m wqmember.Member) bool { return m.Zone == s.Zone })
	if len(near) > 0 {
		return near
	}
	return weigh(members, s, func(wqmember.Member) bool { return true })
}

func weigh(members []wqmember.Member, s *wqtopology.Searcher, keep func(wqmember.Member) bool) []candidate {
	candidates := make([]candidate, 0, len(members))
	for _, m := range members {
		if keep(m) {
			candidates = append(candidates, candidate{m.ID, xxhash.Sum64String(m.ID + "\x00" + s.ID)})
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].weight != candidates[j].weight {
			return candidates[i].weight > candidates[j].weight
		}
		return candidates[i].id < candidates[j].id
	})
	return candidates
}

// part splits total into count shares whose sum is total, the first ones larger.
func part(total, i, count int) int {
	share := total / count
	if i < total%count {
		share++
	}
	return share
}
