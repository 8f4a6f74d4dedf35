// Package wqcontrol is the control state of one VM: it joins membership,
// configuration, holding and the state of targets into one view.
//
// # Usage
//
// One goroutine owns a Control, feeds it events and time, carries out what the
// Output names, and publishes the view:
//
//	c := wqcontrol.New(wqcontrol.Settings{Self: self, MaxHolders: 3, Timing: wqmember.DefaultTiming()}, now)
//	out := c.Handle(now, wqcontrol.HeartbeatSeen{Message: m})
//	reply(out.Reply)
//	out = c.Tick(now)
//	send(out.Sends)
//	view := c.View(now)
//
// A view is immutable: build a new one after each event or tick.
package wqcontrol

import (
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqhealth"
	"wisteriaquay/core/wqhold"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// Settings are the fixed inputs of a Control.
type Settings struct {
	Self       wqmember.Member
	MaxHolders int // MaxHolders is the most VMs that hold one searcher.
	Timing     wqmember.Timing
	Random     *rand.Rand
	// BalancerLag is how long callers still arrive after the readiness check
	// fails.
	BalancerLag time.Duration
}

// Control is the control state of one VM. Only one goroutine may use it.
type Control struct {
	settings  Settings
	members   wqmember.Machine
	table     wqhold.Table
	health    *wqhealth.Machine
	index     *wqtopology.Index
	refusing  bool // refusing is true once a graceful stop takes no new requests.
	freshness freshness
	outAt     time.Time // outAt is when this VM learned that its availability zone is out; zero while it is in.

	version uint64 // version is the member version that the caches below show.
	known   map[string]wqmember.Member
	holders map[string][]wqview.Holder
	cut     bool // cut is true when the caches show this VM isolated.
	dirty   bool // dirty is true when the holders must be computed anew.
}

// Output is what the owner of a Control has to do next.
type Output struct {
	Sends []wqmember.Send  // Sends are heartbeats to deliver.
	Reply wqmember.Message // Reply answers a HeartbeatSeen.
}

// New returns the control state of a VM that has just started.
func New(s Settings, now time.Time) *Control {
	c := &Control{
		settings: s,
		health:   wqhealth.New(),
		members:  wqmember.Machine{Self: s.Self, Random: s.Random, Timing: s.Timing},
		table:    wqhold.Table{Limits: wqhold.Limits{MaxHolders: s.MaxHolders}, Handover: s.Timing.Handover},
		index:    wqtopology.NewIndex(&wqtopology.Topology{}),
		dirty:    true,
	}
	c.members.Start(now)
	return c
}

// Handle takes one event.
func (c *Control) Handle(now time.Time, e Event) Output {
	switch e := e.(type) {
	case ListSeen:
		c.members.Seed(now, e.List)
	case HeartbeatSeen:
		return Output{Reply: c.members.Receive(now, e.Message)}
	case HeartbeatAnswered:
		c.members.Ack(now, e.ID, e.Reply)
		c.freshness.Confirm(e.SentAt)
	case HeartbeatFailed:
		c.members.Failed(now, e.ID)
	case TopologySeen:
		c.seeTopology(now, e.Topology)
	case TargetSeen:
		c.health.Observe(e.Report)
	case LeaveAsked:
		c.members.Leave(now)
	case RefuseAsked:
		c.refusing = true
	case LeaveFinished:
		return Output{Sends: c.members.Finish(now)}
	}
	return Output{}
}

// Tick does what is due by time.
func (c *Control) Tick(now time.Time) Output {
	c.health.Advance(now)
	return Output{Sends: c.members.Tick(now)}
}

// Next returns when Tick is due at the latest.
func (c *Control) Next() time.Time {
	next := c.members.Next()
	if t := c.table.Next(); !t.IsZero() && t.Before(next) {
		return t
	}
	return next
}

func (c *Control) seeTopology(now time.Time, t *wqtopology.Topology) {
	if t.Revision <= c.index.Topology.Revision {
		return
	}
	c.index = wqtopology.NewIndex(t)
	c.members.SetRevision(now, t.Revision)
	c.health.Keep(func(id string) bool { return c.index.Searcher(id) != nil })
	c.dirty = true
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
	c.refresh(now)
	return &wqview.View{
		Self:     c.members.Self,
		Index:    c.index,
		Members:  c.known,
		Holders:  c.holders,
		FreshAt:  c.freshness.At(now, c.alone(), c.behind()),
		Targets:  c.health.States(),
		Stopping: c.stopping(now),
		Isolated: c.members.Isolated(),
	}
}

// alone reports whether no other VM is known to live, so that nobody can know
// anything newer but the store.
func (c *Control) alone() bool { return len(c.known) <= 1 }

// behind reports whether a peer has a higher revision in force.
func (c *Control) behind() bool {
	for _, m := range c.known {
		if m.Revision > c.index.Topology.Revision {
			return true
		}
	}
	return false
}

// refresh computes members and holders anew when something they follow from has
// changed.
func (c *Control) refresh(now time.Time) {
	next := c.table.Next()
	due := !next.IsZero() && !now.Before(next)
	if !c.dirty && !due && c.version == c.members.Version() && c.cut == c.members.Isolated() {
		return
	}
	c.cut = c.members.Isolated()
	c.version = c.members.Version()
	c.dirty = false
	all := c.members.Members()
	c.known = make(map[string]wqmember.Member, len(all))
	for _, m := range all {
		if m.State.Live() {
			c.known[m.ID] = m
		}
	}
	c.holders = c.table.Update(now, wqhold.Input{
		Self:     c.eligible(c.members.Self),
		Members:  c.eligibleAll(all),
		Index:    c.index,
		Isolated: c.members.Isolated(),
		NewFleet: c.members.NewFleet(),
	})
}

// eligible returns m as one that leaves when its availability zone is out, so
// that it holds nothing new.
func (c *Control) eligible(m wqmember.Member) wqmember.Member {
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
