// Package wqcanary keeps the share of a new version of searchers in what one VM sends,
// and counts the responses of both versions.
//
// For each route, a Meter earns credit of the directive's share with every send that has reached the
// service, and pays 1 for each send to the new version, which may use the credit that it
// will earn itself. The credit starts at a random
// value from 0 to 1, so that the sum over many VMs with few requests each has the right
// mean without messages between them. Sends that did not reach the service earn nothing.
//
// # Usage
//
// One Meter serves all requests of a process. Services without a directive cost one
// atomic load:
//
//	m := &wqcanary.Meter{Random: rand.Float64}
//	m.SetDirectives(directives)
//	m.Sent(target, "checkout")
//	m.Ended(wqcanary.Outcome{Target: target, Route: "checkout", Result: outcome, Elapsed: elapsed})
package wqcanary

import (
	"sync"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqverdict"
)

const (
	// maxCredit, and burstSends at the share, bound the burst after a time in which
	// the new version had no searcher.
	maxCredit  = 1.5
	burstSends = 4
	maxRoutes  = 64  // maxRoutes bounds the credits for one service.
	maxRows    = 512 // maxRows bounds the memory for one service; the responses of further routes are not compared.
	// maxFailuresInARow is the number of failures of the new version in a row after which
	// this VM stops using it for localStop, without waiting for the coordinator.
	maxFailuresInARow = 6
	localStop         = 5 * time.Second
)

// The sides of a rollout, as labels of metrics.
const (
	SideNew = "new"
	SideOld = "old"
)

// Meter counts sends. Set Random before the first call. It is safe for concurrent use.
type Meter struct {
	Random func() float64 // Random returns a number from 0 to 1, without 1.

	active   atomic.Int32 // active is the number of services.
	mutex    sync.Mutex
	services map[string]*service
}

// service is the state of one rollout.
type service struct {
	directive    wqrollout.Directive
	credits      map[string]*float64 // credits holds the credit by route.
	rows         map[wqverdict.Key]*countedRow
	sequence     uint64 // sequence is the number of the next report.
	sentNew      uint64
	sentOld      uint64
	oldInFlight  int
	failures     int // failures of the new version in a row
	stoppedUntil time.Time
}

// countedRow is a row and the number of the first report with its latest change.
type countedRow struct {
	wqverdict.Row
	changedIn uint64
}

// Outcome is the end of one send.
type Outcome struct {
	Target  *wqdirectory.Target
	Route   string
	Far     bool // Far is true if the searcher is in another availability zone.
	Cold    bool // Cold is true if the searcher was in its cold start.
	Result  wqsend.Outcome
	Elapsed time.Duration
}

// SetDirectives replaces the directives. Counts of a rollout are kept until its order
// is replaced.
func (m *Meter) SetDirectives(directives wqrollout.Directives) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	services := make(map[string]*service, len(directives))
	for name := range directives {
		d := directives[name]
		s := m.services[name]
		if s == nil || s.directive.OrderRevision != d.OrderRevision || s.directive.Version != d.Version {
			s = &service{credits: make(map[string]*float64), rows: make(map[wqverdict.Key]*countedRow), sequence: 1}
		}
		s.directive = d
		services[name] = s
	}
	m.services = services
	m.active.Store(int32(min(len(services), 1<<20)))
}

// HasCredit reports whether the next send of a route to a service may go to the new
// version.
func (m *Meter) HasCredit(now time.Time, name, route string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.services[name]
	return s != nil && !now.Before(s.stoppedUntil) && *m.credit(s, route)+s.directive.RouteShare(route) >= 1
}

// credit returns the credit of a route. Routes beyond maxRoutes have one together.
func (m *Meter) credit(s *service, route string) *float64 {
	c := s.credits[route]
	if c == nil && len(s.credits) >= maxRoutes {
		route = ""
		c = s.credits[route]
	}
	if c == nil {
		c = new(float64)
		*c = m.Random()
		s.credits[route] = c
	}
	return c
}

// Sent counts the start of a send. The credit may fall below 0 when requests choose at
// the same moment; it is earned again before the next one.
func (m *Meter) Sent(t *wqdirectory.Target, route string) {
	if m.active.Load() == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.services[t.Searcher.Service]
	switch {
	case s == nil:
	case t.Version == s.directive.Version:
		s.sentNew++
		if s.directive.Phase == wqrollout.Running {
			*m.credit(s, route)--
		}
	default:
		s.sentOld++
		s.oldInFlight++
	}
}

// Ended counts the end of a send. It returns the side, SideNew or SideOld, or an empty
// string for a service without a directive.
func (m *Meter) Ended(now time.Time, o Outcome) string {
	if m.active.Load() == 0 {
		return ""
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.services[o.Target.Searcher.Service]
	if s == nil {
		return ""
	}
	isNew := o.Target.Version == s.directive.Version
	if !isNew {
		s.oldInFlight = max(0, s.oldInFlight-1)
	}
	s.settle(m.credit(s, o.Route), o.Route, isNew, o.Result)
	s.countFailure(now, isNew, o.Result)
	s.count(isNew, &o)
	if isNew {
		return SideNew
	}
	return SideOld
}

// settle books the credit of a send. One that was certainly not sent is given back.
func (s *service) settle(credit *float64, route string, isNew bool, o wqsend.Outcome) {
	limit := maxCredit + burstSends*s.directive.RouteShare(route)
	switch {
	case s.directive.Phase != wqrollout.Running:
	case o.MayHaveRun():
		*credit = min(*credit+s.directive.RouteShare(route), limit)
	case isNew && (o == wqsend.Unreachable || o == wqsend.Withheld):
		*credit = min(*credit+1, limit)
	}
	if isNew && (o == wqsend.Unreachable || o == wqsend.Withheld) && s.sentNew > 0 {
		s.sentNew--
	}
}

// countFailure stops the use of the new version on this VM after many failures.
func (s *service) countFailure(now time.Time, isNew bool, o wqsend.Outcome) {
	switch {
	case !isNew:
	case o == wqsend.Answered:
		s.failures = 0
	case o == wqsend.Failed:
		s.failures++
		if s.failures >= maxFailuresInARow {
			s.failures, s.stoppedUntil = 0, now.Add(localStop)
		}
	}
}

func (s *service) count(isNew bool, o *Outcome) {
	k := wqverdict.Key{Route: o.Route, Far: o.Far, New: isNew}
	if isNew {
		k.Searcher = o.Target.Searcher.ID
	}
	r := s.rows[k]
	if r == nil {
		if len(s.rows) >= maxRows {
			return
		}
		r = &countedRow{Row: wqverdict.Row{Route: k.Route, Far: k.Far, New: k.New, Searcher: k.Searcher}}
		s.rows[k] = r
	}
	r.changedIn = s.sequence
	switch o.Result {
	case wqsend.Answered:
		r.Answered++
		if !o.Cold {
			r.Latency = increment(r.Latency, o.Elapsed)
		}
	case wqsend.Failed:
		r.Failed++
	case wqsend.Broken:
		r.Lost++
	case wqsend.Cancelled:
		if !o.Cold {
			r.Cut = increment(r.Cut, o.Elapsed)
		}
	}
}

func increment(buckets []uint32, d time.Duration) []uint32 {
	i := wqverdict.Bucket(d)
	if len(buckets) <= i {
		buckets = append(buckets, make([]uint32, i+1-len(buckets))...)
	}
	buckets[i]++
	return buckets
}

// Report returns the counts of a service, and false if it has no directive. Rows that have
// not changed since the report with the number base are left out; 0 is for all rows.
func (m *Meter) Report(name string, base uint64) (wqrollout.Report, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.services[name]
	if s == nil {
		return wqrollout.Report{}, false
	}
	if base >= s.sequence {
		base = 0 // It belongs to an earlier order.
	}
	report := wqrollout.Report{
		Service: name, OrderRevision: s.directive.OrderRevision, Sequence: s.sequence, Base: base,
		SentNew: s.sentNew, SentOld: s.sentOld, OldInFlight: s.oldInFlight,
	}
	for _, r := range s.rows {
		if r.changedIn <= base {
			continue
		}
		row := r.Row
		row.Latency, row.Cut = append([]uint32(nil), r.Latency...), append([]uint32(nil), r.Cut...)
		report.Rows = append(report.Rows, row)
	}
	s.sequence++
	return report, true
}
