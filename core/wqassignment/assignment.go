// Package wqassignment decides which VMs hold a searcher. Only holders open
// connections to it, so that the searcher's limits are split among few VMs.
//
// Holders are chosen by rendezvous hashing over the VMs in the searcher's
// availability zone, over those of its region when the zone has none, and over
// all VMs when the region has none. VMs with the same view choose the same holders
// without exchanging messages.
//
// VMs with different views must not exceed the searcher's limits together either.
// Each VM therefore computes its share over all VMs that may still use one: the
// live ones, and dead ones until the handover delay has passed. Counting more VMs
// makes each share smaller, so VMs that count each other stay within the limits
// even when they differ in which other VMs they count. A VM shrinks its share
// immediately and grows it after the handover delay; it also waits that long
// before using any share after it joined or was isolated. A VM that is isolated
// or was paused stops using its shares before the delay ends: see Usable.
//
// # Usage
//
//	t := wqassignment.Table{Limits: wqassignment.Limits{MaxHolders: 3}, HandoverDelay: timing.HandoverDelay}
//	holders := t.Update(now, wqassignment.Input{Self: self, Members: tracker.Members(), Index: index})
//	// call Update again when its input changes, and at t.NextUpdate()
//
// Traffic goroutines check each use of a share:
//
//	h, held := view.Share(searcherID)
//	if held && wqassignment.Usable(view, h, now) { ... }
package wqassignment

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// MaxViewAge is how long shares may be used after the view was last confirmed
// by a peer. It must be well below the handover delay, and below the 3 s after
// which an availability zone that was taken out receives nothing.
const MaxViewAge = 2500 * time.Millisecond

// Limits bounds an assignment.
type Limits struct {
	MaxHolders int // MaxHolders is the maximum number of VMs that hold one searcher.
}

// Usable reports whether this VM may start work or open a connection under its
// share h now. Check it at each use, not when work arrives: a process that was
// paused resumes with an old view. Close the connections when it returns false.
func Usable(v *wqview.View, h wqview.Holder, now time.Time) bool {
	if v.Isolated || now.Before(h.UsableFrom) {
		return false
	}
	return wqmember.Elapsed(v.ConfirmedAt, now) < MaxViewAge
}

// Assign returns the holders of a searcher, highest rank first, with their
// shares, ignoring earlier members and handover delays. The shares add up to at
// most the searcher's own limits.
func Assign(members []wqmember.Member, s *wqtopology.Searcher, l Limits) []wqview.Holder {
	candidates := newCandidateIndex(members).rank(s, "", l)
	holders := make([]wqview.Holder, len(candidates))
	for i, c := range candidates {
		holders[i] = holderAtRank(s, c.id, i, len(candidates))
	}
	return holders
}

// holderAtRank returns the holder at rank i (from 0) of count holders with its
// share.
func holderAtRank(s *wqtopology.Searcher, id string, i, count int) wqview.Holder {
	return wqview.Holder{
		MemberID:    id,
		Slots:       evenShare(s.Slots, i, count),
		Connections: evenShare(s.Connections, i, count),
		ColdSlots:   evenShare(s.ColdSlots, i, count),
	}
}

// evenShare returns share i of total split into count shares: the shares sum to
// total and the first ones are larger. The result never grows when i or count
// grows; staying within the limits during a handover depends on this.
func evenShare(total, i, count int) int {
	share := total / count
	if i < total%count {
		share++
	}
	return share
}

type candidate struct {
	id   string
	hash uint64
}

// candidateIndex groups the candidates by zone and region.
type candidateIndex struct {
	byZone   map[string][]candidate
	byRegion map[string][]candidate
	all      []candidate
}

func newCandidateIndex(members []wqmember.Member) *candidateIndex {
	x := &candidateIndex{
		byZone:   make(map[string][]candidate),
		byRegion: make(map[string][]candidate),
	}
	for _, m := range members {
		c := candidate{m.ID, xxhash.Sum64String(m.ID)}
		x.byZone[m.Zone] = append(x.byZone[m.Zone], c)
		x.byRegion[m.Region] = append(x.byRegion[m.Region], c)
		x.all = append(x.all, c)
	}
	return x
}

// nearest returns the candidates in the zone, else those in the region, else
// all.
func (x *candidateIndex) nearest(zone, region string) []candidate {
	if c := x.byZone[zone]; len(c) > 0 {
		return c
	}
	if c := x.byRegion[region]; len(c) > 0 {
		return c
	}
	return x.all
}

// rank returns the holders of a searcher by descending rendezvous weight. The
// region is the searcher's.
func (x *candidateIndex) rank(s *wqtopology.Searcher, region string, l Limits) []candidate {
	candidates := x.nearest(s.Zone, region)
	count := min(len(candidates), l.MaxHolders, max(s.Slots, 1), max(s.Connections, 1))
	best := make([]candidate, 0, count+1)
	weights := make([]uint64, 0, count+1)
	hash := xxhash.Sum64String(rendezvousKey(s))
	for _, c := range candidates {
		weight := mixBits(c.hash ^ hash)
		i := len(best)
		for i > 0 && outranks(weight, c.id, weights[i-1], best[i-1].id) {
			i--
		}
		if i == count {
			continue
		}
		best, weights = insertBounded(best, i, c, count), insertBounded(weights, i, weight, count)
	}
	return best
}

// outranks orders by weight, then by ID.
func outranks(weight uint64, id string, other uint64, otherID string) bool {
	if weight != other {
		return weight > other
	}
	return strings.Compare(id, otherID) < 0
}

// insertBounded inserts v at index i and truncates the list to limit elements.
func insertBounded[T any](list []T, i int, v T, limit int) []T {
	list = append(list, v)
	copy(list[i+1:], list[i:])
	list[i] = v
	return list[:min(len(list), limit)]
}

// mixBits spreads the bits of x (the finalizer of SplitMix64).
func mixBits(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// rendezvousKey returns the hash key of a searcher: its group, so that a group
// shares its holders, else its ID.
func rendezvousKey(s *wqtopology.Searcher) string {
	if s.Group != "" {
		return s.Group
	}
	return s.ID
}
