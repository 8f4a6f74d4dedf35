// Package wqquotagate decides what a VM does with each request of a client account that
// has a quota: it admits the request at once, asks an owner of the account, or decides by
// its own share of the quota. Package wqquota describes how owners and VMs work together.
//
// # Usage
//
//	gate := &wqquotagate.Gate[wqquotagate.FreeAndStrict]{Bound: bound, Random: random}
//	switch choice, wait := gate.Choose(now, tenant); choice {
//	case wqquotagate.AdmitNow: ...
//	case wqquotagate.AskOwner: ... Ask of the ledger of an owner ...
//	case wqquotagate.UseShare: ... gate.TryShare ...
//	case wqquotagate.RefuseNow: ... refuse for wait ...
//	}
//
// A Gate is not safe for concurrent use.
package wqquotagate

import (
	"math"
	"time"

	"wisteriaquay/core/wqbound"
	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqquotawindow"
)

const (
	localShare      = 0.7                   // localShare is the part of its equal share that a VM uses without an owner; the rest covers what it admitted before it noticed.
	refusalLifetime = 50 * time.Millisecond // refusalLifetime is the longest time in which a refusal of an owner holds for further requests.
	strictLifetime  = time.Hour             // strictLifetime is how long strict mode of an account without requests is remembered.
	maxHistory      = 1024                  // maxHistory bounds the requests in one history.
)

// Choice is what a VM does with a request.
type Choice uint8

// The choices.
const (
	AdmitNow  Choice = iota // AdmitNow sends the request and reports it to the owners.
	AskOwner                // AskOwner asks an owner first.
	UseShare                // UseShare decides by this VM's share of the quota.
	RefuseNow               // RefuseNow refuses because an owner has just refused.
)

// Policy decides how a VM treats the requests of an account.
type Policy interface {
	// Choose returns the choice for an account whose mode is strict or not.
	Choose(strict bool) Choice
}

// FreeAndStrict admits at once in free mode and asks in strict mode.
type FreeAndStrict struct{}

// Choose implements Policy.
func (FreeAndStrict) Choose(strict bool) Choice {
	if strict {
		return AskOwner
	}
	return AdmitNow
}

// AlwaysAsk asks an owner for each request.
type AlwaysAsk struct{}

// Choose implements Policy.
func (AlwaysAsk) Choose(bool) Choice { return AskOwner }

// EqualShares gives each VM an equal share of the quota, without messages.
type EqualShares struct{}

// Choose implements Policy.
func (EqualShares) Choose(bool) Choice { return UseShare }

// Gate decides on the requests that one VM gets. Set the exported fields before the first
// call. Call Tick every 100 ms or so.
type Gate[P Policy] struct {
	Policy    P
	Bound     wqbound.Quota
	StartedAt time.Time
	// FirstStart is true if no process of the fleet ran before.
	FirstStart bool
	Random     func() float64 // Random returns a number from 0 to 1, without 1.

	accounts    map[string]*gateAccount
	cautiousTo  time.Time // cautiousTo is the time until which this VM asks for each request, after a start or a pause.
	forgetfulTo time.Time // forgetfulTo is the time until which its own requests of a window may be unknown, after a start.
	lastCall    time.Time
}

// gateAccount is the state of one account at a VM.
type gateAccount struct {
	own        wqquotawindow.Window
	strict     bool
	strictAt   time.Time // strictAt is when the mode was first known or last changed.
	refuseTo   time.Time
	refusedFor time.Duration
	draw       float64 // draw rounds the share of this VM to a whole number, without bias over the fleet.
	usedAt     time.Time
}

// Tick detects a pause of the process.
func (g *Gate[P]) Tick(now time.Time) {
	if g.accounts == nil {
		g.accounts = make(map[string]*gateAccount)
		if !g.FirstStart {
			g.cautiousTo = g.StartedAt.Add(g.Bound.Window)
			g.forgetfulTo = g.cautiousTo
		}
	} else if now.Sub(g.lastCall) > wqquota.PauseLength {
		g.cautiousTo = now.Add(g.Bound.Window)
	}
	g.lastCall = now
}

// ContactFailed records that another VM did not answer. This VM may be cut off, and asks
// for each request until all of its neighbours had time to answer.
func (g *Gate[P]) ContactFailed(now time.Time) {
	g.Tick(now)
	if to := now.Add(wqquota.ContactTime); to.After(g.cautiousTo) {
		g.cautiousTo = to
	}
}

// Expire drops the accounts without requests. One in strict mode is kept for longer: its
// next request would otherwise be admitted at once, on each VM again and again.
func (g *Gate[P]) Expire(now time.Time) {
	for name, a := range g.accounts {
		if idle := now.Sub(a.usedAt); idle > strictLifetime || !a.strict && idle > wqquota.IdleWindows*g.Bound.Window {
			delete(g.accounts, name)
		}
	}
}

func (g *Gate[P]) account(now time.Time, tenant string) *gateAccount {
	g.Tick(now)
	a := g.accounts[tenant]
	if a == nil {
		a = &gateAccount{own: wqquotawindow.New(now, g.Bound.Window, wqquota.VMSlots), draw: g.Random()}
		if len(g.accounts) < wqquota.MaxAccounts {
			g.accounts[tenant] = a
		}
	}
	a.usedAt = now
	return a
}

// Choose returns what to do with a request of an account, and for RefuseNow the time until
// one may be granted.
func (g *Gate[P]) Choose(now time.Time, tenant string) (Choice, time.Duration) {
	a := g.account(now, tenant)
	choice := g.Policy.Choose(a.strict || now.Before(g.cautiousTo))
	if choice == AskOwner && now.Before(a.refuseTo) {
		return RefuseNow, a.refusedFor
	}
	return choice, 0
}

// Count counts a request that was admitted by any choice.
func (g *Gate[P]) Count(now time.Time, tenant string) { g.account(now, tenant).own.Add(now, now) }

// Return takes back a request that was counted at a time and has not run.
func (g *Gate[P]) Return(now, at time.Time, tenant string) {
	g.account(now, tenant).own.Remove(now, at)
}

// SetStrict records the mode that an owner has stated, or that no owner could be told of
// an admitted request. It returns true if the mode changes.
func (g *Gate[P]) SetStrict(now time.Time, tenant string, strict bool) bool {
	a := g.account(now, tenant)
	changed := a.strict != strict
	if changed || a.strictAt.IsZero() {
		a.strictAt = now
	}
	a.strict = strict
	return changed
}

// Refused records that an owner refused a request, and for how long.
func (g *Gate[P]) Refused(now time.Time, tenant string, wait time.Duration) {
	a := g.account(now, tenant)
	a.refuseTo, a.refusedFor = now.Add(min(wait, refusalLifetime)), wait
}

// ModeAge returns how long the mode of an account is known.
func (g *Gate[P]) ModeAge(now time.Time, tenant string) time.Duration {
	if a := g.account(now, tenant); !a.strictAt.IsZero() {
		return now.Sub(a.strictAt)
	}
	return 0
}

// TryShare counts a request and returns true if this VM's own share of the quota allows
// it. Otherwise it returns the time until it may.
func (g *Gate[P]) TryShare(now time.Time, tenant string, limit wqquota.Limit, fleet int) (bool, time.Duration) {
	a := g.account(now, tenant)
	if now.Before(g.forgetfulTo) {
		return false, g.forgetfulTo.Sub(now)
	}
	share := localShare * limit.Quota() / float64(max(fleet, 1))
	allowed := int(math.Floor(share + a.draw))
	if limit.Quota() <= limit.Bound.Slack {
		allowed = max(allowed, 1) // The slack covers one request of each VM that such an account reaches.
	}
	count := a.own.Count(now)
	if count < allowed {
		a.own.Add(now, now)
		return true, 0
	}
	wait := a.own.UntilLeft(now, max(count-allowed+1, 1))
	return false, time.Duration(float64(wait) * (0.5 + 0.5*g.Random()))
}

// History returns the ages of this VM's own requests in the last window, and whether it
// knows them all.
func (g *Gate[P]) History(now time.Time, tenant string) ([]time.Duration, bool) {
	a := g.account(now, tenant)
	ages := a.own.Ages(now, maxHistory)
	return ages, !now.Before(g.forgetfulTo) && len(ages) < maxHistory
}
