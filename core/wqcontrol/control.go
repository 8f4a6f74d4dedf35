// Package wqcontrol holds the control state of one VM: it combines membership,
// configuration, the assignment of searchers to holders and the health of
// searchers into one view.
//
// # Usage
//
// One goroutine owns a Control. It passes in events and the current time, carries
// out the Output, and publishes the view:
//
//	c := wqcontrol.New(wqcontrol.Settings{Self: self, MaxHoldersPerSearcher: 3, Timing: wqmember.DefaultTiming()}, now)
//	output := c.Handle(now, wqcontrol.HeartbeatReceived{Message: m})
//	reply(output.HeartbeatReply)
//	output = c.Tick(now)
//	send(output.Heartbeats)
//	run(output.ConfigActions)
//	view := c.View(now)
//
// Call Tick at NextTick at the latest. A view is immutable: build a new one after
// each event or tick.
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
	MaxHoldersPerSearcher int // limit on the VMs that may connect to one searcher
	Timing                wqmember.Timing
	Random                *rand.Rand
	// WatchersPerZone is how many VMs of each availability zone watch the
	// store.
	WatchersPerZone int
	// BalancerLag is how long the load balancer still sends callers after the
	// readiness check starts to fail.
	BalancerLag time.Duration
}

// Control is the control state of one VM. It is not safe for concurrent use.
type Control struct {
	settings         Settings
	members          wqmember.Tracker
	config           wqconfig.Syncer[wqconfig.WatchersPerZone]
	assignments      wqassignment.Table
	health           *wqhealth.Tracker
	index            *wqtopology.Index
	confirmation     confirmation
	refusalRequested bool      // a graceful stop no longer takes new requests
	zoneOutAt        time.Time // since when this VM's availability zone is out; zero while it is in

	memberVersion    uint64                     // version of members that allMembers and liveMembers were built from
	allMembers       []wqmember.Member          // including VMs that are dead or have left
	liveMembers      map[string]wqmember.Member // by id
	holders          map[string][]wqview.Holder // by searcher id, best first
	newestSnapshots  map[string]uint64          // newest snapshot of a complete answer, by service; copied on write
	sharesWereUsable bool                       // this VM has been allowed to use its own shares once
	holdersIsolated  bool                       // value of Isolated that holders were computed with
	holdersStale     bool                       // holders have to be recomputed
}

// Output is what the owner of a Control has to carry out.
type Output struct {
	Heartbeats     []wqmember.Envelope // to deliver; each ends in HeartbeatAnswered or HeartbeatFailed
	ConfigActions  []wqconfig.Action   // calls to the store and to peers; each ends in a ConfigurationEvent
	HeartbeatReply wqmember.Message    // reply to the message of a HeartbeatReceived
}

// New returns the control state of a VM whose process has just started.
func New(s Settings, now time.Time) *Control {
	c := &Control{
		settings:        s,
		health:          wqhealth.New(),
		newestSnapshots: make(map[string]uint64),
		members:         wqmember.Tracker{Self: s.Self, Random: s.Random, Timing: s.Timing},
		assignments:     wqassignment.Table{Limits: wqassignment.Limits{MaxHolders: s.MaxHoldersPerSearcher}, HandoverDelay: s.Timing.HandoverDelay},
		index:           wqtopology.NewIndex(&wqtopology.Topology{}),
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

// Handle applies an event. The Output is empty except for HeartbeatReceived
// (HeartbeatReply) and LeaveFinished (Heartbeats).
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
		c.recordSnapshot(e)
	case LeaveRequested:
		c.members.Leave(now)
	case RefusalRequested:
		c.refusalRequested = true
	case LeaveFinished:
		return Output{Heartbeats: c.members.FinishLeave(now)}
	}
	return Output{}
}

// Tick runs everything that is due at now, puts a newer configuration in force,
// and returns the heartbeats and calls to make.
func (c *Control) Tick(now time.Time) Output {
	c.health.Advance(now)
	c.refreshMembers(now)
	actions := c.config.Tick(now)
	if h := c.config.History(); h.Revision() > c.index.Topology.Revision {
		c.applyConfiguration(now, h)
	}
	return Output{Heartbeats: c.members.Tick(now), ConfigActions: actions}
}

// NextTick returns when Tick has to be called at the latest.
func (c *Control) NextTick() time.Time {
	next := c.members.NextTick()
	if t := c.config.NextTick(); t.Before(next) {
		next = t
	}
	if t := c.assignments.NextUpdate(); !t.IsZero() && t.Before(next) {
		next = t
	}
	return next
}

// recordSnapshot records a newer snapshot of a service. It replaces the map,
// because published views share it.
func (c *Control) recordSnapshot(e SnapshotObserved) {
	if e.Snapshot <= c.newestSnapshots[e.Service] {
		return
	}
	next := maps.Clone(c.newestSnapshots)
	next[e.Service] = e.Snapshot
	c.newestSnapshots = next
}

// applyConfiguration puts a configuration in force.
func (c *Control) applyConfiguration(now time.Time, h *wqhistory.History) {
	c.index = wqtopology.NewIndex(h.Topology)
	c.members.SetRevision(now, h.Revision())
	c.health.Retain(func(id string) bool { return c.index.Searcher(id) != nil })
	c.holdersStale = true
	switch {
	case !c.index.ZoneOut(c.members.Self.Zone):
		c.zoneOutAt = time.Time{}
	case c.zoneOutAt.IsZero():
		c.zoneOutAt = now
	}
}

// refusesRequests reports whether new requests are refused: from
// RefusalRequested on, or once this VM's zone has been out for BalancerLag,
// after which the balancer sends no more callers.
func (c *Control) refusesRequests(now time.Time) bool {
	return c.refusalRequested || !c.zoneOutAt.IsZero() && now.Sub(c.zoneOutAt) >= c.settings.BalancerLag
}

// View returns an immutable snapshot of the state for the traffic goroutines.
func (c *Control) View(now time.Time) *wqview.View {
	c.refreshMembers(now)
	c.refreshHolders(now)
	return &wqview.View{
		Self:            c.members.Self,
		Index:           c.index,
		History:         c.config.History(),
		Members:         c.liveMembers,
		Holders:         c.holders,
		ConfirmedAt:     c.confirmation.limitConfirmedAt(now, c.members.ConfirmedAt(), c.peerHasHigherRevision()),
		Targets:         c.health.States(),
		Snapshots:       c.newestSnapshots,
		RefusesRequests: c.refusesRequests(now),
		Isolated:        c.members.Isolated(),
		SharesUsable:    c.sharesUsable(now),

		StoreReachable: c.config.StoreReachable(),
	}
}

// sharesUsable reports whether this VM may use its own shares. Once true it
// stays true. After a start, the VM has to wait for the handover time, or less
// in a new fleet.
func (c *Control) sharesUsable(now time.Time) bool {
	if c.sharesWereUsable || c.index.Topology.Revision == 0 {
		return c.sharesWereUsable
	}
	for _, holders := range c.holders {
		for _, h := range holders {
			if h.MemberID == c.members.Self.ID && now.Before(h.UsableFrom) {
				return false
			}
		}
	}
	c.sharesWereUsable = true
	return true
}

// peerHasHigherRevision reports whether a peer reports a higher revision than
// the one in force here.
func (c *Control) peerHasHigherRevision() bool {
	for _, m := range c.liveMembers {
		if m.Revision > c.index.Topology.Revision {
			return true
		}
	}
	return false
}

// refreshMembers copies the members when they have changed.
func (c *Control) refreshMembers(now time.Time) {
	if c.liveMembers != nil && c.memberVersion == c.members.Version() {
		return
	}
	c.memberVersion = c.members.Version()
	c.allMembers = c.members.Members()
	c.liveMembers = make(map[string]wqmember.Member, len(c.allMembers))
	for _, m := range c.allMembers {
		if m.State.Live() {
			c.liveMembers[m.ID] = m
		}
	}
	c.config.SetMembers(now, c.allMembers)
	c.holdersStale = true
}

// refreshHolders recomputes the holders when one of their inputs has changed.
func (c *Control) refreshHolders(now time.Time) {
	next := c.assignments.NextUpdate()
	due := !next.IsZero() && !now.Before(next)
	if !c.holdersStale && !due && c.holdersIsolated == c.members.Isolated() {
		return
	}
	c.holdersIsolated = c.members.Isolated()
	c.holdersStale = false
	c.holders = c.assignments.Update(now, wqassignment.Input{
		Self:       c.effectiveMember(c.members.Self),
		Members:    c.effectiveMembers(c.allMembers),
		Index:      c.index,
		Isolated:   c.holdersIsolated,
		IsNewFleet: c.members.IsNewFleet(),
	})
}

// effectiveMember returns m in state Leaving when its availability zone is out,
// so that it is assigned no further searchers. Without a configuration it
// returns m unchanged, because the zones are not known.
func (c *Control) effectiveMember(m wqmember.Member) wqmember.Member {
	if c.index.Topology.Revision == 0 {
		return m
	}
	if m.State < wqmember.Leaving && c.index.ZoneOut(m.Zone) {
		m.State = wqmember.Leaving
	}
	return m
}

func (c *Control) effectiveMembers(members []wqmember.Member) []wqmember.Member {
	effective := make([]wqmember.Member, 0, len(members))
	for _, m := range members {
		effective = append(effective, c.effectiveMember(m))
	}
	return effective
}
