package wqdirectory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wisteriaquay/core/wqtopology"
)

// Target is a searcher that may be sent requests.
type Target struct {
	Searcher      wqtopology.Searcher
	Incarnation   int64     // Incarnation is the start time in Unix milliseconds; 0 is unknown.
	ColdStartEnd  time.Time // ColdStartEnd is zero for a searcher without a cold start.
	ColdStartRate float64   // ColdStartRate limits the requests per second during a cold start, over all VMs; 0 is no limit.
	Version       string    // Version is the version of the searcher's software.
	LastResort    bool      // LastResort targets are draining or deregistered; use them when there is no other.
}

// Pools holds the targets of each service, sorted by id. The targets are immutable.
type Pools map[string][]*Target

// Pools returns the targets of each service, and the time at which the next grace
// period ends, zero for none: call it again by then. Now must not decrease from
// call to call.
func (d *Directory) Pools(now time.Time) (Pools, time.Time) {
	next := d.expireGracePeriods(now)
	for service := range d.staleServices {
		d.rebuildPool(service)
	}
	clear(d.staleServices)
	return maps.Clone(d.pools), next
}

// expireGracePeriods marks the entries whose grace period is over, and returns the
// end of the next one, zero for none.
func (d *Directory) expireGracePeriods(now time.Time) time.Time {
	var next time.Time
	for id, e := range d.leaving {
		if end := e.leavingSince.Add(d.GracePeriod); now.Before(end) {
			if next.IsZero() || end.Before(next) {
				next = end
			}
			continue
		}
		if !e.graceExpired {
			e.graceExpired = true
			d.staleServices[e.Service] = true
		}
		if e.deregistered && now.Sub(e.leavingSince) > deregisteredTTL {
			d.deleteEntry(id)
		}
	}
	return next
}

// rebuildPool rebuilds the pool of one service from its entries.
func (d *Directory) rebuildPool(service string) {
	var pool []*Target
	for _, e := range d.byService[service] {
		if !e.graceExpired && !e.wrongSearcher && !d.zonesOut[e.Zone] {
			pool = append(pool, d.newTarget(e))
		}
	}
	if len(pool) == 0 {
		delete(d.pools, service)
		return
	}
	slices.SortFunc(pool, func(a, b *Target) int { return strings.Compare(a.Searcher.ID, b.Searcher.ID) })
	d.pools[service] = pool
}

func (d *Directory) newTarget(e *entry) *Target {
	t := &Target{
		Searcher: wqtopology.Searcher{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Service: e.Service, Shard: e.Service, Slots: e.Slots,
		},
		Incarnation:  e.Incarnation,
		Version:      e.Version,
		ColdStartEnd: e.coldStartEnd,
		LastResort:   !e.leavingSince.IsZero(),
	}
	if d.coldStartRate != nil {
		t.ColdStartRate = d.coldStartRate(e.Service)
	}
	return t
}
