package wqcontroller

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqbound"
	"wisteriaquay/core/wqcanary"
	"wisteriaquay/core/wqchange"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
	"wisteriaquay/core/wqrevision"
	"wisteriaquay/core/wqrollout"
)

const (
	// unorderedHold is how long a version that appears beside another one waits for an
	// order. Its searchers may register before the order is written, and at 500 requests
	// a second would get more than the slack before it is known.
	unorderedHold = 5 * time.Second
	// lateVerdict is the time after its deadline from which an order without a verdict
	// counts as rolled back on every VM.
	lateVerdict = 3 * time.Second
	// maxRolloutServices bounds the memory for orders and versions.
	maxRolloutServices = 2048
	maxVersions        = 16 // maxVersions bounds the versions of a service whose first appearance is kept.
)

// RolloutTransport sends messages about rollouts to other VMs. Its methods must not
// block; the outcome is passed to the controller later.
type RolloutTransport interface {
	// SendRollouts sends a message. Its reply is passed to RolloutReplied, its failure to
	// RolloutFailed.
	SendRollouts(to wqmember.Member, m wqrollout.Message)
}

// StatusWriter writes the status of rollouts to the store.
type StatusWriter interface {
	// WriteStatus writes a status if the order and the status in the store have the
	// revisions given, and returns the item written; else it returns the current items.
	// After an error the write may have been applied, or may be applied later.
	WriteStatus(ctx context.Context, o wqrollout.Order, statusRevision uint64, p wqrollout.Phase) ([]wqmirror.Item, error)
}

// Rollouts connects the rollouts of searcher versions. With the zero value, orders have no
// effect but that the new version gets nothing.
type Rollouts struct {
	Limits    wqbound.Rollout
	Meter     *wqcanary.Meter
	Transport RolloutTransport
	Status    StatusWriter
}

// rolloutState is what this VM knows about the rollouts of one service.
type rolloutState struct {
	order     wqrollout.Order // order has the revision 0 if there is none.
	status    wqrollout.Status
	versions  map[string]time.Time // versions holds when a searcher of each version appeared.
	firstSeen time.Time            // firstSeen is when the order was seen first, by any VM as far as known.
	witnessed bool                 // witnessed is true if firstSeen is the time of the order.
	verdict   string               // verdict is the reason if the version is known to be rolled back.
	moved     bool                 // moved is true if an earlier order has completed this version.
	barred    map[string]bool      // barred holds versions whose rollout ended without completion.
	latest    wqrollout.Directive  // latest is the coordinator's latest directive.

	rollout    *wqrollout.Rollout // rollout is set once this VM coordinates the order.
	reportedAt time.Time          // reportedAt is when the latest report to this VM arrived.
	writing    bool
	writeAt    time.Time // writeAt is the earliest time of the next write of the status.
	logged     string    // logged is the directive of the latest log line.
}

func newRolloutState() *rolloutState {
	return &rolloutState{versions: make(map[string]time.Time), barred: make(map[string]bool)}
}

func (c *Controller) rolloutState(service string) *rolloutState {
	s := c.rollouts[service]
	if s == nil {
		if len(c.rollouts) >= maxRolloutServices {
			return newRolloutState() // Not kept.
		}
		s = newRolloutState()
		c.rollouts[service] = s
	}
	return s
}

// noteVersion records when the first searcher of a version was seen.
func (c *Controller) noteVersion(now time.Time, age time.Duration, r *wqdirectory.Registration) {
	if c.Rollouts.Limits.Share <= 0 {
		return
	}
	s := c.rolloutState(r.Service)
	seenAt := now.Add(-age)
	if at, ok := s.versions[r.Version]; (!ok && len(s.versions) < maxVersions) || ok && seenAt.Before(at) {
		s.versions[r.Version] = seenAt
	}
}

// applyRollout applies a change of an order or of a status.
func (c *Controller) applyRollout(now time.Time, i wqmirror.Item, change *wqchange.Change) {
	s := c.rolloutState(change.Service)
	if change.Problem != "" {
		c.Log.Warn("item can't be read", "key", i.Key, "revision", i.Revision, "fault", change.Problem)
	}
	switch change.Kind {
	case wqchange.RolloutOrdered:
		if s.isRewritten(&change.Order) {
			s.setOrderRevision(change.Order.Revision)
			break
		}
		s.begin(now, i.Age, change.Order)
		// An order in the first items that a process gets may be of any age.
		s.witnessed = c.coordination.syncedTo > 0 && change.Order.Revision > c.coordination.syncedTo
		c.Log.Info("rollout ordered", "service", change.Service, "version", change.Order.Version, "duration_s", change.Order.Duration.Seconds(),
			"revision", i.Revision, "age_ms", i.Age.Milliseconds(), "witnessed", s.witnessed, "from", c.confirmedBy)
	case wqchange.RolloutWithdrawn:
		if s.order.Revision > 0 {
			c.Log.Info("rollout withdrawn", "service", change.Service, "version", s.order.Version, "revision", i.Revision)
		}
		s.begin(now, i.Age, wqrollout.Order{Service: change.Service})
	case wqchange.RolloutStatus:
		before := s.status
		s.status = change.Status
		if eraOf(i.Revision) > eraOf(before.Revision) {
			s.keepOutcome(before)
		}
		if s.status.Phase.Final() {
			s.bar(s.status.Version, s.status.Phase == wqrollout.RolledBack)
		}
		c.Log.Info("rollout status", "service", change.Service, "version", change.Status.Version, "state", change.Status.Phase.String(), "revision", i.Revision, "age_ms", i.Age.Milliseconds())
	}
	c.dirty = true
}

// isRewritten reports whether an order is the one that is known, written again after the
// store was restored from a copy without it.
func (s *rolloutState) isRewritten(o *wqrollout.Order) bool {
	return s.ordered() && eraOf(o.Revision) > eraOf(s.order.Revision) && o.Version == s.order.Version && o.Duration == s.order.Duration
}

// setOrderRevision changes the revision of the order, and of what refers to it.
func (s *rolloutState) setOrderRevision(revision uint64) {
	if s.latest.OrderRevision == s.order.Revision {
		s.latest.OrderRevision = revision
	}
	if s.rollout != nil {
		s.rollout.Order.Revision = revision
	}
	s.order.Revision = revision
}

// keepOutcome makes this VM write the outcome of the order again that a restored store has
// lost.
func (s *rolloutState) keepOutcome(before wqrollout.Status) {
	switch {
	case !s.pending() || !before.Of(s.order):
	case before.Phase == wqrollout.Completed:
		s.moved = true
	case before.Phase == wqrollout.RolledBack && s.verdict == "":
		s.verdict = "rolled back before the store was restored"
	}
}

func eraOf(revision uint64) uint64 { return wqrevision.Of(revision).Era }

// bar adds a version to those that get nothing while there are others, or removes it.
func (s *rolloutState) bar(version string, barred bool) {
	if !barred {
		delete(s.barred, version)
	} else if len(s.barred) < maxVersions {
		s.barred[version] = true
	}
}

// begin replaces the order. The version of one without a verdict may be bad; one that was
// completed already is in use, and needs no verdict.
func (s *rolloutState) begin(now time.Time, age time.Duration, o wqrollout.Order) {
	if s.pending() {
		s.bar(s.order.Version, true)
	}
	s.bar(o.Version, false)
	s.moved = o.Revision > 0 && s.status.Phase == wqrollout.Completed && s.status.Version == o.Version
	s.order, s.firstSeen, s.verdict = o, now.Add(-age), ""
	s.latest, s.rollout, s.reportedAt, s.writeAt, s.logged = wqrollout.Directive{}, nil, time.Time{}, time.Time{}, ""
}

// ordered reports whether there is an order.
func (s *rolloutState) ordered() bool { return s.order.Revision > 0 }

// pending reports whether the order has no verdict in the store.
func (s *rolloutState) pending() bool {
	return s.ordered() && (!s.status.Of(s.order) || !s.status.Phase.Final())
}

// directive returns what this VM does about a service; its phase is None if there is
// nothing to do.
func (s *rolloutState) directive(now time.Time, service string) wqrollout.Directive {
	d := wqrollout.Directive{Service: service, Version: s.order.Version, OrderRevision: s.order.Revision, Phase: wqrollout.Running}
	for version := range s.barred {
		if version != s.order.Version {
			d.Barred = append(d.Barred, version)
		}
	}
	switch {
	case !s.ordered():
		return s.unordered(now, d)
	case !s.pending():
		d.Phase = s.status.Phase
	case s.moved:
		d.Phase = wqrollout.Completed
	case s.verdict != "":
		d.Phase, d.Reason = wqrollout.RolledBack, s.verdict
	case s.latest.OrderRevision == s.order.Revision:
		barred := d.Barred
		d = s.latest
		d.Barred = barred
	}
	return d
}

// unordered returns the directive without an order: versions that are barred, and one that
// appeared a moment ago beside another one, are used only if there is no other.
func (s *rolloutState) unordered(now time.Time, d wqrollout.Directive) wqrollout.Directive {
	d.Phase = wqrollout.None
	if s.status.Phase == wqrollout.Running && !s.barred[s.status.Version] {
		d.Barred = append(d.Barred, s.status.Version)
	}
	if len(d.Barred) > 0 {
		d.Phase, d.Version = wqrollout.Held, ""
		return d
	}
	oldest, newest, version := now, time.Time{}, ""
	for v, at := range s.versions {
		if at.Before(oldest) {
			oldest = at
		}
		if at.After(newest) {
			newest, version = at, v
		}
	}
	if newest.Sub(oldest) > time.Second && now.Sub(newest) < unorderedHold {
		d.Phase, d.Version, d.ValidUntil = wqrollout.Held, version, newest.Add(unorderedHold)
	}
	return d
}

// publishRollouts returns the directives for a plan, nil if there are none, and passes
// them to the meter.
func (c *Controller) publishRollouts(now time.Time, pools wqdirectory.Pools) wqrollout.Directives {
	var directives wqrollout.Directives
	for service, s := range c.rollouts {
		if !s.ordered() && len(s.versions) < 2 && s.status.Phase == wqrollout.None {
			continue
		}
		d := s.directive(now, service)
		if d.Phase == wqrollout.None || d.Phase == wqrollout.Held && len(pools[service]) == 0 {
			continue
		}
		if directives == nil {
			directives = make(wqrollout.Directives)
		}
		directives[service] = d
		c.logDirective(s, &d)
	}
	c.meterOpen(directives)
	return directives
}

// meterOpen makes the meter count the services whose rollout is open.
func (c *Controller) meterOpen(directives wqrollout.Directives) {
	if c.Rollouts.Meter == nil || len(directives) == 0 && len(c.Plan().Rollouts) == 0 {
		return
	}
	open := make(wqrollout.Directives)
	for service := range directives {
		if d := directives[service]; d.Phase == wqrollout.Running || d.Phase == wqrollout.Switching {
			open[service] = d
		}
	}
	c.Rollouts.Meter.SetDirectives(open)
}

// logDirective logs a change of what this VM does.
func (c *Controller) logDirective(s *rolloutState, d *wqrollout.Directive) {
	line := d.Phase.String() + d.Version
	if d.Phase == wqrollout.Running && d.Share == 0 {
		line += " unused"
	}
	if line == s.logged {
		return
	}
	s.logged = line
	c.Log.Info("rollout", "service", d.Service, "version", d.Version, "phase", d.Phase.String(), "share", d.Share,
		"reason", d.Reason, "order_revision", d.OrderRevision, "status", s.status.Phase.String(), "status_revision", s.status.Revision)
}

// latch makes this VM stop using the new version for good, unless the store says that the
// rollout was completed.
func (c *Controller) latch(now time.Time, s *rolloutState, reason string) {
	if s.verdict != "" || s.moved || !s.pending() {
		return
	}
	s.verdict, c.dirty = reason, true
	s.writeAt = now.Add(c.assistDelay())
	c.Log.Warn("rollout verdict: the version is rolled back", "service", s.order.Service, "version", s.order.Version, "reason", reason,
		"order_age_ms", now.Sub(s.firstSeen).Milliseconds(), "order_revision", s.order.Revision)
}

// assistDelay returns when a VM that is not the coordinator writes a verdict that it knows
// and does not see in the store. The delays of a fleet spread over 100 ms for each VM.
func (c *Controller) assistDelay() time.Duration {
	return 1500*time.Millisecond + time.Duration(rand.Int64N(int64(max(c.fleetSize, 1))*int64(100*time.Millisecond)))
}
