// Package wqlimiter keeps the quotas of client accounts on one VM. It decides on the
// requests of callers, counts the accounts that this VM owns, and exchanges messages with
// the other VMs. The decisions are those of core/wqquotagate and core/wqquotaledger.
//
// # Usage
//
// Set the exported fields, run the limiter on a goroutine, and charge each request before
// it is first sent:
//
//	l := &wqlimiter.Limiter[wqquotagate.FreeAndStrict, *wqpeer.Client]{Self: id, Plan: plan, Bound: bound, Transport: client, ...}
//	go l.Run(ctx)
//	if reply, ok := l.Charge(ctx, call, tenant); !ok { ... refuse with reply ... }
//	l.Return(call) // if the call has not run
package wqlimiter

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"sync"
	"time"

	"wisteriaquay/core/wqbound"
	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqquotagate"
	"wisteriaquay/core/wqquotaledger"
	"wisteriaquay/core/wqquotaroster"
	"wisteriaquay/core/wqtenant"
)

// DefaultWindow is the sliding window of quotas if the settings state limits but no window.
const DefaultWindow = 5 * time.Second

// minMove is the shortest wait after which the charge of a request is moved.
const minMove = 100 * time.Millisecond

// Transport sends messages to other VMs.
type Transport interface {
	// SendQuota sends a message to a VM and returns its reply.
	SendQuota(ctx context.Context, to wqquotaroster.VM, m wqquota.Message) (wqquota.Reply, error)
}

// Limiter keeps the quotas on one VM. Set the exported fields before the first call. Its
// methods are safe for concurrent use.
type Limiter[P wqquotagate.Policy, T Transport] struct {
	Policy     P
	Self       wqquotaroster.VM
	Plan       func() *wqplan.Plan
	Bound      wqbound.Quota
	Transport  T
	StartedAt  time.Time
	FirstStart bool           // FirstStart is true if no process of the fleet ran before this one.
	Random     func() float64 // Random returns a number from 0 to 1, without 1; it is called with a lock held.
	// CountRefusal, if set, counts a refused request by its account and its mode.
	CountRefusal func(tenant, mode string)
	Log          *slog.Logger

	once        sync.Once
	mutex       sync.Mutex // mutex guards the fields below.
	gate        *wqquotagate.Gate[P]
	ledger      *wqquotaledger.Ledger
	roster      *wqquotaroster.Roster
	live        []wqplan.VM // live and fleetSize are those that roster was made from.
	fleetSize   int
	outbox      map[string]map[string]*events // outbox holds the requests that owners don't know yet, by VM and account.
	sending     map[string]bool               // sending holds the VMs with a report in flight.
	unreachable map[string]time.Time          // unreachable holds the VMs that failed, with the time until which others are asked first.
	heard       map[string]time.Time          // heard holds when a message of each VM came last.
	wake        chan struct{}
}

// events are admitted and returned requests of one account that were not reported yet.
type events struct {
	limit    wqquota.Limit
	admitted []time.Time
	returned []time.Time
}

// Normalized returns the bound with the default window if it states limits but no usable
// window, and the zero bound if it states none. Limits that are not numbers in range count
// as 0.
func Normalized(b wqbound.Quota) wqbound.Quota {
	inRange := func(v float64) float64 {
		if v > 0 && v <= math.MaxInt32 {
			return v
		}
		return 0
	}
	b.Overshoot, b.Slack = inRange(b.Overshoot), inRange(b.Slack)
	if b.Window > time.Hour || b.Window < 0 || b.Window == 0 && (b.Overshoot > 0 || b.Slack > 0) {
		b.Window = DefaultWindow
	}
	return b
}

// start creates the state at the first call.
func (l *Limiter[P, T]) start() {
	l.once.Do(func() {
		l.gate = &wqquotagate.Gate[P]{Policy: l.Policy, Bound: l.Bound, StartedAt: l.StartedAt, FirstStart: l.FirstStart, Random: l.Random}
		l.ledger = &wqquotaledger.Ledger{Self: l.Self.ID, Bound: l.Bound, StartedAt: l.StartedAt, FirstStart: l.FirstStart}
		l.outbox, l.sending = make(map[string]map[string]*events), make(map[string]bool)
		l.unreachable, l.heard, l.wake = make(map[string]time.Time), make(map[string]time.Time), make(chan struct{}, 1)
	})
}

// limitOf returns the limit of an account, false if it has none.
func (l *Limiter[P, T]) limitOf(t *wqtenant.Tenant) (wqquota.Limit, bool) {
	if t == nil || !t.Limited() || l.Bound.Window <= 0 {
		return wqquota.Limit{}, false
	}
	return wqquota.Limit{Rate: t.Rate, Burst: t.Burst, Bound: l.Bound}, true
}

// currentRoster returns the live VMs of the plan in force. The lock must be held.
func (l *Limiter[P, T]) currentRoster(now time.Time) *wqquotaroster.Roster {
	plan := l.Plan()
	if l.roster != nil && l.fleetSize == plan.FleetSize && sameList(l.live, plan.LiveVMs) {
		return l.roster
	}
	vms, hasSelf := make([]wqquotaroster.VM, 0, len(plan.LiveVMs)+1), false
	for _, v := range plan.LiveVMs {
		hasSelf = hasSelf || v.ID == l.Self.ID
		vms = append(vms, wqquotaroster.VM(v))
	}
	if !hasSelf && !plan.Stopping {
		vms = append(vms, l.Self)
	}
	l.roster, l.live, l.fleetSize = wqquotaroster.New(vms, plan.FleetSize), plan.LiveVMs, plan.FleetSize
	l.ledger.SetRoster(now, l.roster)
	isGone := func(id string, _ time.Time) bool { return !l.roster.Has(id) }
	maps.DeleteFunc(l.unreachable, isGone)
	maps.DeleteFunc(l.heard, isGone)
	return l.roster
}

// sameList reports whether two lists are the same one; plans share a list until it changes.
func sameList(a, b []wqplan.VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// signal wakes Run. It never blocks.
func (l *Limiter[P, T]) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Return takes back a request that was charged and has not run.
func (l *Limiter[P, T]) Return(c *wqcall.Call) {
	limit, ok := l.limitOf(l.Plan().Table.Tenants.Tenant(c.Tenant))
	if !ok {
		return
	}
	l.start()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if c.ChargedAt.IsZero() || now.Sub(c.ChargedAt) > l.Bound.Window {
		return
	}
	l.gate.Return(now, c.ChargedAt, c.Tenant)
	l.reportReturn(now, c, limit)
	c.ChargedAt = time.Time{}
}

// Started moves the charge of a request that waited to now, when it is written to a
// searcher. Otherwise requests that waited, and those after them, could run in one window.
func (l *Limiter[P, T]) Started(c *wqcall.Call) {
	if c.Tenant == "" {
		return
	}
	limit, ok := l.limitOf(l.Plan().Table.Tenants.Tenant(c.Tenant))
	if !ok {
		return
	}
	l.start()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if c.ChargedAt.IsZero() || now.Sub(c.ChargedAt) < minMove { // Not charged here: this VM is the hub.
		return
	}
	l.gate.Return(now, c.ChargedAt, c.Tenant)
	l.reportReturn(now, c, limit)
	l.admit(now, c, limit, l.currentRoster(now), "")
}

// reportReturn reports to the owners that the charge of a call is taken back. The lock must
// be held.
func (l *Limiter[P, T]) reportReturn(now time.Time, c *wqcall.Call, limit wqquota.Limit) {
	for _, v := range l.currentRoster(now).Owners(c.Tenant) {
		if v.ID == l.Self.ID {
			l.ledger.Add(now, limit, wqquota.Entry{Tenant: c.Tenant, Returned: []time.Duration{now.Sub(c.ChargedAt)}})
			continue
		}
		e := l.pending(v.ID, c.Tenant, limit)
		e.returned = append(e.returned, c.ChargedAt)
	}
	l.signal()
}
