package wqcontroller

import (
	"context"
	"slices"
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqtime"
)

const (
	rolloutTick      = 250 * time.Millisecond // rolloutTick is the time between two evaluations while an order is open.
	reportInterval   = 500 * time.Millisecond
	idleInterval     = 1200 * time.Millisecond // idleInterval is reportInterval for a VM that has sent nothing since.
	coordinatorAway  = 10 * time.Second        // coordinatorAway is how long a VM that failed as the coordinator is passed over.
	maxFailedReports = 3
	maxFailedWrites  = 2 // maxFailedWrites is the number of failed writes in a row after which a coordinator asks for another one.
	writeInterval    = 400 * time.Millisecond
	writeTimeout     = 2 * time.Second
	frozenAfter      = time.Second // frozenAfter is the delay of a tick from which this VM counts as having been frozen.
	pushTimes        = 3           // pushTimes is how often a verdict is sent to all VMs, as calls may be lost.
)

// coordination is this VM's part in the exchange of reports.
type coordination struct {
	tickAt       time.Time
	reportAt     time.Time
	sent         uint64 // sent is the number of sends in the latest report.
	failed       int    // failed counts the reports without a reply in a row.
	away         map[string]time.Time
	answered     map[string]uint64 // answered holds the latest report that answeredBy has, by service.
	answeredBy   string
	failedWrites int
	pushes       map[string]int // pushes holds how often a verdict is still to be sent, by service.
	failedAt     time.Time      // failedAt is the time of the latest failed write.
	syncedTo     uint64         // syncedTo is the store revision known before the batch that is being merged; 0 for none.
}

// rolloutEvent is a message about rollouts from another VM, the reply to one of this VM,
// or the outcome of a write.
type rolloutEvent struct {
	message wqrollout.Message
	reply   chan<- wqrollout.Message // reply is set for a message from another VM.
	failed  string                   // failed is the VM that did not reply.
	write   *statusOutcome
}

// statusOutcome is the outcome of a write of a status.
type statusOutcome struct {
	order wqrollout.Order
	phase wqrollout.Phase
	items []wqmirror.Item
	err   error
}

// RolloutsReceived handles a message from another VM and returns the reply. It reports
// false when ctx or the controller ends first.
func (c *Controller) RolloutsReceived(ctx context.Context, m wqrollout.Message) (wqrollout.Message, bool) {
	reply := make(chan wqrollout.Message, 1)
	if !c.loop.Post(ctx, message{rollout: &rolloutEvent{message: m, reply: reply}}) {
		return wqrollout.Message{}, false
	}
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
	case <-c.loop.Done():
	}
	return wqrollout.Message{}, false
}

// RolloutsReplied records the reply to a message. It is dropped when the queue is full.
func (c *Controller) RolloutsReplied(m wqrollout.Message) {
	c.loop.TryPost(message{rollout: &rolloutEvent{message: m}})
}

// RolloutsFailed records that a VM did not reply. It is dropped when the queue is full.
func (c *Controller) RolloutsFailed(vm string) {
	c.loop.TryPost(message{rollout: &rolloutEvent{failed: vm}})
}

func (c *Controller) handleRolloutEvent(now time.Time, e *rolloutEvent) {
	switch {
	case e.write != nil:
		c.handleWritten(now, e.write)
	case e.failed != "":
		c.coordination.failed++
		if c.coordination.failed >= maxFailedReports {
			c.passOver(now, e.failed, "no reply")
		}
	case e.reply != nil:
		e.reply <- c.answerRollouts(now, &e.message)
	default:
		c.coordination.failed = 0
		c.noteAnswered(&e.message)
		if e.message.StoreUnreachable {
			c.passOver(now, e.message.From, "it can't write to the store")
		}
		c.obey(now, e.message.Directives)
	}
}

// passOver lets another VM coordinate for a while.
func (c *Controller) passOver(now time.Time, vm, reason string) {
	if c.coordination.away == nil || len(c.coordination.away) > 64 {
		c.coordination.away = make(map[string]time.Time)
	}
	c.coordination.away[vm], c.coordination.failed = now.Add(coordinatorAway), 0
	c.Log.Info("rollout coordinator passed over", "vm", vm, "reason", reason)
}

// answerRollouts takes in the reports and directives of another VM.
func (c *Controller) answerRollouts(now time.Time, m *wqrollout.Message) wqrollout.Message {
	c.obey(now, m.Directives)
	reply := wqrollout.Message{From: c.members.Self.ID, StoreUnreachable: c.coordination.cannotWrite(now)}
	for i := range m.Reports {
		r := &m.Reports[i]
		d, ok, complete := c.takeReport(now, r)
		if ok {
			reply.Directives = append(reply.Directives, d)
			reply.Received = append(reply.Received, wqrollout.Receipt{Service: r.Service, Sequence: r.Sequence, Complete: complete})
		}
	}
	return reply
}

// noteAnswered records which reports the coordinator has, so that rows it knows are not sent
// again.
func (c *Controller) noteAnswered(m *wqrollout.Message) {
	if m.From != c.coordination.answeredBy || c.coordination.answered == nil {
		c.coordination.answeredBy, c.coordination.answered = m.From, make(map[string]uint64)
	}
	for _, r := range m.Received {
		if !r.Complete {
			delete(c.coordination.answered, r.Service)
			continue
		}
		c.coordination.answered[r.Service] = r.Sequence
	}
}

// takeReport takes in one report, as the coordinator, and returns the directive.
func (c *Controller) takeReport(now time.Time, r *wqrollout.Report) (d wqrollout.Directive, ok, complete bool) {
	s := c.rollouts[r.Service]
	if s == nil || s.moved || !s.pending() || r.OrderRevision != s.order.Revision {
		return wqrollout.Directive{}, false, false
	}
	if s.rollout == nil {
		s.rollout = wqrollout.New(s.order, c.Rollouts.Limits, now)
		c.Log.Info("coordinating a rollout", "service", s.order.Service, "version", s.order.Version, "order_revision", s.order.Revision, "order_age_ms", now.Sub(s.firstSeen).Milliseconds())
	}
	s.reportedAt = now
	s.rollout.FleetSize = c.fleetSize
	complete = s.rollout.HandleReport(now, r)
	if s.verdict != "" {
		s.rollout.RollBack(s.verdict)
	}
	return s.rollout.Directive(), true, complete
}

// obey adopts directives for the orders that this VM knows.
func (c *Controller) obey(now time.Time, directives []wqrollout.Directive) {
	for _, d := range directives {
		s := c.rollouts[d.Service]
		if s == nil || !s.pending() || d.OrderRevision != s.order.Revision || d.Version != s.order.Version {
			continue
		}
		switch d.Phase {
		case wqrollout.RolledBack:
			c.latch(now, s, d.Reason)
		case wqrollout.Running, wqrollout.Switching:
			d.ValidUntil = now.Add(wqrollout.ContactTimeout)
			d.Share = min(max(d.Share, 0), 1)
			s.latest, c.dirty = d, true
		}
	}
}

// tickRollouts evaluates the open orders and returns the time of its next call, a
// heartbeat later if there are none.
func (c *Controller) tickRollouts(now time.Time) time.Time {
	c.dirty = c.holdEnded(now) || c.dirty
	if !c.hasOpenOrder() {
		return now.Add(time.Minute)
	}
	if now.Before(c.coordination.tickAt) {
		return c.coordination.tickAt
	}
	c.resume(now)
	c.coordination.tickAt = now.Add(rolloutTick)
	c.exchangeReports(now)
	for _, s := range c.rollouts {
		if s.pending() {
			c.tickRollout(now, s)
		} else if !s.ordered() {
			c.endWithdrawn(now, s)
		}
	}
	return c.coordination.tickAt
}

// resume makes a coordinator that was frozen wait for new reports.
func (c *Controller) resume(now time.Time) {
	if c.coordination.tickAt.IsZero() || now.Sub(c.coordination.tickAt) < frozenAfter {
		return
	}
	for _, s := range c.rollouts {
		if s.rollout != nil {
			s.rollout.Resume()
		}
	}
}

// hasOpenOrder reports whether an order has no verdict in the store.
func (c *Controller) hasOpenOrder() bool {
	for _, s := range c.rollouts {
		if s.pending() || !s.ordered() && s.status.Phase == wqrollout.Running {
			return true
		}
	}
	return false
}

// holdEnded reports whether a version has waited long enough for an order.
func (c *Controller) holdEnded(now time.Time) bool {
	for _, d := range c.Plan().Rollouts {
		if d.Phase == wqrollout.Held && !d.ValidUntil.IsZero() && !now.Before(d.ValidUntil) {
			return true
		}
	}
	return false
}

// tickRollout evaluates one order and writes its status if that is due.
func (c *Controller) tickRollout(now time.Time, s *rolloutState) {
	if s.moved {
		if c.coordinator(now).ID == c.members.Self.ID {
			c.writeStatus(now, s, s.order, wqrollout.Completed)
		}
		return
	}
	if s.witnessed && now.Sub(s.firstSeen) > s.order.Duration+lateVerdict {
		c.latch(now, s, "no verdict until the deadline")
	}
	coordinates := s.rollout != nil && now.Sub(s.reportedAt) < wqrollout.ContactTimeout
	if !coordinates {
		if s.verdict != "" {
			c.writeStatus(now, s, s.order, wqrollout.RolledBack)
		}
		return
	}
	before := s.rollout.Directive()
	s.rollout.Tick(now)
	after := s.rollout.Directive()
	if before.Phase != after.Phase || before.Step != after.Step {
		c.logStep(now, s, &after)
	}
	if after.Phase == wqrollout.RolledBack && s.verdict == "" {
		c.latch(now, s, after.Reason)
		c.pushVerdict(s.order.Service)
		s.writeAt = now
	}
	c.sendVerdicts(s, &after)
	if due := s.rollout.Due(); due != s.status.Phase || !s.status.Of(s.order) {
		c.writeStatus(now, s, s.order, due)
	}
}

func (c *Controller) logStep(now time.Time, s *rolloutState, d *wqrollout.Directive) {
	sentNew, sentOld := s.rollout.Sent()
	c.Log.Info("rollout step", "service", d.Service, "version", d.Version, "phase", d.Phase.String(), "step", d.Step, "share", d.Share, "reason", d.Reason,
		"sent_new", sentNew, "sent_old", sentOld, "responses_new", s.rollout.Responses(), "order_age_ms", now.Sub(s.firstSeen).Milliseconds(),
		"left_ms", s.rollout.Deadline().Sub(now).Milliseconds(), "recovered", s.rollout.Recovered)
}

func (c *Controller) pushVerdict(service string) {
	if c.coordination.pushes == nil {
		c.coordination.pushes = make(map[string]int)
	}
	c.coordination.pushes[service] = pushTimes
}

// sendVerdicts sends a verdict against a version to all VMs, a few times.
func (c *Controller) sendVerdicts(s *rolloutState, d *wqrollout.Directive) {
	if c.coordination.pushes[s.order.Service] <= 0 || c.Rollouts.Transport == nil {
		return
	}
	c.coordination.pushes[s.order.Service]--
	for _, m := range c.liveMembers() {
		if m.ID != c.members.Self.ID {
			c.Rollouts.Transport.SendRollouts(m, wqrollout.Message{From: c.members.Self.ID, Directives: []wqrollout.Directive{*d}})
		}
	}
}

// endWithdrawn writes that a rollout whose order was withdrawn is rolled back.
func (c *Controller) endWithdrawn(now time.Time, s *rolloutState) {
	if s.status.Phase != wqrollout.Running || c.coordinator(now).ID != c.members.Self.ID {
		return
	}
	c.writeStatus(now, s, wqrollout.Order{Service: s.status.Service, Version: s.status.Version}, wqrollout.RolledBack)
}

// exchangeReports reports this VM's evidence to the coordinator when it is due.
func (c *Controller) exchangeReports(now time.Time) {
	if c.Rollouts.Meter == nil {
		return
	}
	to := c.coordinator(now)
	if to.ID == c.members.Self.ID {
		reports, _ := c.ownReports(now, "")
		for i := range reports {
			if d, ok, _ := c.takeReport(now, &reports[i]); ok {
				c.obey(now, []wqrollout.Directive{d})
			}
		}
		return
	}
	if now.Before(c.coordination.reportAt) || c.Rollouts.Transport == nil {
		return
	}
	reports, sent := c.ownReports(now, to.ID)
	next := reportInterval
	if sent == c.coordination.sent {
		next = idleInterval
	}
	c.coordination.reportAt, c.coordination.sent = now.Add(next), sent
	c.Rollouts.Transport.SendRollouts(to, wqrollout.Message{From: c.members.Self.ID, Reports: reports})
}

// ownReports returns the reports on the open orders, and the number of sends in them. They
// leave out what the VM that they are for has already.
func (c *Controller) ownReports(now time.Time, to string) (reports []wqrollout.Report, sent uint64) {
	for service, s := range c.rollouts {
		if !s.pending() {
			continue
		}
		base := uint64(0)
		if to != "" && to == c.coordination.answeredBy {
			base = c.coordination.answered[service]
		}
		r, ok := c.Rollouts.Meter.Report(service, base)
		if !ok || r.OrderRevision != s.order.Revision {
			continue
		}
		r.VM, r.Epoch = c.members.Self.ID, c.members.Self.Epoch
		r.AgeMillis, r.Witnessed, r.RolledBack = now.Sub(s.firstSeen).Milliseconds(), s.witnessed, s.verdict
		if now.Before(s.latest.ValidUntil) {
			r.Step = s.latest.Step
		}
		sent += r.SentNew + r.SentOld
		reports = append(reports, r)
	}
	return reports, sent
}

// coordinator returns the VM that coordinates rollouts, this one if there is no other. If
// all have failed lately, it is the first one again.
func (c *Controller) coordinator(now time.Time) wqmember.Member {
	live := wqrollout.Coordinators(c.liveMembers())
	for _, m := range live {
		failed := m.ID == c.members.Self.ID && c.coordination.cannotWrite(now)
		if !failed && !now.Before(c.coordination.away[m.ID]) {
			return m
		}
	}
	if len(live) > 0 {
		return live[0]
	}
	return c.members.Self
}

// cannotWrite reports whether the latest writes of this VM to the store failed.
func (c *coordination) cannotWrite(now time.Time) bool {
	return c.failedWrites >= maxFailedWrites && now.Sub(c.failedAt) < coordinatorAway
}

// writeStatus starts a write of the status unless one is in progress.
func (c *Controller) writeStatus(now time.Time, s *rolloutState, o wqrollout.Order, p wqrollout.Phase) {
	if s.writing || now.Before(s.writeAt) || c.Rollouts.Status == nil {
		return
	}
	s.writing, s.writeAt = true, now.Add(writeInterval)
	revision := s.status.Revision
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		items, err := c.Rollouts.Status.WriteStatus(ctx, o, revision, p)
		c.loop.Post(context.Background(), message{rollout: &rolloutEvent{write: &statusOutcome{order: o, phase: p, items: items, err: err}}})
	}()
}

// handleWritten takes in the items of a write. A write without a response is repeated
// with the same condition, so it can't be applied twice.
func (c *Controller) handleWritten(now time.Time, w *statusOutcome) {
	s := c.rolloutState(w.order.Service)
	s.writing = false
	if w.err != nil {
		c.coordination.failedWrites++
		c.coordination.failedAt = now
		if c.coordination.cannotWrite(now) {
			s.writeAt = wqtime.Later(s.writeAt, now.Add(c.assistDelay()))
		}
		c.Log.Warn("rollout status may not be written; it is written again", "service", w.order.Service, "state", w.phase.String(), "error", w.err.Error())
		return
	}
	c.coordination.failedWrites = 0
	c.Log.Info("rollout status written, or changed by another VM", "service", w.order.Service, "state", w.phase.String(), "items", len(w.items))
	c.mergeBatchItems(now, w.items)
}

// mergeBatchItems merges single items that the store returned. Those of an era that this
// VM does not know are left to the list of that era: they may be from a copy.
func (c *Controller) mergeBatchItems(now time.Time, items []wqmirror.Item) {
	items = slices.DeleteFunc(items, func(i wqmirror.Item) bool { return eraOf(i.Revision) > eraOf(c.mirror.StoreRevision()) })
	c.coordination.syncedTo = c.mirror.StoreRevision()
	changes := c.mirror.Merge(now, wqmirror.Batch{Items: items})
	for _, i := range changes {
		c.apply(now, i, c.decodeRecovering(i))
	}
}
