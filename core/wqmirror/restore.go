package wqmirror

import (
	"bytes"
	"math"
	"slices"
	"time"
)

const (
	// Forever is the HoldTime of items that only a later state replaces.
	Forever time.Duration = math.MaxInt64
	// unknownHold is the least HoldTime of a state of which this replica does not know
	// whether the store has it. A replica that does know gives it up before.
	unknownHold = time.Minute
	// maxHold is the longest HoldTime other than Forever that Expire heeds.
	maxHold = 2 * time.Minute
	// firstPeriod is how long after its first full batch a replica may be given what was
	// known before.
	firstPeriod = 10 * time.Second
)

// holds reports whether a state from before the present era still stays in force although
// the store contradicts it.
func (m *Mirror) holds(now time.Time, i *Item) bool {
	return m.HoldTime != nil && now.Sub(m.eraSince) < m.HoldTime(*i)
}

// lapsed reports whether an item from before the present era is no longer held.
func (m *Mirror) lapsed(now time.Time, i *Item) bool {
	return eraOf(i.Revision) < eraOf(m.storeRevision) && !m.holds(now, i)
}

// Expire gives up the states from before the present era that the store has contradicted
// for their HoldTime, and returns the items that changed the replica.
func (m *Mirror) Expire(now time.Time) []Item {
	if now.Sub(m.firstAt) >= firstPeriod {
		m.first = Batch{}
	}
	if m.eraSince.IsZero() || now.Sub(m.eraSince) > maxHold {
		return nil
	}
	var changed []Item
	for key, e := range m.entries {
		switch {
		case eraOf(e.item.Revision) == eraOf(m.storeRevision), m.holds(now, &e.item):
		case !e.item.Removed && (e.unlisted || !e.isListed(m.storeRevision) && now.Sub(m.eraSince) >= unknownHold):
			changed = append(changed, m.remove(now, e, m.storeRevision))
		case e.item.Removed && e.isListed(m.storeRevision):
			m.entries[key] = &entry{item: *e.listed, observedAt: now}
			changed = append(changed, *e.listed)
		}
	}
	return changed
}

// precedes reports whether a batch holds states from before the list that filled this
// replica.
func (m *Mirror) precedes(now time.Time, b *Batch) bool {
	era := eraOf(m.first.StoreRevision)
	if !b.Full || eraOf(b.StoreRevision) > era || now.Sub(m.firstAt) >= firstPeriod {
		return false
	}
	return slices.ContainsFunc(b.Items, func(i Item) bool { return eraOf(i.Revision) < era })
}

// FirstSource returns the sender of the list that filled this replica, while batches of
// others are merged as if they had come first; otherwise it is empty.
func (m *Mirror) FirstSource(now time.Time) string {
	if eraOf(m.first.StoreRevision) == 0 || now.Sub(m.firstAt) >= firstPeriod {
		return ""
	}
	return m.first.Source
}

// mergeBeneath merges a batch as if it had come before the list that filled this replica.
func (m *Mirror) mergeBeneath(now time.Time, b Batch) []Item {
	rebuilt := &Mirror{Supersedes: m.Supersedes, HoldTime: m.HoldTime, entries: make(map[string]*entry, len(m.entries)), first: m.first, firstAt: m.firstAt}
	rebuilt.merge(now, b)
	rebuilt.putAll(now, m.entries, func(revision uint64) bool { return eraOf(revision) < eraOf(m.first.StoreRevision) })
	rebuilt.merge(now, m.first)
	rebuilt.putAll(now, m.entries, func(revision uint64) bool { return revision > m.first.StoreRevision })
	rebuilt.storeRevision = max(rebuilt.storeRevision, m.storeRevision)
	changed := rebuilt.changesSince(now, m.entries)
	*m = *rebuilt
	return changed
}

// putAll stores the entries of another replica whose revision is selected.
func (m *Mirror) putAll(now time.Time, entries map[string]*entry, selects func(revision uint64) bool) {
	for _, e := range entries {
		if selects(e.item.Revision) {
			m.put(now, e.itemAt(now), true)
		}
	}
}

// changesSince returns the items in which this replica differs from an earlier one. A key
// that is missing becomes a tombstone.
func (m *Mirror) changesSince(now time.Time, earlier map[string]*entry) []Item {
	var changed []Item
	for key, e := range m.entries {
		o := earlier[key]
		if o != nil && o.item.Removed == e.item.Removed && bytes.Equal(o.item.Value, e.item.Value) {
			e.observedAt = o.observedAt
			continue
		}
		changed = append(changed, e.itemAt(now))
	}
	for key, o := range earlier {
		if m.entries[key] == nil && !o.item.Removed {
			changed = append(changed, m.remove(now, o, m.storeRevision))
		}
	}
	return changed
}
