// Package wqcontroller is the control goroutine of a VM on the platform: it alone
// changes what the VM believes of the configuration, the searchers and the
// availability zones, and it publishes that as a plan for traffic to read.
//
// # Usage
//
// Decode translates the store's items. Run the keeper, deliver batches from any
// goroutine, and read the plan from any other:
//
//	k := wqcontroller.New(self, wqitem.Decode)
//	k.Peers, k.Log = peers, log
//	go k.Run(ctx)
//	k.Deliver(ctx, batch)
//	plan := k.Plan()
package wqcontroller

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
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
	"wisteriaquay/io/wqeventloop"
)

const (
	inbox = 256             // inbox is how many messages may wait.
	grace = 2 * time.Second // grace is how long registrations that lapsed may take to come back, as the platform states it.
)

// message is one event for the control goroutine.
type message struct {
	batch     *wqmirror.Batch
	done      chan<- struct{} // done is closed once a batch is in the plan.
	misplaced *wqdirectory.Target
	since     *since
	heartbeat *heartbeat
	seeds     []string
	stop      bool
}

// since is a peer's question for what it lacks.
type since struct {
	after uint64
	reply chan<- wqmirror.Batch
}

// Controller owns the control state. Set the exported fields before Run.
type Controller struct {
	Decode        func(wqmirror.Item) wqchange.Change
	Peers         PeerTransport
	JoinDelay     time.Duration        // JoinDelay is how long this VM looks for others before it reads the store itself.
	BeforePublish func(p *wqplan.Plan) // BeforePublish is called with each new plan before it is in force.
	Log           *slog.Logger

	loop      *wqeventloop.Loop[message]
	plan      atomic.Pointer[wqplan.Plan]
	ready     chan struct{} // ready is closed once the plan has a configuration.
	once      sync.Once     // once closes it.
	mirror    *wqmirror.Mirror
	directory wqdirectory.Directory
	table     *wqroute.Table
	zonesOut  map[string]bool
	members   *wqmember.Tracker
	seeds     int // seeds counts the addresses that this VM was told at its start.
	fleet     int
	lag       wqcatchup.Scheduler
	turn      *turn
	hubs      []*wqdirectory.Target
	isHub     bool
	startedAt time.Time
	rosterAt  uint64 // rosterAt is the roster that the fleet was counted from, and roles once chosen is true.
	chosen    bool
	alone     bool   // alone is true while no peer answers.
	watches   bool   // watches is true while this VM reads the store.
	crowd     bool   // crowd is true while there are VMs that do not.
	told      uint64 // told is the revision of the latest news.
	from      string // from names who gave the latest batch, news or not.
	heardAt   time.Time
	stopping  bool
	dirty     bool      // dirty is true when the plan is older than the state.
	poolsTo   time.Time // poolsTo is when the pools change by time alone; zero is never.
}

// New returns a keeper for one VM that believes nothing yet.
func New(self wqmember.Member, decode func(wqmirror.Item) wqchange.Change) *Controller {
	random := rand.New(rand.NewPCG(self.Epoch, rand.Uint64()))
	k := &Controller{
		Decode:        decode,
		Peers:         nobody{},
		JoinDelay:     joinTime,
		BeforePublish: func(*wqplan.Plan) {},
		members:       &wqmember.Tracker{Self: self, Random: random, Timing: wqmember.DefaultTiming()},
		Log:           slog.New(slog.DiscardHandler),
		loop:          wqeventloop.New[message](inbox),
		ready:         make(chan struct{}),
		mirror:        wqmirror.New(),
		directory:     wqdirectory.Directory{GracePeriod: grace},
		zonesOut:      make(map[string]bool),
		lag:           wqcatchup.Scheduler{Zone: self.Zone},
	}
	k.turn, k.startedAt = newTurn(), time.Now()
	k.members.Start(k.startedAt)
	k.loop.HandleEvent, k.loop.Tick = k.handle, k.settle
	k.plan.Store(&wqplan.Plan{FleetSize: 1})
	return k
}

// Run owns the control state until ctx ends.
func (k *Controller) Run(ctx context.Context) { k.loop.Run(ctx) }

// Plan returns the newest plan.
func (k *Controller) Plan() *wqplan.Plan { return k.plan.Load() }

// Configured is closed once the plan has a configuration.
func (k *Controller) Configured() <-chan struct{} { return k.ready }

// AsOf returns the store's revision that the plan includes.
func (k *Controller) AsOf() uint64 { return k.Plan().StoreRevision }

// Deliver hands a batch to the control goroutine and returns once it is in force.
func (k *Controller) Deliver(ctx context.Context, b wqmirror.Batch) {
	done := make(chan struct{})
	if !k.loop.Post(ctx, message{batch: &b, done: done}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-k.loop.Done():
	}
}

// BatchSince returns what a peer that knows all up to a revision lacks.
func (k *Controller) BatchSince(ctx context.Context, after uint64) (wqmirror.Batch, bool) {
	reply := make(chan wqmirror.Batch, 1)
	if !k.loop.Post(ctx, message{since: &since{after: after, reply: reply}}) {
		return wqmirror.Batch{}, false
	}
	select {
	case b := <-reply:
		return b, true
	case <-ctx.Done():
	case <-k.loop.Done():
	}
	return wqmirror.Batch{}, false
}

// WrongSearcher notes that another searcher answered at a target's address.
func (k *Controller) WrongSearcher(t *wqdirectory.Target) { k.loop.TryPost(message{misplaced: t}) }

// Stop marks the plan as that of a VM which stops.
func (k *Controller) Stop(ctx context.Context) { k.loop.Post(ctx, message{stop: true}) }

func (k *Controller) handle(now time.Time, m message) {
	switch {
	case m.batch != nil:
		k.take(now, *m.batch)
		k.publish(now) // Deliver promises that the batch is in force when it returns.
		close(m.done)
	case m.since != nil:
		m.since.reply <- k.mirror.BatchSince(now, m.since.after)
	case m.misplaced != nil:
		t := m.misplaced
		k.directory.MarkWrongSearcher(t.Searcher.ID, t.Incarnation)
		k.dirty = true
		k.Log.Info("another searcher is at the address", "searcher", t.Searcher.ID, "address", t.Searcher.Address, "service", t.Searcher.Service)
	case m.heartbeat != nil:
		k.beat(now, m.heartbeat)
	case m.seeds != nil:
		k.seed(now, m.seeds)
	case m.stop:
		k.stopping, k.dirty = true, true
		k.members.Leave(now)
	}
}

func (k *Controller) settle(now time.Time) time.Time {
	next := k.beats(now)
	if k.dirty || !k.poolsTo.IsZero() && !now.Before(k.poolsTo) {
		k.publish(now)
	}
	if !k.poolsTo.IsZero() && k.poolsTo.Before(next) {
		return k.poolsTo
	}
	return next
}

// publish makes the newest plan.
func (k *Controller) publish(now time.Time) {
	pools, next := k.directory.Pools(now)
	plan := &wqplan.Plan{
		Table: k.table, Pools: pools, FleetSize: max(k.fleet, 1), Stopping: k.stopping, StoreRevision: k.mirror.AsOf(),
		Hubs: k.hubs, IsHub: k.isHub, ConfirmedBy: k.from, ConfirmedAt: k.heardAt,
	}
	k.BeforePublish(plan)
	k.plan.Store(plan)
	k.poolsTo, k.dirty = next, false
	if k.table != nil {
		k.once.Do(func() { close(k.ready) })
	}
}

func (k *Controller) take(now time.Time, b wqmirror.Batch) {
	k.from, k.heardAt = b.Source, now
	news := k.mirror.Merge(now, b)
	for _, i := range news {
		k.apply(now, i, k.Decode(i))
	}
	if len(news) > 0 {
		k.told = k.mirror.AsOf()
	}
}

func (k *Controller) apply(now time.Time, i wqmirror.Item, c wqchange.Change) {
	switch c.Kind {
	case wqchange.Configuration:
		k.adopt(i, c.Table)
	case wqchange.ZoneOut, wqchange.ZoneBack:
		k.zonesOut = maps.Clone(k.zonesOut)
		k.zonesOut[c.Zone] = c.Kind == wqchange.ZoneOut
		k.directory.SetZonesOut(k.zonesOut)
		k.Log.Info("availability zone", "zone", c.Zone, "out", k.zonesOut[c.Zone], "revision", i.Revision, "age_ms", i.Age.Milliseconds(), "from", k.from)
	case wqchange.Registered:
		k.register(now, i, c.Record)
	case wqchange.Unregistered:
		k.directory.Deregister(now, c.SearcherID, i.Age)
		k.Log.Info("searcher", "searcher", c.SearcherID, "state", "removed", "revision", i.Revision, "age_ms", i.Age.Milliseconds())
	case wqchange.InvalidRegistration:
		k.directory.DropInvalid(c.SearcherID)
		k.Log.Warn("registration can't be used", "searcher", c.SearcherID, "revision", i.Revision, "fault", c.Problem)
	case wqchange.InvalidItem:
		k.Log.Warn("item can't be read", "key", i.Key, "revision", i.Revision, "fault", c.Problem)
	case wqchange.Ignored:
	}
}

// adopt puts a configuration in force; an older one never is.
func (k *Controller) adopt(i wqmirror.Item, t *wqroute.Table) {
	old := uint64(0)
	if k.table != nil {
		old = k.table.Version
	}
	if t.Version <= old {
		k.Log.Warn("an older configuration is left aside", "version", t.Version, "in_force", old, "revision", i.Revision)
		return
	}
	k.table = t
	k.directory.SetColdStartRates(func(service string) float64 { return t.Services[service].ColdStartRate })
	k.Log.Info("configuration in force", "version", t.Version, "before", old, "routes", t.RouteCount(), "revision", i.Revision, "age_ms", i.Age.Milliseconds(), "from", k.from)
}

func (k *Controller) register(now time.Time, i wqmirror.Item, r wqdirectory.Registration) {
	if !k.directory.Register(now, r, i.Age) {
		k.Log.Info("an older registration is left aside", "searcher", r.ID, "born", r.Incarnation, "sequence", r.Sequence, "revision", i.Revision)
		return
	}
	k.Log.Debug("searcher", "searcher", r.ID, "service", r.Service, "draining", r.Draining, "cold_ms", r.ColdStartRemaining.Milliseconds(), "revision", i.Revision)
}
