package wqlimiter

import (
	"context"
	"fmt"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqquotagate"
	"wisteriaquay/core/wqquotaroster"
	"wisteriaquay/core/wqtenant"
)

const (
	askTimeout  = 150 * time.Millisecond // askTimeout bounds the wait for one owner: a round trip to another zone, and a busy VM there.
	retryDelay  = 60 * time.Millisecond  // retryDelay is the time after which an owner that waits for other VMs is asked again.
	maxAttempts = 6                      // maxAttempts bounds how often one request asks, so that it waits for the settling time of an owner and no longer.
	avoidTime   = 500 * time.Millisecond // avoidTime is the time after a failure in which a VM is asked only after the others.
)

// Modes in which a request is refused, as in logs and metrics.
const (
	modeStrict = "strict" // An owner refused.
	modeRecent = "recent" // An owner refused another request of the account just before.
	modeBlind  = "blind"  // An owner refused that does not know all requests of the last window.
	modeLocal  = "local"  // No owner could be reached, and this VM's share is used up.
)

// Charge counts a call against the quota of its account. It returns false, and the reply,
// if the quota refuses the call. It waits for an owner only if this VM has been told that
// the account is near its quota.
func (l *Limiter[P, T]) Charge(ctx context.Context, c *wqcall.Call, t *wqtenant.Tenant) (wqcall.Reply, bool) {
	limit, ok := l.limitOf(t)
	if !ok {
		return wqcall.Reply{}, true
	}
	l.start()
	choice, wait, roster := l.choose(c, limit)
	switch choice {
	case wqquotagate.AdmitNow:
		return wqcall.Reply{}, true
	case wqquotagate.RefuseNow:
		l.mutex.Lock()
		defer l.mutex.Unlock()
		return l.refuse(c, modeRecent, wait), false
	case wqquotagate.AskOwner:
		if reply, decided, granted := l.ask(ctx, c, limit, roster); decided {
			return reply, granted
		}
	case wqquotagate.UseShare:
		return l.useShare(c, limit, roster, false)
	}
	return l.useShare(c, limit, roster, true)
}

// choose chooses how a call is decided on, and counts it if it is admitted at once.
func (l *Limiter[P, T]) choose(c *wqcall.Call, limit wqquota.Limit) (wqquotagate.Choice, time.Duration, *wqquotaroster.Roster) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	roster := l.currentRoster(now)
	choice, wait := l.gate.Choose(now, c.Tenant)
	if choice == wqquotagate.AdmitNow {
		l.admit(now, c, limit, roster, "")
	}
	return choice, wait, roster
}

// admit counts an admitted call and reports it to the owners, except to the one that has
// granted it. The lock must be held.
func (l *Limiter[P, T]) admit(now time.Time, c *wqcall.Call, limit wqquota.Limit, roster *wqquotaroster.Roster, grantedBy string) {
	c.ChargedAt = now
	l.gate.Count(now, c.Tenant)
	l.report(now, c.Tenant, limit, roster, grantedBy)
}

func (l *Limiter[P, T]) report(now time.Time, tenant string, limit wqquota.Limit, roster *wqquotaroster.Roster, grantedBy string) {
	for _, v := range roster.Owners(tenant) {
		switch v.ID {
		case grantedBy:
		case l.Self.ID:
			if l.ledger.Add(now, limit, wqquota.Entry{Tenant: tenant, Admitted: []time.Duration{0}}) {
				l.gate.SetStrict(now, tenant, true)
			}
		default:
			e := l.pending(v.ID, tenant, limit)
			e.admitted = append(e.admitted, now)
		}
	}
	l.signal()
}

// ask asks the owners of an account for one request. It returns decided as false if none
// could be reached.
func (l *Limiter[P, T]) ask(ctx context.Context, c *wqcall.Call, limit wqquota.Limit, roster *wqquotaroster.Roster) (reply wqcall.Reply, decided, granted bool) {
	for attempt := 1; ; attempt++ {
		answer, by, reached := l.askOwners(ctx, c, limit, roster)
		switch {
		case !reached:
			return wqcall.Reply{}, false, false
		case answer.Granted:
			l.recordGrant(c, limit, roster, by, answer)
			return wqcall.Reply{}, true, true
		case !answer.Unsettled || attempt == maxAttempts:
			return l.recordRefusal(c, by, answer), true, false
		case !sleep(ctx, retryDelay):
			return wqcall.Reply{Status: wqcall.CallerGone, Reason: "the caller disconnected"}, true, false
		}
	}
}

// askOwners asks the owners in turn until one knows all requests of the last window, and
// returns its answer, else the last one.
func (l *Limiter[P, T]) askOwners(ctx context.Context, c *wqcall.Call, limit wqquota.Limit, roster *wqquotaroster.Roster) (last wqquota.Answer, by wqquotaroster.VM, reached bool) {
	for _, v := range l.askOrder(roster, c.Tenant) {
		answer, ok := l.askOne(ctx, v, c, limit)
		if !ok {
			continue
		}
		last, by, reached = answer, v, true
		if answer.Granted || !answer.Blind {
			break
		}
	}
	return last, by, reached
}

// recordRefusal records that an owner has refused a call, and returns the reply to it.
func (l *Limiter[P, T]) recordRefusal(c *wqcall.Call, by wqquotaroster.VM, answer wqquota.Answer) wqcall.Reply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.setStrict(now, c.Tenant, answer.Strict, by.ID)
	if !c.Late { // Others may be granted what a late request is not.
		l.gate.Refused(now, c.Tenant, answer.Wait)
	}
	if answer.Blind {
		return l.refuse(c, modeBlind, answer.Wait)
	}
	return l.refuse(c, modeStrict, answer.Wait)
}

// askOrder returns the owners of an account, those that failed lately last.
func (l *Limiter[P, T]) askOrder(roster *wqquotaroster.Roster, tenant string) []wqquotaroster.VM {
	owners := roster.Owners(tenant)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	var order, avoided []wqquotaroster.VM
	for _, v := range owners {
		if now.Before(l.unreachable[v.ID]) {
			avoided = append(avoided, v)
		} else {
			order = append(order, v)
		}
	}
	if len(order) == 0 {
		return order // Each failed just before; the share of this VM decides without another wait.
	}
	return append(order, avoided...)
}

// askOne asks one owner, which may be this VM.
func (l *Limiter[P, T]) askOne(ctx context.Context, v wqquotaroster.VM, c *wqcall.Call, limit wqquota.Limit) (wqquota.Answer, bool) {
	if v.ID == l.Self.ID {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		answer := l.askLedger(time.Now(), limit, c.Tenant, c.Late)
		l.signal()
		return answer, true
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := l.Transport.SendQuota(askCtx, v, wqquota.Message{
		From: l.Self.ID, Kind: wqquota.Ask, Entries: []wqquota.Entry{{Tenant: c.Tenant, Rate: limit.Rate, Burst: limit.Burst, Late: c.Late}},
	})
	if err != nil || len(reply.Answers) != 1 || reply.Answers[0].Tenant != c.Tenant {
		if ctx.Err() == nil { // The caller is still there.
			l.recordFailure(v)
		}
		return wqquota.Answer{}, false
	}
	return reply.Answers[0], true
}

// askLedger asks the ledger of this VM for one request. The lock must be held.
func (l *Limiter[P, T]) askLedger(now time.Time, limit wqquota.Limit, tenant string, late bool) wqquota.Answer {
	if late {
		return l.ledger.AskLate(now, limit, tenant)
	}
	return l.ledger.Ask(now, limit, tenant)
}

func (l *Limiter[P, T]) recordFailure(v wqquotaroster.VM) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.unreachable[v.ID] = now.Add(avoidTime)
	l.doubtContact(now)
}

// ContactFailed records that another VM did not answer a heartbeat: this VM may be cut
// off, and may not admit requests without an owner.
func (l *Limiter[P, T]) ContactFailed() {
	if l.Bound.Window <= 0 {
		return
	}
	l.start()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.doubtContact(time.Now())
}

// doubtContact records that this VM may be cut off. The lock must be held.
func (l *Limiter[P, T]) doubtContact(now time.Time) {
	l.gate.ContactFailed(now)
	l.ledger.ContactFailed(now)
}

// recordGrant counts a call that an owner has granted.
func (l *Limiter[P, T]) recordGrant(c *wqcall.Call, limit wqquota.Limit, roster *wqquotaroster.Roster, by wqquotaroster.VM, answer wqquota.Answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.admit(now, c, limit, roster, by.ID)
	l.setStrict(now, c.Tenant, answer.Strict, by.ID)
}

// setStrict records the mode of an account. The lock must be held.
func (l *Limiter[P, T]) setStrict(now time.Time, tenant string, strict bool, from string) {
	if l.gate.SetStrict(now, tenant, strict) {
		l.Log.Info("quota mode learned", "tenant", tenant, "strict", strict, "from", from)
	}
}

// useShare decides on a call by this VM's share of the quota. An admitted call is reported
// to the owners if reports is true.
func (l *Limiter[P, T]) useShare(c *wqcall.Call, limit wqquota.Limit, roster *wqquotaroster.Roster, reports bool) (wqcall.Reply, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	ok, wait := l.gate.TryShare(now, c.Tenant, limit, roster.FleetSize)
	if ok {
		c.ChargedAt = now
		if reports {
			l.report(now, c.Tenant, limit, roster, "")
		}
		return wqcall.Reply{}, true
	}
	return l.refuse(c, modeLocal, wait), false
}

// refuse returns the reply to a call over the quota. The lock must be held.
func (l *Limiter[P, T]) refuse(c *wqcall.Call, mode string, wait time.Duration) wqcall.Reply {
	if l.CountRefusal != nil {
		l.CountRefusal(c.Tenant, mode)
	}
	return wqcall.Reply{
		Status: wqcall.OverQuota, RetryAfter: max(wait, time.Millisecond),
		Reason: fmt.Sprintf("the quota is used up (%s, known for %d ms)", mode, l.gate.ModeAge(time.Now(), c.Tenant).Milliseconds()),
	}
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
