package wqcontroller

import (
	"context"
	"slices"
	"sync"
	"time"

	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqhub"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
)

const (
	// watchersPerZone is the number of VMs in each availability zone that watch
	// the store. When the store rejects a third of the VMs in three zones, all
	// watchers are among them in 1 of 10,000 cases.
	watchersPerZone = 3
	// defaultJoinDelay is the time from the start until roles are chosen, so that
	// a VM that joins a fleet finds its peers first: a new connection to another
	// zone and a call on it take 18 ms, or longer when the peer is busy.
	defaultJoinDelay = 40 * time.Millisecond
	// aloneTimeout is the time without an answer from any peer, three heartbeats,
	// after which a VM treats itself as cut off and watches the store itself.
	aloneTimeout = 1600 * time.Millisecond
)

// roleGate blocks the goroutine that watches the store while this VM does not
// have that role. The control goroutine opens and closes it.
type roleGate struct {
	mutex  sync.Mutex
	open   bool
	opened chan struct{} // opened is closed while the gate is open; a new one is made when the gate closes.
}

func newRoleGate() *roleGate { return &roleGate{opened: make(chan struct{})} }

func (g *roleGate) set(open bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if open == g.open {
		return
	}
	g.open = open
	if open {
		close(g.opened)
	} else {
		g.opened = make(chan struct{})
	}
}

// AwaitWatchRole blocks until this VM is one of those that watch the store, or
// until ctx ends.
func (c *Controller) AwaitWatchRole(ctx context.Context) {
	c.watchGate.mutex.Lock()
	opened := c.watchGate.opened
	c.watchGate.mutex.Unlock()
	select {
	case <-opened:
	case <-ctx.Done():
	}
}

// chooseRoles decides whether this VM watches the store, and which VMs run
// fan-outs. A VM that no peer answers does both itself.
func (c *Controller) chooseRoles(now time.Time, rosterChanged bool) {
	if now.Before(c.startedAt.Add(c.JoinDelay)) {
		return
	}
	alone := wqmember.Elapsed(c.members.ConfirmedAt(), now) > aloneTimeout
	if c.rolesChosen && alone == c.alone && !rosterChanged {
		return
	}
	c.rolesChosen, c.alone = true, alone
	live := c.liveMembers()
	c.chooseHubs(live)
	policy := wqconfig.WatchersPerZone{Count: watchersPerZone}
	isWatcher := alone || policy.Watches(c.members.Self, live)
	c.hasNonWatchers = false
	for _, m := range live {
		c.hasNonWatchers = c.hasNonWatchers || !policy.Watches(m, live)
	}
	if isWatcher != c.isWatcher {
		c.Log.Info("store watch role", "watches", isWatcher, "alone", alone, "live", len(live))
	}
	c.isWatcher = isWatcher
	c.watchGate.set(isWatcher)
}

// chooseHubs recomputes which of the live VMs run fan-outs.
func (c *Controller) chooseHubs(live []wqmember.Member) {
	chosen := wqhub.DefaultPolicy().Choose(live)
	hubs := make([]*wqdirectory.Target, 0, len(chosen))
	isHub := false
	for _, m := range chosen {
		isHub = isHub || m.ID == c.members.Self.ID
		hubs = append(hubs, &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: m.ID, Address: m.Address, Zone: m.Zone, Slots: m.Capacity}})
	}
	if isHub != c.isHub || len(hubs) != len(c.hubs) {
		c.Log.Info("running fan-outs", "hubs", len(hubs), "is_hub", isHub, "live", len(live))
	}
	c.dirty = c.dirty || isHub != c.isHub || !slices.EqualFunc(hubs, c.hubs, sameVM)
	c.hubs, c.isHub = hubs, isHub
}

// sameVM reports whether two hubs are the same VM at the same address.
func sameVM(a, b *wqdirectory.Target) bool {
	return a.Searcher.ID == b.Searcher.ID && a.Searcher.Address == b.Searcher.Address
}

// liveMembers returns the members that are alive and, unless it is stopping,
// this VM.
func (c *Controller) liveMembers() []wqmember.Member {
	var live []wqmember.Member
	for _, m := range c.members.Members() {
		if m.State == wqmember.Alive || m.ID == c.members.Self.ID && !c.stopping {
			live = append(live, m)
		}
	}
	return live
}
