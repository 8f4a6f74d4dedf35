// Package wqquotaledger counts the requests of the client accounts that a VM owns, grants
// or refuses requests by their quotas, and decides when an account is in strict mode.
// Package wqquota describes how owners and VMs work together.
//
// # Usage
//
//	l := &wqquotaledger.Ledger{Self: id, Bound: bound, StartedAt: now}
//	l.SetRoster(now, roster)
//	strict := l.Add(now, limit, entry) // a report of admitted requests
//	answer := l.Ask(now, limit, tenant)
//	for _, p := range l.DuePushes(now) { ... send it, then l.Acknowledge ... }
//
// A Ledger is not safe for concurrent use.
package wqquotaledger

import (
	"math"
	"slices"
	"time"

	"wisteriaquay/core/wqbound"
	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqquotaroster"
	"wisteriaquay/core/wqquotawindow"
)

const (
	ledgerSlots    = 250                    // ledgerSlots is the resolution of an owner's count, 20 ms for a window of 5 s.
	settleTime     = 300 * time.Millisecond // settleTime is the time after the first push in which a request waits for VMs that have not acknowledged it.
	standInDelay   = 80 * time.Millisecond  // standInDelay is the time in which an owner leaves it to the one before it to tell the VMs of strict mode.
	toldLifetime   = time.Minute            // toldLifetime is the time in which VMs that were told of strict mode are not told by another owner; they leave it only if an owner says so.
	pushInterval   = time.Second            // pushInterval is the time between two pushes to VMs that have not acknowledged one.
	standInEntry   = 0.3                    // standInEntry is the part of the count for strict mode at which an owner enters it that is asked in place of another, or that may be cut off: it does not know which VMs another owner still grants to.
	maxPushBackoff = 2                      // maxPushBackoff bounds the doublings of pushInterval.
	maxRosters     = 16                     // maxRosters bounds the changes of the list of VMs in one window that are told apart.
	maxPushEntries = 256                    // maxPushEntries bounds the accounts in one push.
	maxChanges     = 100                    // maxChanges bounds the changes that wait for TakeChanges.
)

// vmKey identifies one process of a VM.
type vmKey struct {
	id    string
	epoch uint64
}

// account is the state of one client account at an owner.
type account struct {
	limit       wqquota.Limit
	window      wqquotawindow.Window
	bucket      bucket
	since       time.Time // since is when this owner began to get all reports.
	strict      bool
	strictSince time.Time
	pushing     bool // pushing is true if this owner tells the VMs of strict mode: it is the first owner, or was asked in place of it.
	pushingFrom time.Time
	toldAt      time.Time // toldAt is when the other owner last told this VM of strict mode.
	nextPush    time.Time
	pushes      int            // pushes counts the pushes since strict mode began.
	acked       map[vmKey]bool // acked holds the VMs that know of strict mode; true if their own requests are known for the whole window.
	promised    int            // promised counts the refusals that were told to wait until promisedTo at the latest.
	promisedTo  time.Time
	usedAt      time.Time
}

// Ledger counts the requests of the accounts that a VM owns. Set the exported fields
// before the first call. Call Tick every 100 ms or so.
type Ledger struct {
	Self      string
	Bound     wqbound.Quota
	StartedAt time.Time
	// FirstStart is true if no process of the fleet ran before, so that there can be no
	// requests from before StartedAt.
	FirstStart bool

	accounts map[string]*account
	rosters  []datedRoster // rosters of the last window, the one in force last.
	blindTo  time.Time     // blindTo is the time until which reports may be missing after a start or a pause.
	doubtTo  time.Time     // doubtTo is the time until which this VM may be cut off from others, which then have owners of their own.
	lastCall time.Time
	changes  []Change
}

type datedRoster struct {
	*wqquotaroster.Roster
	from time.Time
}

// SetRoster replaces the list of live VMs. An account that this VM did not own before, or
// no longer owns, is forgotten: reports on it were or will be missed.
func (l *Ledger) SetRoster(now time.Time, r *wqquotaroster.Roster) {
	l.Tick(now)
	for name := range l.accounts {
		if !r.Owns(l.Self, name) || len(l.rosters) > 0 && !l.rosters[len(l.rosters)-1].Owns(l.Self, name) {
			delete(l.accounts, name)
		}
	}
	l.rosters = append(l.rosters, datedRoster{Roster: r, from: now})
	if len(l.rosters) > maxRosters { // What was missed under the oldest one is not known any more.
		l.rosters = l.rosters[1:]
		l.blindTo = now.Add(l.Bound.Window)
	}
	for len(l.rosters) > 1 && now.Sub(l.rosters[1].from) > l.Bound.Window {
		l.rosters = l.rosters[1:]
	}
}

// Tick detects a pause of the process and drops idle accounts.
func (l *Ledger) Tick(now time.Time) {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
		if !l.FirstStart {
			l.blindTo = l.StartedAt.Add(l.Bound.Window)
		}
	} else if now.Sub(l.lastCall) > wqquota.PauseLength {
		l.blindTo = now.Add(l.Bound.Window)
		for _, a := range l.accounts {
			a.window = wqquotawindow.New(now, l.Bound.Window, ledgerSlots) // The VMs report their requests again when they are told of strict mode.
			a.since, a.acked, a.nextPush, a.pushingFrom = now, make(map[vmKey]bool), now, now
			a.bucket = newBucket(now, a.limit, true)
		}
	}
	l.lastCall = now
}

// ContactFailed records that another VM did not answer. This owner may be cut off together
// with some VMs, and finds out by entering strict mode early.
func (l *Ledger) ContactFailed(now time.Time) {
	l.Tick(now)
	l.doubtTo = now.Add(wqquota.ContactTime)
}

// Expire drops the accounts without requests.
func (l *Ledger) Expire(now time.Time) {
	for name, a := range l.accounts {
		if now.Sub(a.usedAt) > wqquota.IdleWindows*l.Bound.Window {
			delete(l.accounts, name)
		}
	}
}

// blind reports whether requests of the last window may be missing.
func (l *Ledger) blind(now time.Time, tenant string) bool {
	if now.Before(l.blindTo) {
		return true
	}
	for i := range l.rosters {
		ended := i+1 < len(l.rosters) && now.Sub(l.rosters[i+1].from) > l.Bound.Window
		if !ended && !l.rosters[i].Owns(l.Self, tenant) {
			return true
		}
	}
	return false
}

func (l *Ledger) fleetSize() int {
	if len(l.rosters) == 0 {
		return 1
	}
	return l.rosters[len(l.rosters)-1].FleetSize
}

func (l *Ledger) liveCount() int {
	if len(l.rosters) == 0 {
		return 1
	}
	return len(l.rosters[len(l.rosters)-1].VMs)
}

// isLive reports whether a process is that of a live VM.
func (l *Ledger) isLive(key vmKey) bool {
	if len(l.rosters) == 0 {
		return true
	}
	return l.rosters[len(l.rosters)-1].Epoch(key.id) == key.epoch
}

// account returns the state of an account, nil if there are too many.
func (l *Ledger) account(now time.Time, tenant string, limit wqquota.Limit) *account {
	l.Tick(now)
	a := l.accounts[tenant]
	if a == nil {
		if len(l.accounts) >= wqquota.MaxAccounts {
			return nil
		}
		a = &account{window: wqquotawindow.New(now, l.Bound.Window, ledgerSlots), since: now, bucket: newBucket(now, limit, l.blind(now, tenant))}
		l.accounts[tenant] = a
	}
	a.limit, a.usedAt = limit, now
	a.bucket.fill(now, limit, l.paceShare(a))
	return a
}

// Add counts the requests of a report and returns true if the account is in strict mode.
func (l *Ledger) Add(now time.Time, limit wqquota.Limit, e wqquota.Entry) bool {
	a := l.account(now, e.Tenant, limit)
	if a == nil {
		return true
	}
	for _, age := range e.Admitted {
		a.window.Add(now, now.Add(-max(age, 0)))
		a.bucket.take()
	}
	for _, age := range e.Returned {
		a.window.Remove(now, now.Add(-max(age, 0)))
		a.bucket.level++
	}
	l.updateMode(now, e.Tenant, a)
	return a.strict
}

// Ask grants or refuses one request.
func (l *Ledger) Ask(now time.Time, limit wqquota.Limit, tenant string) wqquota.Answer {
	return l.ask(now, limit, tenant, 1)
}

// AskLate grants or refuses a request that can't be answered within its objective. While
// an account sends more than its quota, its callers gain most if the requests that can be
// get the credit.
func (l *Ledger) AskLate(now time.Time, limit wqquota.Limit, tenant string) wqquota.Answer {
	return l.ask(now, limit, tenant, max(1, lateReserve*bucketSize(limit)))
}

// ask grants one request if the bucket holds at least the level given.
func (l *Ledger) ask(now time.Time, limit wqquota.Limit, tenant string, level float64) wqquota.Answer {
	a := l.account(now, tenant, limit)
	if a == nil {
		return wqquota.Answer{Tenant: tenant, Strict: true, Blind: true, Wait: l.Bound.Window}
	}
	blind := l.blind(now, tenant)
	if !a.strict && (blind || !l.ownsFirst(tenant) && a.window.Count(now) >= int(strictEntry(a.limit)*standInEntry)) {
		l.beginStrict(now, tenant, a, blind)
	}
	if a.strict && !a.pushing { // The first owner does not answer the VM that asks.
		a.pushing, a.pushingFrom, a.nextPush = true, now, now
	}
	answer := wqquota.Answer{Tenant: tenant, Blind: blind}
	granted := l.granted(now, a, blind)
	if count := a.window.Count(now); a.bucket.level >= level && float64(count+1) <= granted {
		a.window.Add(now, now)
		a.bucket.take()
		answer.Granted = true
	} else {
		answer.Unsettled = a.strict && now.Sub(a.pushingFrom) < settleTime && len(a.acked) < l.liveCount()
		answer.Wait = a.wait(now, count, granted)
	}
	l.updateMode(now, tenant, a)
	answer.Strict = a.strict
	return answer
}

// granted returns the count up to which requests are granted. Each VM that can't be told
// of strict mode may use its equal share of the quota, which is left to it. Until the
// bucket fills, so may each one whose requests are unknown have used it.
func (l *Ledger) granted(now time.Time, a *account, blind bool) float64 {
	if !blind && !a.strict {
		return grantedCount(a.limit, 1, 1, 1)
	}
	return grantedCount(a.limit, l.known(a, blind && now.Before(a.bucket.at)), l.liveCount(), l.fleetSize())
}

// paceShare returns the part of the rate at which the bucket of an account fills.
func (l *Ledger) paceShare(a *account) float64 {
	if !a.strict {
		return 1
	}
	return quotaShare(l.known(a, false), l.liveCount(), l.fleetSize())
}

// known returns the number of live VMs that know of strict mode, or only those whose own
// requests are known for the whole window.
func (l *Ledger) known(a *account, withHistory bool) int {
	n := 0
	for key, full := range a.acked {
		if (full || !withHistory) && l.isLive(key) {
			n++
		}
	}
	return n
}

// wait returns the time until a request may be granted, after those that were told to
// wait before.
func (a *account) wait(now time.Time, count int, granted float64) time.Duration {
	if now.After(a.promisedTo) {
		a.promised = 0
	}
	a.promised++
	wait := a.bucket.wait(now, a.limit, a.promised)
	if excess := count - int(max(granted, 0)) + 1; excess > 0 {
		wait = max(wait, a.window.UntilLeft(now, excess))
	}
	wait = min(wait, 2*a.limit.Bound.Window) // Clients that ignore their delay must not delay others for longer.
	if to := now.Add(wait); to.After(a.promisedTo) {
		a.promisedTo = to
	}
	return wait
}

func (l *Ledger) beginStrict(now time.Time, tenant string, a *account, blind bool) {
	a.strict, a.strictSince, a.nextPush, a.pushingFrom, a.pushes = true, now, now, now, 0
	a.acked = make(map[vmKey]bool)
	a.pushing = l.ownsFirst(tenant)
	l.recordChange(now, tenant, a, blind)
}

// ownsFirst reports whether this VM is the first owner of an account.
func (l *Ledger) ownsFirst(tenant string) bool {
	if len(l.rosters) == 0 {
		return true
	}
	owners := l.rosters[len(l.rosters)-1].Owners(tenant)
	return len(owners) > 0 && owners[0].ID == l.Self
}

func (l *Ledger) recordChange(now time.Time, tenant string, a *account, blind bool) {
	if len(l.changes) < maxChanges {
		l.changes = append(l.changes, Change{Tenant: tenant, Strict: a.strict, Blind: blind, Count: a.window.Count(now), Quota: a.limit.Quota()})
	}
}

// Change is an entry into strict mode, or the return to free mode, with its inputs.
type Change struct {
	Tenant string
	Strict bool
	Blind  bool // Blind is true if requests of the last window may be missing from Count.
	Count  int
	Quota  float64
}

// TakeChanges returns the changes since the last call.
func (l *Ledger) TakeChanges() []Change {
	changes := l.changes
	l.changes = nil
	return changes
}

// updateMode enters or leaves strict mode.
func (l *Ledger) updateMode(now time.Time, tenant string, a *account) {
	entry, count := strictEntry(a.limit), float64(a.window.Count(now))
	blind, doubtful := l.blind(now, tenant), now.Before(l.doubtTo)
	switch {
	case doubtful:
		entry *= standInEntry
	case blind:
		entry /= 2
	}
	switch {
	case !a.strict && (count >= math.Max(entry, 1) || a.bucket.level < bucketEntry*bucketSize(a.limit)):
		l.beginStrict(now, tenant, a, blind)
	case a.strict && count < exitShare*entry && a.bucket.level >= bucketExit*bucketSize(a.limit) && !blind && !doubtful && now.Sub(a.strictSince) >= l.Bound.Window:
		a.strict, a.acked, a.pushing = false, nil, false
		l.recordChange(now, tenant, a, blind)
	}
}

// DuePush is the push of strict mode that is due to one VM.
type DuePush struct {
	To      wqquotaroster.VM
	Entries []wqquota.Entry
}

// DuePushes returns the pushes of accounts in strict mode to the VMs that have not
// acknowledged one.
func (l *Ledger) DuePushes(now time.Time) []DuePush {
	l.Tick(now)
	if len(l.rosters) == 0 {
		return nil
	}
	roster := l.rosters[len(l.rosters)-1]
	entries := make(map[string][]wqquota.Entry)
	for name, a := range l.accounts {
		if l.standsIn(now, name, a) {
			a.pushing, a.pushingFrom, a.nextPush = true, now, now
		}
		if !a.strict || !a.pushing || now.Before(a.nextPush) || !roster.Owns(l.Self, name) {
			continue
		}
		a.nextPush = now.Add(pushInterval << min(a.pushes, maxPushBackoff))
		a.pushes++
		e := wqquota.Entry{Tenant: name, Rate: a.limit.Rate, Burst: a.limit.Burst, WantHistory: l.blind(now, name)}
		for _, v := range roster.VMs {
			if _, ok := a.acked[vmKey{v.ID, v.Epoch}]; !ok && len(entries[v.ID]) < maxPushEntries {
				entries[v.ID] = append(entries[v.ID], e)
			}
		}
	}
	due := make([]DuePush, 0, len(entries))
	for _, v := range roster.VMs {
		if len(entries[v.ID]) > 0 {
			due = append(due, DuePush{To: v, Entries: entries[v.ID]})
		}
	}
	return due
}

// standsIn reports whether this owner has to tell the VMs of strict mode in place of
// those before it, which have not done so.
func (l *Ledger) standsIn(now time.Time, tenant string, a *account) bool {
	if !a.strict || a.pushing || !a.toldAt.IsZero() && now.Sub(a.toldAt) < toldLifetime {
		return false
	}
	owners := l.rosters[len(l.rosters)-1].Owners(tenant)
	rank := slices.IndexFunc(owners, func(v wqquotaroster.VM) bool { return v.ID == l.Self })
	return rank >= 0 && now.Sub(a.strictSince) >= time.Duration(rank)*standInDelay
}

// Told records that another owner has told this VM of strict mode.
func (l *Ledger) Told(now time.Time, tenant string) {
	if a := l.accounts[tenant]; a != nil {
		a.toldAt = now
	}
}

// Acknowledge records that a VM knows of strict mode, and merges its own requests from
// before this owner got all reports.
func (l *Ledger) Acknowledge(now time.Time, v wqquotaroster.VM, sent wqquota.Entry, answer wqquota.Answer) {
	a := l.accounts[sent.Tenant]
	if a == nil || !a.strict {
		return
	}
	key := vmKey{v.ID, v.Epoch}
	if sent.WantHistory && answer.Full && !a.acked[key] {
		for _, age := range answer.History {
			// The event may be older by one slot of the VM's own count.
			if at := now.Add(-max(age, 0)); at.Before(a.since.Add(l.Bound.Window / wqquota.VMSlots)) {
				a.window.Add(now, at)
			}
		}
	}
	a.acked[key] = a.acked[key] || answer.Full
}

// Standing describes an account for logs and tests.
type Standing struct {
	Count   int
	Granted float64
	Strict  bool
	Blind   bool
	Known   int // Known is the number of VMs that have acknowledged strict mode.
}

// Standing returns the state of an account.
func (l *Ledger) Standing(now time.Time, tenant string) Standing {
	a := l.accounts[tenant]
	if a == nil {
		return Standing{}
	}
	blind := l.blind(now, tenant)
	return Standing{Count: a.window.Count(now), Granted: l.granted(now, a, blind), Strict: a.strict, Blind: blind, Known: len(a.acked)}
}
