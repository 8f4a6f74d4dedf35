package wqlimiter

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqquotaledger"
	"wisteriaquay/core/wqquotaroster"
)

const (
	tickInterval    = 100 * time.Millisecond // tickInterval is how often pauses are detected and reports and pushes retried.
	coalesceDelay   = 10 * time.Millisecond  // coalesceDelay is the time in which requests are gathered for one report.
	reportTimeout   = 200 * time.Millisecond // reportTimeout bounds a report, and with it the time until this VM knows that an owner is away.
	pushTimeout     = 250 * time.Millisecond
	pushConcurrency = 64   // pushConcurrency bounds the pushes in flight, so that VMs that are away don't hold up the others.
	maxEntries      = 256  // maxEntries bounds the accounts in one report.
	maxEvents       = 1024 // maxEvents bounds the requests of one account that wait for an owner that is away.
)

// Run sends reports and pushes until ctx ends.
func (l *Limiter[P, T]) Run(ctx context.Context) {
	if l.Bound.Window <= 0 {
		return
	}
	l.start()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastExpiry := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			if !sleep(ctx, coalesceDelay) {
				return
			}
		case <-ticker.C:
		}
		now := time.Now()
		l.mutex.Lock()
		l.currentRoster(now)
		l.gate.Tick(now)
		if now.Sub(lastExpiry) > l.Bound.Window {
			l.gate.Expire(now)
			l.ledger.Expire(now)
			lastExpiry = now
		}
		l.sendReports(ctx, now)
		l.sendPushes(ctx, now)
		l.logChanges()
		l.mutex.Unlock()
	}
}

// logChanges logs the changes of mode of the accounts that this VM owns. The lock must be
// held.
func (l *Limiter[P, T]) logChanges() {
	for _, c := range l.ledger.TakeChanges() {
		l.Log.Info("quota mode", "tenant", c.Tenant, "strict", c.Strict, "count", c.Count, "quota", c.Quota, "window_ms", l.Bound.Window.Milliseconds(), "blind", c.Blind, "vms", len(l.roster.VMs), "fleet", l.roster.FleetSize)
	}
}

// pending returns the requests of an account that a VM does not know yet. The lock must be
// held.
func (l *Limiter[P, T]) pending(vm, tenant string, limit wqquota.Limit) *events {
	accounts := l.outbox[vm]
	if accounts == nil {
		accounts = make(map[string]*events)
		l.outbox[vm] = accounts
	}
	e := accounts[tenant]
	if e == nil {
		e = &events{}
		accounts[tenant] = e
	}
	e.limit = limit
	if n := len(e.admitted) - maxEvents; n > 0 {
		e.admitted = e.admitted[n:]
	}
	if n := len(e.returned) - maxEvents; n > 0 {
		e.returned = e.returned[n:]
	}
	return e
}

// sendReports starts the reports that are due. The lock must be held.
func (l *Limiter[P, T]) sendReports(ctx context.Context, now time.Time) {
	for id := range l.outbox {
		v, live := l.find(id)
		if !live {
			delete(l.outbox, id) // Another owner takes its place and asks for what it has missed.
			continue
		}
		if l.sending[id] || now.Before(l.unreachable[id]) {
			continue
		}
		taken := make(map[string]*events)
		for tenant, e := range l.outbox[id] {
			if len(taken) == maxEntries {
				break
			}
			e.dropBefore(now.Add(-l.Bound.Window))
			taken[tenant] = e
			delete(l.outbox[id], tenant)
		}
		if len(l.outbox[id]) == 0 {
			delete(l.outbox, id)
		}
		l.sending[id] = true
		go l.sendReport(ctx, v, taken)
	}
}

func (l *Limiter[P, T]) find(id string) (wqquotaroster.VM, bool) {
	for _, v := range l.roster.VMs {
		if v.ID == id {
			return v, true
		}
	}
	return wqquotaroster.VM{}, false
}

// dropBefore drops the events that no window includes any more.
func (e *events) dropBefore(t time.Time) {
	for len(e.admitted) > 0 && e.admitted[0].Before(t) {
		e.admitted = e.admitted[1:]
	}
}

func (l *Limiter[P, T]) sendReport(ctx context.Context, v wqquotaroster.VM, taken map[string]*events) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	m := wqquota.Message{From: l.Self.ID, Kind: wqquota.Report}
	now := time.Now()
	for tenant, e := range taken {
		m.Entries = append(m.Entries, wqquota.Entry{Tenant: tenant, Rate: e.limit.Rate, Burst: e.limit.Burst, Admitted: agesOf(now, e.admitted), Returned: agesOf(now, e.returned)})
	}
	reply, err := l.Transport.SendQuota(ctx, v, m)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now = time.Now()
	delete(l.sending, v.ID)
	if err != nil {
		l.Log.Info("quota report failed", "peer", v.ID, "accounts", len(taken), "error", err.Error())
		l.requeue(now, v, taken)
		return
	}
	for _, a := range reply.Answers {
		if owners := l.roster.Owners(a.Tenant); taken[a.Tenant] != nil && (a.Strict || len(owners) > 0 && owners[0].ID == v.ID) {
			l.setStrict(now, a.Tenant, a.Strict, v.ID)
		}
	}
}

// requeue keeps a report that failed. While an owner can't be told of requests, the mode
// of their accounts is unknown: the next request asks.
func (l *Limiter[P, T]) requeue(now time.Time, v wqquotaroster.VM, taken map[string]*events) {
	l.unreachable[v.ID] = now.Add(avoidTime)
	l.doubtContact(now)
	for tenant, e := range taken {
		later := l.pending(v.ID, tenant, e.limit)
		later.admitted, later.returned = append(e.admitted, later.admitted...), append(e.returned, later.returned...)
		if owners := l.roster.Owners(tenant); len(owners) > 0 && owners[0].ID == v.ID {
			l.setStrict(now, tenant, true, "no reply of "+v.ID)
		}
	}
}

func agesOf(now time.Time, times []time.Time) []time.Duration {
	ages := make([]time.Duration, len(times))
	for i, t := range times {
		ages[i] = now.Sub(t)
	}
	return ages
}

// sendPushes starts the pushes that are due. The lock must be held.
func (l *Limiter[P, T]) sendPushes(ctx context.Context, now time.Time) {
	if due := l.ledger.DuePushes(now); len(due) > 0 {
		// VMs that were heard of lately come first, those that may be cut off last.
		slices.SortStableFunc(due, func(a, b wqquotaledger.DuePush) int { return l.heard[b.To.ID].Compare(l.heard[a.To.ID]) })
		go l.push(ctx, due)
	}
}

func (l *Limiter[P, T]) push(ctx context.Context, due []wqquotaledger.DuePush) {
	var g sync.WaitGroup
	free := make(chan struct{}, pushConcurrency)
	for _, p := range due {
		free <- struct{}{}
		g.Go(func() {
			defer func() { <-free }()
			l.pushTo(ctx, p)
		})
	}
	g.Wait()
}

func (l *Limiter[P, T]) pushTo(ctx context.Context, p wqquotaledger.DuePush) {
	m := wqquota.Message{From: l.Self.ID, Kind: wqquota.Push, Entries: p.Entries}
	reply, err := wqquota.Reply{}, error(nil)
	if p.To.ID == l.Self.ID {
		reply = l.Handle(m)
	} else {
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		defer cancel()
		reply, err = l.Transport.SendQuota(ctx, p.To, m)
	}
	if err != nil || len(reply.Answers) != len(p.Entries) {
		return // It counts as unreachable, and is tried again.
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i, e := range p.Entries {
		l.ledger.Acknowledge(time.Now(), p.To, e, reply.Answers[i])
	}
}

// Handle handles a message of another VM.
func (l *Limiter[P, T]) Handle(m wqquota.Message) wqquota.Reply {
	if l.Bound.Window <= 0 {
		return wqquota.Reply{}
	}
	l.start()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.currentRoster(now)
	l.heard[m.From] = now
	reply := wqquota.Reply{Answers: make([]wqquota.Answer, 0, len(m.Entries))}
	for i := range m.Entries {
		reply.Answers = append(reply.Answers, l.handleEntry(now, m.Kind, &m.Entries[i], m.From))
	}
	l.signal()
	return reply
}

func (l *Limiter[P, T]) handleEntry(now time.Time, kind wqquota.Kind, e *wqquota.Entry, from string) wqquota.Answer {
	answer := wqquota.Answer{Tenant: e.Tenant}
	switch kind {
	case wqquota.Report:
		answer.Strict = l.ledger.Add(now, l.limitOfEntry(e), *e)
	case wqquota.Ask:
		answer = l.askLedger(now, l.limitOfEntry(e), e.Tenant, e.Late)
	case wqquota.Push:
		l.setStrict(now, e.Tenant, true, from)
		if from != l.Self.ID {
			l.ledger.Told(now, e.Tenant)
		}
		history, full := l.gate.History(now, e.Tenant)
		answer.Strict, answer.Full = true, full
		if e.WantHistory {
			answer.History = history
		}
	}
	return answer
}

// limitOfEntry returns the limit of an account by this VM's configuration, or by the
// sender's if this VM's has none.
func (l *Limiter[P, T]) limitOfEntry(e *wqquota.Entry) wqquota.Limit {
	if table := l.Plan().Table; table != nil {
		if limit, ok := l.limitOf(table.Tenants.Tenant(e.Tenant)); ok {
			return limit
		}
	}
	return wqquota.Limit{Rate: max(finite(e.Rate), 1e-3), Burst: finite(e.Burst), Bound: l.Bound}
}

func finite(v float64) float64 {
	if v >= 0 && v <= math.MaxInt32 {
		return v
	}
	return 0
}
