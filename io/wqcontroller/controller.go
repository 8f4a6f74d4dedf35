// Package wqcontroller runs the control goroutine of a VM that follows the
// platform's store. Only this goroutine changes the VM's state: configuration,
// searchers, availability zones, members and roles. After each change it
// publishes an immutable plan, which the traffic goroutines read.
//
// # Usage
//
// Decode translates the store's items. Run the controller on a goroutine of its
// own; all other methods may be called from any goroutine:
//
//	c := wqcontroller.New(self, wqitem.Decode)
//	c.Peers, c.Log = peers, log
//	go c.Run(ctx)
//	c.Deliver(ctx, batch)
//	plan := c.Plan()
package wqcontroller

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqcatchup"
	"wisteriaquay/core/wqchange"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtime"
	"wisteriaquay/io/wqeventloop"
)

const (
	inboxSize   = 256             // inboxSize is the capacity of the message queue.
	gracePeriod = 2 * time.Second // gracePeriod is the time that the platform allows for an expired registration to be renewed.
)

// message is one event for the control goroutine; exactly one kind is set.
type message struct {
	batch         *wqmirror.Batch
	done          chan<- struct{} // done is closed once the published plan includes batch.
	wrongSearcher *wqdirectory.Target
	batchRequest  *batchRequest
	heartbeat     *heartbeatEvent
	seeds         []string
	stop          bool
	rollout       *rolloutEvent
}

// batchRequest requests the items that changed after a store revision.
type batchRequest struct {
	afterRevision uint64
	reply         chan<- wqmirror.Batch
}

// Controller owns the control state. Create it with New and set the exported
// fields before Run.
type Controller struct {
	Decode        func(wqmirror.Item) wqchange.Change // Decode translates one item of the store.
	Peers         PeerTransport
	JoinDelay     time.Duration        // JoinDelay is the time from New until this VM takes the roles of store watcher and hub.
	BeforePublish func(p *wqplan.Plan) // BeforePublish is called on the control goroutine with each new plan before Plan returns it.
	Rollouts      Rollouts             // Rollouts connects the rollouts of searcher versions.
	AfterPublish  func()               // AfterPublish is called on the control goroutine once Plan returns a new plan.
	Log           *slog.Logger

	loop           *wqeventloop.Loop[message]
	plan           atomic.Pointer[wqplan.Plan]
	configured     chan struct{} // configured is closed once a published plan has a configuration.
	configuredOnce sync.Once     // configuredOnce guards the close of configured.
	mirror         *wqmirror.Mirror
	directory      wqdirectory.Directory
	table          *wqroute.Table
	zonesOut       map[string]bool
	members        *wqmember.Tracker
	seedCount      int // seedCount is the number of addresses in the latest SetSeeds; fleetSize is never lower.
	fleetSize      int
	catchup        wqcatchup.Scheduler
	earlier        earlierFetches
	watchGate      *roleGate
	hubs           []*wqdirectory.Target
	isHub          bool
	startedAt      time.Time
	liveVMs        []wqplan.VM
	rosterVersion  uint64    // rosterVersion is the version of the member list that fleetSize and the roles are computed from.
	rolesChosen    bool      // rolesChosen is false until JoinDelay has passed.
	alone          bool      // alone is true while no peer has answered for aloneTimeout.
	isWatcher      bool      // isWatcher is true while this VM watches the store.
	hasNonWatchers bool      // hasNonWatchers is true while some live VM does not watch the store.
	changeRevision uint64    // changeRevision is the store revision of the latest batch that changed an item; peers see it in heartbeats.
	confirmedBy    string    // confirmedBy is the source of the latest batch, with or without changes.
	confirmedAt    time.Time // confirmedAt is when that batch arrived.
	stopping       bool
	rollouts       map[string]*rolloutState // rollouts holds the state by service.
	coordination   coordination
	dirty          bool      // dirty is true when the state has changed since the last plan.
	nextPoolChange time.Time // nextPoolChange is when the pools change without an event; zero means never.
}

// New returns the controller of one VM, without configuration or searchers.
func New(self wqmember.Member, decode func(wqmirror.Item) wqchange.Change) *Controller {
	random := rand.New(rand.NewPCG(self.Epoch, rand.Uint64()))
	c := &Controller{
		Decode:        decode,
		Peers:         noPeers{},
		JoinDelay:     defaultJoinDelay,
		BeforePublish: func(*wqplan.Plan) {},
		AfterPublish:  func() {},
		members:       &wqmember.Tracker{Self: self, Random: random, Timing: wqmember.DefaultTiming()},
		Log:           slog.New(slog.DiscardHandler),
		loop:          wqeventloop.New[message](inboxSize),
		configured:    make(chan struct{}),
		rollouts:      make(map[string]*rolloutState),
		mirror:        wqmirror.New(),
		directory:     wqdirectory.Directory{GracePeriod: gracePeriod},
		zonesOut:      make(map[string]bool),
		catchup:       wqcatchup.Scheduler{Zone: self.Zone},
	}
	c.mirror.Supersedes, c.mirror.HoldTime = c.supersedes, c.holdTime
	c.watchGate, c.startedAt = newRoleGate(), time.Now()
	c.members.Start(c.startedAt)
	c.loop.HandleEvent, c.loop.Tick = c.handleEvent, c.tick
	c.plan.Store(&wqplan.Plan{FleetSize: 1})
	return c
}

// Run handles events until ctx ends.
func (c *Controller) Run(ctx context.Context) { c.loop.Run(ctx) }

// Plan returns the latest published plan, which is never nil.
func (c *Controller) Plan() *wqplan.Plan { return c.plan.Load() }

// Configured returns a channel that is closed once the plan has a configuration.
func (c *Controller) Configured() <-chan struct{} { return c.configured }

// StoreRevision returns the store revision up to which the plan is complete; 0 when
// it includes nothing.
func (c *Controller) StoreRevision() uint64 { return c.Plan().StoreRevision }

// Deliver merges a batch and returns once the published plan includes it, or
// when ctx or the controller ends first.
func (c *Controller) Deliver(ctx context.Context, b wqmirror.Batch) {
	done := make(chan struct{})
	if !c.loop.Post(ctx, message{batch: &b, done: done}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-c.loop.Done():
	}
}

// BatchSince returns the items that changed after a store revision. It reports
// false when ctx or the controller ends first.
func (c *Controller) BatchSince(ctx context.Context, afterRevision uint64) (wqmirror.Batch, bool) {
	reply := make(chan wqmirror.Batch, 1)
	if !c.loop.Post(ctx, message{batchRequest: &batchRequest{afterRevision: afterRevision, reply: reply}}) {
		return wqmirror.Batch{}, false
	}
	select {
	case b := <-reply:
		return b, true
	case <-ctx.Done():
	case <-c.loop.Done():
	}
	return wqmirror.Batch{}, false
}

// WrongSearcher records that another searcher answered at a target's address.
// The event is dropped when the message queue is full.
func (c *Controller) WrongSearcher(t *wqdirectory.Target) { c.loop.TryPost(message{wrongSearcher: t}) }

// Stop sets Stopping in the plan and announces to the peers that this VM leaves.
func (c *Controller) Stop(ctx context.Context) { c.loop.Post(ctx, message{stop: true}) }

// handleEvent handles one message; it runs on the control goroutine only.
func (c *Controller) handleEvent(now time.Time, m message) {
	switch {
	case m.batch != nil:
		c.mergeBatch(now, *m.batch)
		c.publish(now) // Deliver returns only after the plan includes the batch.
		close(m.done)
	case m.batchRequest != nil:
		m.batchRequest.reply <- c.mirror.BatchSince(now, m.batchRequest.afterRevision)
	case m.wrongSearcher != nil:
		t := m.wrongSearcher
		c.directory.MarkWrongSearcher(t.Searcher.ID, t.Incarnation)
		c.dirty = true
		c.Log.Info("another searcher is at the address", "searcher", t.Searcher.ID, "address", t.Searcher.Address, "service", t.Searcher.Service)
	case m.heartbeat != nil:
		c.handleHeartbeat(now, m.heartbeat)
	case m.seeds != nil:
		c.setSeeds(now, m.seeds)
	case m.rollout != nil:
		c.handleRolloutEvent(now, m.rollout)
	case m.stop:
		c.stopping, c.dirty = true, true
		c.members.Leave(now)
	}
}

// tick runs the timers that have expired, publishes a plan after a change and
// returns the time of its next call.
func (c *Controller) tick(now time.Time) time.Time {
	c.expireHeld(now)
	next := wqtime.Earlier(c.tickMembers(now), c.tickRollouts(now))
	if c.dirty || !c.nextPoolChange.IsZero() && !now.Before(c.nextPoolChange) {
		c.publish(now)
	}
	if !c.nextPoolChange.IsZero() && c.nextPoolChange.Before(next) {
		return c.nextPoolChange
	}
	return next
}

// publish builds a plan from the current state and makes it the one in force.
func (c *Controller) publish(now time.Time) {
	pools, next := c.directory.Pools(now)
	plan := &wqplan.Plan{
		Table: c.table, Pools: pools, FleetSize: max(c.fleetSize, 1), Stopping: c.stopping, StoreRevision: c.mirror.StoreRevision(),
		LiveVMs: c.liveVMs, Hubs: c.hubs, IsHub: c.isHub, ConfirmedBy: c.confirmedBy, ConfirmedAt: c.confirmedAt,
	}
	plan.Rollouts = c.publishRollouts(now, pools)
	c.BeforePublish(plan)
	c.plan.Store(plan)
	c.AfterPublish()
	c.nextPoolChange, c.dirty = next, false
	if c.table != nil {
		c.configuredOnce.Do(func() { close(c.configured) })
	}
}

// mergeBatch merges a batch into the mirror and applies the items that changed.
func (c *Controller) mergeBatch(now time.Time, b wqmirror.Batch) {
	c.confirmedBy, c.confirmedAt = b.Source, now
	c.coordination.syncedTo = c.mirror.StoreRevision()
	changes := c.mirror.Merge(now, b)
	for _, i := range changes {
		c.apply(now, i, c.decodeRecovering(i))
	}
	if len(changes) > 0 {
		c.changeRevision = c.mirror.StoreRevision()
	}
}

// decodeRecovering decodes one item. After a panic the item counts as invalid:
// every VM reads it, and would otherwise end again after each restart.
func (c *Controller) decodeRecovering(i wqmirror.Item) (change wqchange.Change) {
	defer func() {
		if p := recover(); p != nil {
			c.Log.Error("panic while decoding an item; report it with this line", "key", i.Key, "revision", i.Revision, "panic", p, "stack", string(debug.Stack()))
			change = wqchange.Change{Kind: wqchange.InvalidItem, Problem: "internal error"}
		}
	}()
	return c.Decode(i)
}

func (c *Controller) apply(now time.Time, i wqmirror.Item, change wqchange.Change) {
	switch change.Kind {
	case wqchange.Configuration:
		c.adoptConfiguration(i, change.Table)
	case wqchange.ZoneOut, wqchange.ZoneBack:
		c.zonesOut = maps.Clone(c.zonesOut)
		c.zonesOut[change.Zone] = change.Kind == wqchange.ZoneOut
		c.directory.SetZonesOut(c.zonesOut)
		c.Log.Info("availability zone", "zone", change.Zone, "out", c.zonesOut[change.Zone], "revision", i.Revision, "age_ms", i.Age.Milliseconds(), "from", c.confirmedBy)
	case wqchange.Registered:
		c.register(now, i, change.Registration)
	case wqchange.Unregistered:
		c.directory.Deregister(now, change.SearcherID, i.Age)
		c.Log.Info("searcher", "searcher", change.SearcherID, "state", "removed", "revision", i.Revision, "age_ms", i.Age.Milliseconds())
	case wqchange.InvalidRegistration:
		c.directory.DropInvalid(change.SearcherID)
		c.Log.Warn("registration can't be used", "searcher", change.SearcherID, "revision", i.Revision, "fault", change.Problem)
	case wqchange.RolloutOrdered, wqchange.RolloutWithdrawn, wqchange.RolloutStatus:
		c.applyRollout(now, i, &change)
	case wqchange.InvalidItem:
		c.Log.Warn("item can't be read", "key", i.Key, "revision", i.Revision, "fault", change.Problem)
	case wqchange.Ignored:
	}
}

// adoptConfiguration puts a configuration in force unless its version is not
// higher than the current one.
func (c *Controller) adoptConfiguration(i wqmirror.Item, t *wqroute.Table) {
	currentVersion := uint64(0)
	if c.table != nil {
		currentVersion = c.table.Version
	}
	if t.Version <= currentVersion {
		c.Log.Warn("ignored a configuration that is not newer than the one in force", "version", t.Version, "in_force", currentVersion, "revision", i.Revision)
		return
	}
	c.table = t
	c.directory.SetColdStartRates(func(service string) float64 { return t.Services[service].ColdStartRate })
	c.Log.Info("configuration in force", "version", t.Version, "before", currentVersion, "routes", t.RouteCount(), "tenants", t.Tenants.Len(), "revision", i.Revision, "age_ms", i.Age.Milliseconds(), "from", c.confirmedBy)
}

// register passes a searcher's registration to the directory, which ignores one
// that is older than the current one.
func (c *Controller) register(now time.Time, i wqmirror.Item, r wqdirectory.Registration) {
	if !c.directory.Register(now, r, i.Age) {
		c.Log.Info("ignored an older registration", "searcher", r.ID, "born", r.Incarnation, "sequence", r.Sequence, "revision", i.Revision)
		return
	}
	c.noteVersion(now, i.Age, &r)
	c.Log.Debug("searcher", "searcher", r.ID, "service", r.Service, "draining", r.Draining, "cold_ms", r.ColdStartRemaining.Milliseconds(), "revision", i.Revision)
}
