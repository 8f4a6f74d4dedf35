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
	Incarnation   int64
	ColdStartEnd  time.Time // ColdStartEnd is when its cold start ends; zero when it is warm.
	ColdStartRate float64   // ColdStartRate is the requests a second that it bears while it is cold, over all VMs; 0 states no limit.
	LastResort    bool      // LastResort targets leave, or their registration is gone; use them when there is no other.
}

// Pools holds the targets of each service, sorted by id. They never change once
// they are returned.
type Pools map[string][]*Target

// Pools returns the targets of each service and when that changes by time alone,
// zero for never. Now never goes back.
func (d *Directory) Pools(now time.Time) (Pools, time.Time) {
	next := d.end(now)
	for service := range d.changed {
		d.renew(service)
	}
	clear(d.changed)
	return maps.Clone(d.pools), next
}

// end ends the entries whose grace is over, and returns when the next one is.
func (d *Directory) end(now time.Time) time.Time {
	var next time.Time
	for id, e := range d.leaving {
		if end := e.leftAt.Add(d.GracePeriod); now.Before(end) {
			if next.IsZero() || end.Before(next) {
				next = end
			}
			continue
		}
		if !e.ended {
			e.ended = true
			d.changed[e.Service] = true
		}
		if e.removed && now.Sub(e.leftAt) > forget {
			d.drop(id)
		}
	}
	return next
}

// renew makes the pool of one service anew.
func (d *Directory) renew(service string) {
	var pool []*Target
	for _, e := range d.services[service] {
		if !e.ended && !e.misplaced && !d.zonesOut[e.Zone] {
			pool = append(pool, d.target(e))
		}
	}
	if len(pool) == 0 {
		delete(d.pools, service)
		return
	}
	slices.SortFunc(pool, func(a, b *Target) int { return strings.Compare(a.Searcher.ID, b.Searcher.ID) })
	d.pools[service] = pool
}

func (d *Directory) target(e *entry) *Target {
	t := &Target{
		Searcher: wqtopology.Searcher{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Service: e.Service, Shard: e.Service, Slots: e.Slots,
		},
		Incarnation:  e.Incarnation,
		ColdStartEnd: e.coldUntil,
		LastResort:   !e.leftAt.IsZero(),
	}
	if d.coldRate != nil {
		t.ColdStartRate = d.coldRate(e.Service)
	}
	return t
}
