// Package wqcontrol is the control state of one VM: it joins membership,
// configuration, holding and the state of targets into one view.
//
// # Usage
//
// One goroutine owns a Control, feeds it events and time, carries out what the
// Output names, and publishes the view:
//
//	c := wqcontrol.New(wqcontrol.Settings{Self: self, MaxHolders: 3, Timing: wqmember.DefaultTiming()}, now)
//	out := c.Handle(now, wqcontrol.HeartbeatReceived{Message: m})
//	reply(out.Reply)
//	out = c.Tick(now)
//	send(out.Sends)
//	view := c.View(now)
//
// A view is immutable: build a new one after each event or tick.
package wqcontrol

import (
	"maps"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqassignment"
	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqhealth"
	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// Settings are the fixed inputs of a Control.
type Settings struct {
	Self                  wqmember.Member
	MaxHoldersPerSearcher int // MaxHoldersPerSearcher is the most VMs that hold one searcher.
	Timing                wqmember.Timing
	Random                *rand.Rand
	// WatchersPerZone is how many VMs of an availability zone watch the store.
	WatchersPerZone int
	// BalancerLag is how long callers still arrive after the readiness check
	// fails.
	BalancerLag time.Duration
}

// Control is the control state of one VM. Only one goroutine may use it.
type Control struct {
	settings  Settings
	members   wqmember.Tracker
	config    wqconfig.Syncer[wqconfig.WatchersPerZone]
	table     wqassignment.Table
	health    *wqhealth.Tracker
	index     *wqtopology.Index
	freshness freshness
	refusing  bool      // refusing is true once a graceful stop takes no new requests.
	outAt     time.Time // outAt is when this VM learned that its availability zone is out; zero while it is in.

	version    uint64            // version is the member version that all and known show.
	all        []wqmember.Member // all are the VMs that are remembered.
	known      map[string]wqmember.Member
	holders    map[string][]wqview.Holder
	snapshots  map[string]uint64 // snapshots are the newest that whole answers came from, by service.
	settledYet bool              // settledYet is true once this VM might use its own shares.
	cut        bool              // cut is true when the holders follow from this VM being isolated.
	stale      bool              // stale is true when the holders must be computed anew.
}

// Output is what the owner of a Control has to do next.
type Output struct {
	Heartbeats     []wqmember.Envelope // Heartbeats are heartbeats to deliver.
	ConfigActions  []wqconfig.Action   // ConfigActions are calls to the store and to peers; each ends in a ConfigurationSeen.
	HeartbeatReply wqmember.Message    // HeartbeatReply answers a HeartbeatSeen.
}

// New returns the control state of a VM that has just started.
func New(s Settings, now time.Time) *Control {
	c := &Control{
		settings:  s,
		health:    wqhealth.New(),
		snapshots: make(map[string]uint64),
		members:   wqmember.Tracker{Self: s.Self, Random: s.Random, Timing: s.Timing},
		table:     wqassignment.Table{Limits: wqassignment.Limits{MaxHolders: s.MaxHoldersPerSearcher}, HandoverDelay: s.Timing.HandoverDelay},
		index:     wqtopology.NewIndex(&wqtopology.Topology{}),
	}
	c.config = wqconfig.Syncer[wqconfig.WatchersPerZone]{
		Self:   s.Self,
		Policy: wqconfig.WatchersPerZone{Count: s.WatchersPerZone},
		Timing: wqconfig.DefaultTiming(),
		Random: s.Random,
	}
	c.members.Start(now)
	c.config.Start(now)
	return c
}

// Handle takes one event.
func (c *Control) Handle(now time.Time, e Event) Output {
	switch e := e.(type) {
	case VMListReceived:
		c.members.SetVMList(now, e.VMs)
	case HeartbeatReceived:
		return Output{HeartbeatReply: c.members.HandleMessage(now, e.Message)}
	case HeartbeatAnswered:
		c.members.HandleReply(now, e.Sent, e.Reply)
	case HeartbeatFailed:
		c.members.HandleNoReply(now, e.Sent)
	case ConfigurationEvent:
		c.config.Handle(now, e.Event)
	case TargetObserved:
		c.health.Observe(e.Report)
	case SnapshotObserved:
		c.seeSnapshot(e)
	case LeaveRequested:
		c.members.Leave(now)
	case RefusalRequested:
		c.refusing = true
	case LeaveFinished:
		return Output{Heartbeats: c.members.FinishLeave(now)}
	}
	return Output{}
}

// Tick does what is due by time.
func (c *Control) Tick(now time.Time) Output {
	c.health.Advance(now)
	c.refreshMembers(now)
	actions := c.config.Tick(now)
	if h := c.config.History(); h.Revision() > c.index.Topology.Revision {
		c.adopt(now, h)
	}
	return Output{Heartbeats: c.members.Tick(now), ConfigActions: actions}
}

// NextTick returns when Tick is due at the latest.
func (c *Control) NextTick() time.Time {
	next := c.members.NextTick()
	if t := c.config.NextTick(); t.Before(next) {
		next = t
	}
	if t := c.table.NextUpdate(); !t.IsZero() && t.Before(next) {
		next = t
	}
	return next
}

// seeSnapshot notes a newer snapshot; the published map is never changed.
func (c *Control) seeSnapshot(e SnapshotObserved) {
	if e.Snapshot <= c.snapshots[e.Service] {
		return
	}
	next := maps.Clone(c.snapshots)
	next[e.Service] = e.Snapshot
	c.snapshots = next
}

// adopt puts a configuration in force.
func (c *Control) adopt(now time.Time, h *wqhistory.History) {
	c.index = wqtopology.NewIndex(h.Topology)
	c.members.SetRevision(now, h.Revision())
	c.health.Retain(func(id string) bool { return c.index.Searcher(id) != nil })
	c.stale = true
	switch {
	case !c.index.ZoneOut(c.members.Self.Zone):
		c.outAt = time.Time{}
	case c.outAt.IsZero():
		c.outAt = now
	}
}

// stopping reports whether new requests are refused: late in a graceful stop,
// or once the balancer has had the time to notice that the zone is out.
func (c *Control) stopping(now time.Time) bool {
	return c.refusing || !c.outAt.IsZero() && now.Sub(c.outAt) >= c.settings.BalancerLag
}

// View returns the state for the traffic goroutines.
func (c *Control) View(now time.Time) *wqview.View {
	c.refreshMembers(now)
	c.refreshHolders(now)
	return &wqview.View{
		Self:            c.members.Self,
		Index:           c.index,
		History:         c.config.History(),
		Members:         c.known,
		Holders:         c.holders,
		ConfirmedAt:     c.freshness.At(now, c.members.ConfirmedAt(), c.behind()),
		Targets:         c.health.States(),
		Snapshots:       c.snapshots,
		RefusesRequests: c.stopping(now),
		Isolated:        c.members.Isolated(),
		SharesUsable:    c.settled(now),

		StoreReachable: c.config.StoreReachable(),
	}
}

// settled reports whether this VM may use its own shares, from the first time
// on. A VM that starts waits for the handover time, or less in a new fleet.
func (c *Control) settled(now time.Time) bool {
	if c.settledYet || c.index.Topology.Revision == 0 {
		return c.settledYet
	}
	for _, holders := range c.holders {
		for _, h := range holders {
			if h.MemberID == c.members.Self.ID && now.Before(h.UsableFrom) {
				return false
			}
		}
	}
	c.settledYet = true
	return true
}

// behind reports whether a peer has a higher revision in force.
func (c *Control) behind() bool {
	for _, m := range c.known {
		if m.Revision > c.index.Topology.Revision {
			return true
		}
	}
	return false
}

// refreshMembers takes over the members when they have changed.
func (c *Control) refreshMembers(now time.Time) {
	if c.known != nil && c.version == c.members.Version() {
		return
	}
	c.version = c.members.Version()
	c.all = c.members.Members()
	c.known = make(map[string]wqmember.Member, len(c.all))
	for _, m := range c.all {
		if m.State.Live() {
			c.known[m.ID] = m
		}
	}
	c.config.SetMembers(now, c.all)
	c.stale = true
}

// refreshHolders computes the holders anew when something they follow from has
// changed.
func (c *Control) refreshHolders(now time.Time) {
	next := c.table.NextUpdate()
	due := !next.IsZero() && !now.Before(next)
	if !c.stale && !due && c.cut == c.members.Isolated() {
		return
	}
	c.cut = c.members.Isolated()
	c.stale = false
	c.holders = c.table.Update(now, wqassignment.Input{
		Self:     c.eligible(c.members.Self),
		Members:  c.eligibleAll(c.all),
		Index:    c.index,
		Isolated: c.cut,
		NewFleet: c.members.IsNewFleet(),
	})
}

// eligible returns m as one that leaves when its availability zone is out, so
// that it holds nothing new. Without a configuration nothing is known of zones.
func (c *Control) eligible(m wqmember.Member) wqmember.Member {
	if c.index.Topology.Revision == 0 {
		return m
	}
	if m.State < wqmember.Leaving && c.index.ZoneOut(m.Zone) {
		m.State = wqmember.Leaving
	}
	return m
}

func (c *Control) eligibleAll(all []wqmember.Member) []wqmember.Member {
	members := make([]wqmember.Member, 0, len(all))
	for _, m := range all {
		members = append(members, c.eligible(m))
	}
	return members
}
