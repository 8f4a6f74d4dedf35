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
//
// Pools costs as much as has changed since the last call, since a fleet of many
// searchers always has some that come or go.
package wqdirectory

import "time"

// forget is how long a searcher that is gone is remembered, so that a late
// word of its former life is recognized.
const forget = time.Minute

// Registration is what a searcher says of itself.
type Registration struct {
	ID                 string
	Service            string
	Address            string // Address is host:port.
	Zone               string
	Slots              int
	Draining           bool          // Draining is true once it takes no new requests.
	ColdStartRemaining time.Duration // ColdStartRemaining is how much longer it stays cold.
	Incarnation        int64         // Incarnation is its start in Unix milliseconds; 0 is unknown.
	Sequence           int64         // Sequence grows with each change within one life.
}

// Directory holds all searchers. Set the exported fields before the first call.
type Directory struct {
	GracePeriod time.Duration // GracePeriod is how long a leaving searcher may still be used.

	entries  map[string]*entry
	services map[string]map[string]*entry // services holds the entries of each service, by id.
	leaving  map[string]*entry            // leaving are the entries that leave or are gone, by id.
	changed  map[string]bool              // changed are the services whose pool is older than their entries.
	pools    Pools
	zonesOut map[string]bool
	coldRate func(service string) float64
}

type entry struct {
	Registration
	coldUntil time.Time
	leftAt    time.Time // leftAt is when it began to drain or its registration ended; zero while it serves.
	removed   bool
	ended     bool // ended is true once its grace is over.
	misplaced bool // misplaced is true once another searcher answered at its address.
}

// Register takes what a searcher said of itself age ago, and reports false for a
// word that is older than one already known.
func (d *Directory) Register(now time.Time, r Registration, age time.Duration) bool {
	if d.entries == nil {
		d.entries, d.services = make(map[string]*entry), make(map[string]map[string]*entry)
		d.leaving, d.changed, d.pools = make(map[string]*entry), make(map[string]bool), make(Pools)
	}
	e := d.entries[r.ID]
	if e == nil || r.Incarnation > e.Incarnation || e.removed && r.Incarnation == e.Incarnation && r.Sequence >= e.Sequence {
		d.drop(r.ID)
		e = &entry{}
		d.entries[r.ID] = e
	}
	if r.Incarnation < e.Incarnation || r.Incarnation == e.Incarnation && r.Sequence < e.Sequence {
		return false
	}
	d.unlist(e)
	if r.Draining && e.leftAt.IsZero() {
		e.leftAt = now.Add(-age)
		d.leaving[r.ID] = e
	}
	e.Registration = r
	e.misplaced = false
	e.coldUntil = time.Time{}
	if r.ColdStartRemaining > 0 {
		e.coldUntil = now.Add(r.ColdStartRemaining)
	}
	d.list(e)
	return true
}

// list adds an entry to its service.
func (d *Directory) list(e *entry) {
	if d.services[e.Service] == nil {
		d.services[e.Service] = make(map[string]*entry)
	}
	d.services[e.Service][e.ID] = e
	d.changed[e.Service] = true
}

// unlist takes an entry from its service.
func (d *Directory) unlist(e *entry) {
	delete(d.services[e.Service], e.ID)
	d.changed[e.Service] = true
}

// drop forgets a searcher.
func (d *Directory) drop(id string) {
	if e := d.entries[id]; e != nil {
		d.unlist(e)
		delete(d.entries, id)
		delete(d.leaving, id)
	}
}

// Deregister notes that a searcher's registration ended age ago.
func (d *Directory) Deregister(now time.Time, id string, age time.Duration) {
	e := d.entries[id]
	if e == nil || e.removed {
		return
	}
	e.removed = true
	d.changed[e.Service] = true
	if e.leftAt.IsZero() {
		e.leftAt = now.Add(-age)
		d.leaving[id] = e
	}
}

// DropInvalid withdraws a searcher at once, because its registration cannot be read.
func (d *Directory) DropInvalid(id string) { d.drop(id) }

// MarkWrongSearcher notes that another searcher answered at the address of this one. It
// is not used until it says something new of itself.
func (d *Directory) MarkWrongSearcher(id string, born int64) {
	if e := d.entries[id]; e != nil && e.Incarnation == born {
		e.misplaced = true
		d.changed[e.Service] = true
	}
}

// SetZonesOut replaces the availability zones that are taken out.
func (d *Directory) SetZonesOut(zones map[string]bool) {
	d.zonesOut = zones
	d.changeAll()
}

// SetColdStartRates replaces what the searchers of each service bear while they are
// cold, in requests a second.
func (d *Directory) SetColdStartRates(rate func(service string) float64) {
	d.coldRate = rate
	d.changeAll()
}

func (d *Directory) changeAll() {
	for service := range d.services {
		d.changed[service] = true
	}
}
