// Package wqstatement holds what searchers report about themselves to this VM: that
// they are leaving, that they want no requests for some time, or that they take a limited
// rate of requests from all VMs together.
//
// A report is valid for one start of a searcher. It ends when the searcher registers
// another start, not with a response without it nor with a registration that still
// says ready: copies of both may be older than the report. A searcher that is leaving
// is a last resort for Grace, so that a service whose only searcher leaves is served
// until its replacement registers. A limit ends with the first success that names none.
//
// # Usage
//
//	tr := wqstatement.New()
//	switch tr.Observe(now, target, wqstatement.Statement{Leaving: true}) { ... log a change ... }
//	serving, leaving := tr.Split(now, targets)
//	if !tr.Take(now, target, vms, random) { ... choose another searcher ... }
//	if !tr.MaySend(now, target, chosenAt) { ... place the request again ... }
//
// All methods are safe for concurrent use. A nil Tracker knows of no reports.
package wqstatement

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqpace"
)

const (
	// Grace is how long a searcher that is leaving is a last resort, from its first
	// report. It equals that of searchers that register as draining, and leaves a
	// second of the shortest time in which requests have to stop (3 s).
	Grace = 2 * time.Second
	// MaxWait bounds the time for which one response can exclude a searcher, so that
	// no faulty value removes it for good.
	MaxWait = time.Minute
	// Never is the wait for searchers that can't be asked again.
	Never time.Duration = math.MaxInt64

	// unknownStartTTL ends the report of a searcher that does not register its start,
	// as a new start of it can't be told from the old one.
	unknownStartTTL = time.Hour
	maxEntries      = 16384 // bounds the memory; as many searchers as core/wqselector tracks
	evictedPart     = 16    // one in so many entries is evicted when there are too many
)

// Statement is what one response of a searcher reports about the searcher. The zero
// value reports nothing.
type Statement struct {
	Leaving bool          // Leaving means that the searcher will stop.
	Wait    time.Duration // Wait is how long the searcher wants no requests from this VM; 0 for no such report.
	Limit   Limit         // Limit is what the response says of the rate of requests; see ObserveLimit.
}

// Change is the effect of a statement on the searcher's state.
type Change uint8

// The changes.
const (
	NoChange       Change = iota // NoChange means that the state is the same, or only lasts longer.
	BeganLeaving                 // BeganLeaving means that the searcher is leaving from now on.
	BeganRejecting               // BeganRejecting means that the searcher rejects requests from now on.
	LimitNamed                   // LimitNamed means that the searcher limits its requests, or names another limit.
	LimitEnded                   // LimitEnded means that the searcher does not limit its requests any more.
)

// String returns the name of the change in logs and metrics.
func (c Change) String() string {
	return [...]string{"none", "leaving", "rejecting", "limited", "unlimited"}[c]
}

// Tracker holds the state that searchers have reported. Create it with New.
type Tracker struct {
	mutex   sync.RWMutex
	entries map[string]*entry // by searcher id
	count   atomic.Int64      // length of entries, for a check without the lock
}

// entry is the state that one start of a searcher has reported.
type entry struct {
	start         start
	leavingSince  time.Time // zero for a searcher that has not reported to leave
	rejectingTill time.Time
	limitRate     float64   // requests per second of all VMs
	limitedSince  time.Time // first report of the limit
	limitedAt     time.Time // latest report of the limit; zero without one
	pace          wqpace.Pace
	observedAt    time.Time // latest report
}

// start identifies one start of a searcher. The address stands for a start that is not
// registered.
type start struct {
	incarnation int64
	address     string
}

func startOf(t *wqdirectory.Target) start {
	if t.Incarnation != 0 {
		return start{incarnation: t.Incarnation}
	}
	return start{address: t.Searcher.Address}
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{entries: make(map[string]*entry)} }

// Observe records the statement of a response from t, the searcher as it was picked
// for the request, and returns its effect. A statement of an older start than the one
// that made the latest statement has none.
func (tr *Tracker) Observe(now time.Time, t *wqdirectory.Target, s Statement) Change {
	if tr == nil || !s.Leaving && s.Wait <= 0 {
		return NoChange
	}
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	e := tr.reportingEntry(now, t)
	if e == nil {
		return NoChange
	}
	e.observedAt = now
	change := NoChange
	if s.Wait > 0 {
		if !now.Before(e.rejectingTill) {
			change = BeganRejecting
		}
		if until := now.Add(min(s.Wait, MaxWait)); until.After(e.rejectingTill) {
			e.rejectingTill = until
		}
	}
	if s.Leaving && !e.isLeaving(now) {
		e.leavingSince, change = now, BeganLeaving
	}
	return change
}

// reportingEntry returns the entry for a report of t, nil if a later start has reported.
// The caller holds the lock.
func (tr *Tracker) reportingEntry(now time.Time, t *wqdirectory.Target) *entry {
	e := tr.entries[t.Searcher.ID]
	if e != nil && t.Incarnation != 0 && t.Incarnation < e.start.incarnation {
		return nil
	}
	if e == nil || e.start != startOf(t) {
		e = tr.newEntry(now, t)
	}
	return e
}

// newEntry adds an empty entry for t and evicts another one if there are too many.
func (tr *Tracker) newEntry(now time.Time, t *wqdirectory.Target) *entry {
	if _, replaces := tr.entries[t.Searcher.ID]; !replaces && len(tr.entries) >= maxEntries {
		tr.evict(now)
	}
	e := &entry{start: startOf(t)}
	tr.entries[t.Searcher.ID] = e
	tr.count.Store(int64(len(tr.entries)))
	return e
}

// evict removes the entries without effect. If that is not enough, it removes those
// with the oldest reports, whose searchers have most likely stopped; many at once, so
// that few calls need a pass over all.
func (tr *Tracker) evict(now time.Time) {
	ids := make([]string, 0, len(tr.entries))
	for id, e := range tr.entries {
		if !e.isLeaving(now) && !now.Before(e.rejectingTill) && !e.isLimited(now) {
			delete(tr.entries, id)
			continue
		}
		ids = append(ids, id)
	}
	if len(ids) < maxEntries {
		return
	}
	slices.SortFunc(ids, func(a, b string) int { return tr.entries[a].observedAt.Compare(tr.entries[b].observedAt) })
	for _, id := range ids[:len(ids)/evictedPart] {
		delete(tr.entries, id)
	}
}

// isLeaving reports whether the searcher is leaving.
func (e *entry) isLeaving(now time.Time) bool {
	if e.leavingSince.IsZero() {
		return false
	}
	return e.start.incarnation != 0 || now.Sub(e.leavingSince) < unknownStartTTL
}

// wait returns the time until the searcher may be sent requests: 0 if it may be now,
// Never if it may not be any more.
func (e *entry) wait(now time.Time) time.Duration {
	end := now
	if e.rejectingTill.After(now) {
		end = e.rejectingTill
	}
	if e.isLeaving(now) && !end.Before(e.leavingSince.Add(Grace)) {
		return Never
	}
	return end.Sub(now)
}

// entryOf returns the entry of a searcher's present start, nil for none. The caller
// holds the lock.
func (tr *Tracker) entryOf(t *wqdirectory.Target) *entry {
	e := tr.entries[t.Searcher.ID]
	if e == nil || e.start != startOf(t) {
		return nil
	}
	return e
}

// isEmpty reports whether there are no reports at all.
func (tr *Tracker) isEmpty() bool { return tr == nil || tr.count.Load() == 0 }
