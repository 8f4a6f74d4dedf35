// Package wqcontrol is the control state of one VM: it joins membership,
// configuration, holding and the state of targets into one view.
//
// # Usage
//
// One goroutine owns a Control, feeds it events and time, and publishes its
// view:
//
//	c := wqcontrol.New(wqcontrol.Settings{Self: self, MaxHolders: 3}, now)
//	c.Handle(now, wqcontrol.TopologySeen{Topology: t})
//	view := c.View(now)
//
// The view is immutable; build a new one after each event that changed
// something, which Handle reports.
package wqcontrol

import (
	"time"

	"wisteriaquay/core/wqhold"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqreport"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// Settings are the fixed inputs of a Control.
type Settings struct {
	Self       wqmember.Member
	MaxHolders int // MaxHolders is the most VMs that hold one searcher.
}

// Control is the control state of one VM.
type Control struct {
	settings Settings
	members  map[string]wqmember.Member
	index    *wqtopology.Index
	holders  map[string][]wqview.Holder
	stopping bool
	freshAt  time.Time
}

// Event is what a Control takes in.
type Event interface{ event() }

// MembersSeen carries the VMs of the VM list.
type MembersSeen struct{ Members []wqmember.Member }

// TopologySeen carries a configuration found in the store or at a peer.
type TopologySeen struct{ Topology *wqtopology.Topology }

// TargetSeen carries one observation of a searcher.
type TargetSeen struct{ Report wqreport.Target }

// StopAsked starts the graceful stop.
type StopAsked struct{}

func (MembersSeen) event()  {}
func (TopologySeen) event() {}
func (TargetSeen) event()   {}
func (StopAsked) event()    {}

// New returns the control state of a VM that has just started.
func New(s Settings, now time.Time) *Control {
	return &Control{
		settings: s,
		members:  map[string]wqmember.Member{s.Self.ID: s.Self},
		index:    wqtopology.NewIndex(&wqtopology.Topology{}),
		holders:  map[string][]wqview.Holder{},
		freshAt:  now,
	}
}

// Handle takes one event and reports whether the view may have changed.
func (c *Control) Handle(now time.Time, e Event) bool {
	switch e := e.(type) {
	case MembersSeen:
		return c.seeMembers(now, e.Members)
	case TopologySeen:
		return c.seeTopology(now, e.Topology)
	case StopAsked:
		c.stopping = true
		return true
	}
	return false
}

func (c *Control) seeMembers(now time.Time, members []wqmember.Member) bool {
	c.members = map[string]wqmember.Member{c.settings.Self.ID: c.settings.Self}
	for _, m := range members {
		c.members[m.ID] = m
	}
	c.members[c.settings.Self.ID] = c.settings.Self
	c.freshAt = now
	c.assign()
	return true
}

func (c *Control) seeTopology(now time.Time, t *wqtopology.Topology) bool {
	c.freshAt = now
	if t.Revision <= c.index.Topology.Revision {
		return true
	}
	c.index = wqtopology.NewIndex(t)
	c.assign()
	return true
}

func (c *Control) assign() {
	members := make([]wqmember.Member, 0, len(c.members))
	for _, m := range c.members {
		members = append(members, m)
	}
	holders := make(map[string][]wqview.Holder, len(c.index.Topology.Searchers))
	for i := range c.index.Topology.Searchers {
		s := &c.index.Topology.Searchers[i]
		holders[s.ID] = wqhold.Assign(members, s, wqhold.Limits{MaxHolders: c.settings.MaxHolders})
	}
	c.holders = holders
}

// View returns the state for the traffic goroutines.
func (c *Control) View(time.Time) *wqview.View {
	members := make(map[string]wqmember.Member, len(c.members))
	for id, m := range c.members {
		members[id] = m
	}
	return &wqview.View{
		Self:     c.settings.Self,
		Index:    c.index,
		Members:  members,
		Holders:  c.holders,
		FreshAt:  c.freshAt,
		Stopping: c.stopping,
	}
}
