// Package wqdirectory knows the searchers that may be sent requests: what they
// say of themselves, which of them leave or are gone, and which availability
// zones are taken out.
//
// A searcher that says that it drains, or whose registration is gone, is
// doubtful for a short grace time: it is used only when its service has no other
// one, and then not at all. The grace covers registrations that lapsed while
// the registry was away, which come back within seconds.
//
// # Usage
//
// One goroutine owns a Directory and publishes what Pools returns:
//
//	d := &wqdirectory.Directory{Grace: 2 * time.Second}
//	d.Register(now, record, 0)
//	d.Remove(now, "i-7", 0)
//	d.SetZonesOut(map[string]bool{"b": true})
//	pools, next := d.Pools(now)
package wqdirectory

import (
	"slices"
	"strings"
	"time"

	"wisteriaquay/core/wqtopology"
)

// forget is how long a searcher that is gone is remembered, so that a late
// word of its former life is recognized.
const forget = time.Minute

// Record is what a searcher says of itself.
type Record struct {
	ID       string
	Service  string
	Address  string // Address is host:port.
	Zone     string
	Slots    int
	Draining bool          // Draining is true once it takes no new requests.
	ColdFor  time.Duration // ColdFor is how much longer it stays cold.
	Born     int64         // Born is its start in Unix milliseconds; 0 is unknown.
	Sequence int64         // Sequence grows with each change within one life.
}

// Target is a searcher that may be sent requests.
type Target struct {
	Searcher  wqtopology.Searcher
	Born      int64
	ColdUntil time.Time // ColdUntil is when its cold start ends; zero when it is warm.
	ColdRate  float64   // ColdRate is the requests a second that it bears while it is cold, over all VMs; 0 states no limit.
	Doubtful  bool      // Doubtful targets leave, or their registration is gone; use them when there is no other.
}

// Pools holds the targets of each service, sorted by id.
type Pools map[string][]*Target

// Directory holds all searchers. Set the exported fields before the first call.
type Directory struct {
	Grace time.Duration // Grace is how long a leaving searcher may still be used.

	entries  map[string]*entry
	zonesOut map[string]bool
}

type entry struct {
	Record
	coldUntil time.Time
	leftAt    time.Time // leftAt is when it began to drain or its registration ended; zero while it serves.
	removed   bool
	misplaced bool // misplaced is true once another searcher answered at its address.
}

// Register takes what a searcher said of itself age ago, and reports false for a
// word that is older than one already known.
func (d *Directory) Register(now time.Time, r Record, age time.Duration) bool {
	if d.entries == nil {
		d.entries = make(map[string]*entry)
	}
	e := d.entries[r.ID]
	if e == nil || r.Born > e.Born || e.removed && r.Born == e.Born && r.Sequence >= e.Sequence {
		e = &entry{}
		d.entries[r.ID] = e
	}
	if r.Born < e.Born || r.Born == e.Born && r.Sequence < e.Sequence {
		return false
	}
	if r.Draining && e.leftAt.IsZero() {
		e.leftAt = now.Add(-age)
	}
	e.Record = r
	e.misplaced = false
	e.coldUntil = time.Time{}
	if r.ColdFor > 0 {
		e.coldUntil = now.Add(r.ColdFor)
	}
	return true
}

// Remove notes that a searcher's registration ended age ago.
func (d *Directory) Remove(now time.Time, id string, age time.Duration) {
	e := d.entries[id]
	if e == nil || e.removed {
		return
	}
	e.removed = true
	if e.leftAt.IsZero() {
		e.leftAt = now.Add(-age)
	}
}

// Spoil withdraws a searcher at once, because its registration cannot be read.
func (d *Directory) Spoil(id string) { delete(d.entries, id) }

// Misplace notes that another searcher answered at the address of this one. It
// is not used until it says something new of itself.
func (d *Directory) Misplace(id string, born int64) {
	if e := d.entries[id]; e != nil && e.Born == born {
		e.misplaced = true
	}
}

// SetZonesOut replaces the availability zones that are taken out.
func (d *Directory) SetZonesOut(zones map[string]bool) { d.zonesOut = zones }

// Pools returns the targets of each service and when that changes by time alone,
// zero for never.
func (d *Directory) Pools(now time.Time) (Pools, time.Time) {
	pools := make(Pools)
	var next time.Time
	for id, e := range d.entries {
		end := e.leftAt.Add(d.Grace)
		if !e.leftAt.IsZero() && !now.Before(end) {
			d.expire(id, e, now)
			continue
		}
		if !e.leftAt.IsZero() && (next.IsZero() || end.Before(next)) {
			next = end
		}
		if !e.misplaced && !d.zonesOut[e.Zone] {
			pools[e.Service] = append(pools[e.Service], e.target())
		}
	}
	for _, p := range pools {
		slices.SortFunc(p, func(a, b *Target) int { return strings.Compare(a.Searcher.ID, b.Searcher.ID) })
	}
	return pools, next
}

func (d *Directory) expire(id string, e *entry, now time.Time) {
	if e.removed && now.Sub(e.leftAt) > forget {
		delete(d.entries, id)
	}
}

func (e *entry) target() *Target {
	return &Target{
		Searcher: wqtopology.Searcher{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Service: e.Service, Shard: e.Service, Slots: e.Slots,
		},
		Born:      e.Born,
		ColdUntil: e.coldUntil,
		Doubtful:  !e.leftAt.IsZero(),
	}
}
