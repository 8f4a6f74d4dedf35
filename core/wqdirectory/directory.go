// Package wqdirectory tracks the registrations of searchers and derives from them
// the pool of targets of each service.
//
// A searcher that is draining, or whose registration ended, remains in its pool as
// a last resort for a grace period: it is used only when the service has no other
// target. After the grace period it is removed from the pool. The grace period
// covers registrations that expired during an outage of the registry and that are
// renewed within seconds. Searchers in availability zones that are taken out are
// not in any pool.
//
// # Usage
//
// One goroutine owns a Directory and publishes what Pools returns:
//
//	d := &wqdirectory.Directory{GracePeriod: 2 * time.Second}
//	d.Register(now, registration, 0)
//	d.Deregister(now, "i-7", 0)
//	d.SetZonesOut(map[string]bool{"b": true})
//	pools, next := d.Pools(now)
//
// Pools rebuilds only the pools of services that changed since the last call, since
// in a large fleet some searchers start or stop at any time.
package wqdirectory

import "time"

// deregisteredTTL is how long an entry is kept after its registration ended, so that
// a delayed registration of an older incarnation is recognized.
const deregisteredTTL = time.Minute

// Registration is the state that a searcher registers.
type Registration struct {
	ID                 string
	Service            string
	Address            string // Address is host:port.
	Zone               string
	Slots              int
	Version            string        // Version is the version of its software.
	Draining           bool          // Draining is true once it accepts no new requests.
	ColdStartRemaining time.Duration // ColdStartRemaining is the time left of its cold start.
	Incarnation        int64         // Incarnation is its start time in Unix milliseconds; 0 is unknown.
	Sequence           int64         // Sequence increases with each change within one incarnation.
}

// IsNewer reports whether r was made after o, an earlier or later registration of the same
// searcher.
func (r *Registration) IsNewer(o *Registration) bool {
	return r.Incarnation > o.Incarnation || r.Incarnation == o.Incarnation && r.Sequence > o.Sequence
}

// Directory holds the registrations of all searchers. Set the exported fields
// before the first call.
type Directory struct {
	GracePeriod time.Duration // GracePeriod is counted from the start of draining or the end of the registration.

	entries       map[string]*entry
	byService     map[string]map[string]*entry // entries by service and id.
	leaving       map[string]*entry            // entries that are draining or deregistered, by id.
	staleServices map[string]bool              // services whose pool has to be rebuilt.
	pools         Pools
	zonesOut      map[string]bool
	coldStartRate func(service string) float64
}

type entry struct {
	Registration
	coldStartEnd  time.Time
	leavingSince  time.Time // leavingSince is when draining began or the registration ended; zero for neither.
	deregistered  bool
	graceExpired  bool // graceExpired is true once the grace period is over.
	wrongSearcher bool // wrongSearcher is true once another searcher answered at its address.
}

// Register applies a registration that was made age ago. It returns false, and
// changes nothing, for one of an older incarnation or with a lower sequence than
// the registration on record, and for an incarnation that starts in the future.
func (d *Directory) Register(now time.Time, r Registration, age time.Duration) bool {
	if r.startsInFuture(now) {
		return false
	}
	if d.entries == nil {
		d.entries, d.byService = make(map[string]*entry), make(map[string]map[string]*entry)
		d.leaving, d.staleServices, d.pools = make(map[string]*entry), make(map[string]bool), make(Pools)
	}
	e := d.entries[r.ID]
	if e == nil || r.Incarnation > e.Incarnation || e.deregistered && r.Incarnation == e.Incarnation && r.Sequence >= e.Sequence {
		d.deleteEntry(r.ID)
		e = &entry{}
		d.entries[r.ID] = e
	}
	if r.Incarnation < e.Incarnation || r.Incarnation == e.Incarnation && r.Sequence < e.Sequence {
		return false
	}
	d.removeFromService(e)
	if r.Draining && e.leavingSince.IsZero() {
		e.leavingSince = now.Add(-age)
		d.leaving[r.ID] = e
	}
	e.Registration = r
	e.wrongSearcher = false
	e.coldStartEnd = time.Time{}
	if r.ColdStartRemaining > 0 {
		e.coldStartEnd = now.Add(r.ColdStartRemaining)
	}
	d.addToService(e)
	return true
}

// addToService adds an entry to its service, whose pool becomes stale.
func (d *Directory) addToService(e *entry) {
	if d.byService[e.Service] == nil {
		d.byService[e.Service] = make(map[string]*entry)
	}
	d.byService[e.Service][e.ID] = e
	d.staleServices[e.Service] = true
}

// removeFromService removes an entry from its service, whose pool becomes stale.
func (d *Directory) removeFromService(e *entry) {
	delete(d.byService[e.Service], e.ID)
	d.staleServices[e.Service] = true
}

// deleteEntry deletes the entry of a searcher, if there is one.
func (d *Directory) deleteEntry(id string) {
	if e := d.entries[id]; e != nil {
		d.removeFromService(e)
		delete(d.entries, id)
		delete(d.leaving, id)
	}
}

// Deregister records that the registration of a searcher ended age ago.
func (d *Directory) Deregister(now time.Time, id string, age time.Duration) {
	e := d.entries[id]
	if e == nil || e.deregistered {
		return
	}
	e.deregistered = true
	d.staleServices[e.Service] = true
	if e.leavingSince.IsZero() {
		e.leavingSince = now.Add(-age)
		d.leaving[id] = e
	}
}

// DropInvalid removes a searcher without a grace period, because its registration
// could not be decoded.
func (d *Directory) DropInvalid(id string) { d.deleteEntry(id) }

// MarkWrongSearcher records that another searcher answered at the address of this
// one. It is not used until its next registration. An incarnation other than the
// registered one is ignored.
func (d *Directory) MarkWrongSearcher(id string, incarnation int64) {
	if e := d.entries[id]; e != nil && e.Incarnation == incarnation {
		e.wrongSearcher = true
		d.staleServices[e.Service] = true
	}
}

// SetZonesOut replaces the set of availability zones that are taken out.
func (d *Directory) SetZonesOut(zones map[string]bool) {
	d.zonesOut = zones
	d.markAllStale()
}

// SetColdStartRates replaces the function that returns the rate limit of a service
// during cold starts, in requests per second.
func (d *Directory) SetColdStartRates(rate func(service string) float64) {
	d.coldStartRate = rate
	d.markAllStale()
}

func (d *Directory) markAllStale() {
	for service := range d.byService {
		d.staleServices[service] = true
	}
}
