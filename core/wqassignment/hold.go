// Package wqassignment decides which VMs hold a searcher: only holders open
// connections to it, so that its limits are split among few VMs.
//
// The choice is rendezvous hashing over the VMs in the searcher's availability
// zone, over those of its region when the zone has none, and over all when the
// region has none. VMs with the same view agree without a message.
//
// VMs whose views differ must not use more than the searcher's limits together
// either. Each VM therefore computes its share over all VMs that may still use
// one: the live ones, and the dead ones until the handover time is over. The
// more VMs are counted, the smaller is each share, so that any VMs that count
// each other stay within the limits whatever else they count. A VM shrinks its
// share at once and grows it after the handover time; it starts to use shares
// that long after it joined or was cut off. A VM that is cut off or was paused
// stops by itself before that: see Usable.
//
// # Usage
//
//	t := wqassignment.Table{Limits: wqassignment.Limits{MaxHolders: 3}, Handover: timing.Handover}
//	holders := t.Update(now, wqassignment.Input{Self: self, Members: machine.Members(), Index: index})
//	// call Update again when its input changes, and at t.Next()
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

// MaxViewAge is how long a share may be used after the view was last confirmed
// by a peer. It must be well below the handover time, and below the 3 s after
// which an availability zone that was taken out receives nothing.
const MaxViewAge = 2500 * time.Millisecond

// Limits bounds an assignment.
type Limits struct {
	MaxHolders int // MaxHolders is the most VMs that hold one searcher.
}

// Usable reports whether this VM may start work or open a connection under its
// share h now. Check it at each use, not when work arrives: a process that was
// paused wakes with an old view. Connections are to be closed when it is false.
func Usable(v *wqview.View, h wqview.Holder, now time.Time) bool {
	if v.Isolated || now.Before(h.UsableFrom) {
		return false
	}
	return wqmember.Elapsed(v.ConfirmedAt, now) < MaxViewAge
}

// Assign returns the holders of a searcher, best first, with their shares, as
// if no VM had ever come or gone. The shares add up to at most the searcher's
// own limits.
func Assign(members []wqmember.Member, s *wqtopology.Searcher, l Limits) []wqview.Holder {
	candidates := newFleet(members).holders(s, "", l)
	holders := make([]wqview.Holder, len(candidates))
	for i, c := range candidates {
		holders[i] = share(s, c.id, i, len(candidates))
	}
	return holders
}

// share returns the part of the holder at rank i among count.
func share(s *wqtopology.Searcher, id string, i, count int) wqview.Holder {
	return wqview.Holder{
		MemberID:    id,
		Slots:       part(s.Slots, i, count),
		Connections: part(s.Connections, i, count),
		ColdSlots:   part(s.ColdSlots, i, count),
	}
}

// part splits total into count shares whose sum is total, the first ones larger.
// It falls with i and with count, which the handover rests on.
func part(total, i, count int) int {
	share := total / count
	if i < total%count {
		share++
	}
	return share
}

// candidate is a VM that may hold searchers.
type candidate struct {
	id   string
	hash uint64
}

// fleet groups the candidates by place.
type fleet struct {
	zones   map[string][]candidate
	regions map[string][]candidate
	all     []candidate
}

func newFleet(members []wqmember.Member) *fleet {
	f := &fleet{
		zones:   make(map[string][]candidate),
		regions: make(map[string][]candidate),
	}
	for _, m := range members {
		c := candidate{m.ID, xxhash.Sum64String(m.ID)}
		f.zones[m.Zone] = append(f.zones[m.Zone], c)
		f.regions[m.Region] = append(f.regions[m.Region], c)
		f.all = append(f.all, c)
	}
	return f
}

// near returns the candidates for searchers of a zone in a region.
func (f *fleet) near(zone, region string) []candidate {
	if c := f.zones[zone]; len(c) > 0 {
		return c
	}
	if c := f.regions[region]; len(c) > 0 {
		return c
	}
	return f.all
}

// holders returns the candidates that hold a searcher of a region, by rank.
func (f *fleet) holders(s *wqtopology.Searcher, region string, l Limits) []candidate {
	candidates := f.near(s.Zone, region)
	count := min(len(candidates), l.MaxHolders, max(s.Slots, 1), max(s.Connections, 1))
	best := make([]candidate, 0, count+1)
	weights := make([]uint64, 0, count+1)
	hash := xxhash.Sum64String(key(s))
	for _, c := range candidates {
		weight := mix(c.hash ^ hash)
		i := len(best)
		for i > 0 && beats(weight, c.id, weights[i-1], best[i-1].id) {
			i--
		}
		if i == count {
			continue
		}
		best, weights = insert(best, i, c, count), insert(weights, i, weight, count)
	}
	return best
}

func beats(weight uint64, id string, other uint64, otherID string) bool {
	if weight != other {
		return weight > other
	}
	return strings.Compare(id, otherID) < 0
}

// insert puts v at place i and keeps at most limit elements.
func insert[T any](list []T, i int, v T, limit int) []T {
	list = append(list, v)
	copy(list[i+1:], list[i:])
	list[i] = v
	return list[:min(len(list), limit)]
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// key returns what the holders of a searcher are chosen by.
func key(s *wqtopology.Searcher) string {
	if s.Group != "" {
		return s.Group
	}
	return s.ID
}
