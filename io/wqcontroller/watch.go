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
	// watchersPerZone is how many VMs of an availability zone read the store for
	// the others. Three zones with a third of their VMs refused by the store are
	// left without one in 1 of 10,000 cases.
	watchersPerZone = 3
	// joinTime is how long a VM that starts beside others looks for them before it
	// takes itself for one of the few that read the store: a new connection to
	// another zone and a call on it take 18 ms, and the VM asked may be busy.
	joinTime = 40 * time.Millisecond
	// aloneAfter is how long no peer has answered when a VM takes itself for cut
	// off from the others: three heartbeats. It then reads the store itself.
	aloneAfter = 1600 * time.Millisecond
)

// turn is whether this VM reads the store, for the goroutine that does.
type turn struct {
	mutex sync.Mutex
	open  bool
	given chan struct{} // given is closed while it is this VM's turn.
}

func newTurn() *turn { return &turn{given: make(chan struct{})} }

func (t *turn) set(open bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if open == t.open {
		return
	}
	t.open = open
	if open {
		close(t.given)
	} else {
		t.given = make(chan struct{})
	}
}

// AwaitWatchRole returns when this VM is one of those that read the store, or when
// ctx ends.
func (k *Controller) AwaitWatchRole(ctx context.Context) {
	k.turn.mutex.Lock()
	given := k.turn.given
	k.turn.mutex.Unlock()
	select {
	case <-given:
	case <-ctx.Done():
	}
}

// chooseRoles works out who reads the store and who runs fan-outs. A VM that
// hears nobody does both itself.
func (k *Controller) chooseRoles(now time.Time, moved bool) {
	if now.Before(k.startedAt.Add(k.JoinDelay)) {
		return
	}
	alone := wqmember.Elapsed(k.members.ConfirmedAt(), now) > aloneAfter
	if k.chosen && alone == k.alone && !moved {
		return
	}
	k.chosen, k.alone = true, alone
	live := k.live()
	k.chooseHubs(live)
	policy := wqconfig.WatchersPerZone{Count: watchersPerZone}
	watches := alone || policy.Watches(k.members.Self, live)
	k.crowd = false
	for _, m := range live {
		k.crowd = k.crowd || !policy.Watches(m, live)
	}
	if watches != k.watches {
		k.Log.Info("reading the store", "watches", watches, "alone", alone, "live", len(live))
	}
	k.watches = watches
	k.turn.set(watches)
}

// chooseHubs works out which VMs run fan-outs.
func (k *Controller) chooseHubs(live []wqmember.Member) {
	chosen := wqhub.DefaultPolicy().Choose(live)
	hubs := make([]*wqdirectory.Target, 0, len(chosen))
	isHub := false
	for _, m := range chosen {
		isHub = isHub || m.ID == k.members.Self.ID
		hubs = append(hubs, &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: m.ID, Address: m.Address, Zone: m.Zone, Slots: m.Capacity}})
	}
	if isHub != k.isHub || len(hubs) != len(k.hubs) {
		k.Log.Info("running fan-outs", "hubs", len(hubs), "is_hub", isHub, "live", len(live))
	}
	k.dirty = k.dirty || isHub != k.isHub || !slices.EqualFunc(hubs, k.hubs, sameVM)
	k.hubs, k.isHub = hubs, isHub
}

// sameVM reports whether two hubs are the same VM at the same address.
func sameVM(a, b *wqdirectory.Target) bool {
	return a.Searcher.ID == b.Searcher.ID && a.Searcher.Address == b.Searcher.Address
}

// live returns the VMs that answer and stay, this one included.
func (k *Controller) live() []wqmember.Member {
	var live []wqmember.Member
	for _, m := range k.members.Members() {
		if m.State == wqmember.Alive || m.ID == k.members.Self.ID && !k.stopping {
			live = append(live, m)
		}
	}
	return live
}
