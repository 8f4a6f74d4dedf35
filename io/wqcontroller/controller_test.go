package wqcontroller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/core/wqchange"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/io/wqcontroller"
)

// fleet connects controllers in memory.
type fleet struct {
	mutex       sync.Mutex
	controllers map[string]*wqcontroller.Controller // controllers are by address.
	unreachable map[string]bool                     // unreachable holds the addresses that can neither send nor receive.
}

// peers is the transport of the controller at address.
type peers struct {
	fleet   *fleet
	address string
}

// controllerAt returns the controller that a message reaches, or nil when either
// end is unreachable.
func (f *fleet) controllerAt(from, to string) *wqcontroller.Controller {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unreachable[from] || f.unreachable[to] {
		return nil
	}
	return f.controllers[to]
}

func (f *fleet) setUnreachable(address string, unreachable bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unreachable[address] = unreachable
}

func (p peers) SendHeartbeat(e wqmember.Envelope) {
	go func() {
		self, to := p.fleet.controllers[p.address], p.fleet.controllerAt(p.address, e.To.Address)
		if to == nil {
			time.Sleep(50 * time.Millisecond)
			self.HeartbeatFailed(e)
			return
		}
		reply, ok := to.HeartbeatReceived(context.Background(), e.Message)
		if !ok {
			self.HeartbeatFailed(e)
			return
		}
		self.HeartbeatAnswered(e, reply)
	}()
}

func (p peers) FetchItems(peer wqmember.Member, afterRevision uint64) {
	go func() {
		to := p.fleet.controllerAt(p.address, peer.Address)
		if to == nil {
			return
		}
		if b, ok := to.BatchSince(context.Background(), afterRevision); ok {
			p.fleet.controllers[p.address].Deliver(context.Background(), b)
		}
	}()
}

// decodeConfiguration decodes a configuration whose value is its version as one
// digit.
func decodeConfiguration(i wqmirror.Item) wqchange.Change {
	return wqchange.Change{Kind: wqchange.Configuration, Table: wqroute.NewTable(uint64(i.Value[0]-'0'), nil, nil, wqroute.Limits{})}
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{controllers: make(map[string]*wqcontroller.Controller), unreachable: make(map[string]bool)}
	for i := range size {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		self := wqmember.Member{ID: fmt.Sprintf("vm-%02d", i), Address: address, Zone: "a", Region: "r", Epoch: uint64(time.Now().UnixMilli())}
		c := wqcontroller.New(self, decodeConfiguration)
		c.Peers = peers{fleet: f, address: address}
		f.controllers[address] = c
	}
	for _, c := range f.controllers {
		go c.Run(t.Context())
		c.SetSeeds(t.Context(), []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"})
	}
	return f
}

func configurationBatch(version uint64) wqmirror.Batch {
	item := wqmirror.Item{Key: "configuration", Value: []byte{byte('0' + version)}, Revision: 10 * version}
	return wqmirror.Batch{Items: []wqmirror.Item{item}, StoreRevision: 10 * version}
}

// waitForVersion waits until all reachable controllers have at least a version.
func (f *fleet) waitForVersion(t *testing.T, version uint64, timeout time.Duration) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(timeout), wait.Gap(20*time.Millisecond), wait.BoolFunc(func() bool {
		for address, c := range f.controllers {
			if table := c.Plan().Table; !f.unreachable[address] && (table == nil || table.Version < version) {
				return false
			}
		}
		return true
	})))
}

func TestConfigurationReachesVMsThatDoNotWatchTheStore(t *testing.T) {
	f := newFleet(t, 12)
	time.Sleep(1500 * time.Millisecond) // Membership and roles settle.
	for n := uint64(1); n <= 3; n++ {
		f.controllers["10.0.0.5:1"].Deliver(t.Context(), configurationBatch(n))
		f.waitForVersion(t, n, 3*time.Second) // The limit that small deployments set for configuration changes.
		time.Sleep(300 * time.Millisecond)
	}
}

func TestReconnectedVMCatchesUpFromPeers(t *testing.T) {
	f := newFleet(t, 4)
	time.Sleep(time.Second)
	f.setUnreachable("10.0.0.3:1", true)
	f.controllers["10.0.0.0:1"].Deliver(t.Context(), configurationBatch(1))
	f.waitForVersion(t, 1, 3*time.Second)
	must.Nil(t, f.controllers["10.0.0.3:1"].Plan().Table)
	f.setUnreachable("10.0.0.3:1", false)
	f.waitForVersion(t, 1, 5*time.Second)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFleet(t, 1)
	c := f.controllers["10.0.0.0:1"]
	c.Deliver(t.Context(), configurationBatch(4))
	c.Deliver(t.Context(), configurationBatch(3))
	stale := configurationBatch(2)
	stale.Items[0].Revision = 99
	c.Deliver(t.Context(), stale)
	must.Eq(t, 4, c.Plan().Table.Version)
}

// The test runs in simulated time, since a VM whose heartbeats go unanswered for
// longer than aloneTimeout on a busy machine watches the store too.
func TestVMWithoutPeersWatchesTheStore(t *testing.T) {
	synctest.Test(t, testVMWithoutPeersWatchesTheStore)
}

func testVMWithoutPeersWatchesTheStore(t *testing.T) {
	t.Cleanup(func() { time.Sleep(time.Second) }) // All goroutines of the fleet must end with the test.
	f := newFleet(t, 12)
	time.Sleep(1500 * time.Millisecond)
	isWatcher := func(c *wqcontroller.Controller) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		c.AwaitWatchRole(ctx)
		return ctx.Err() == nil
	}
	watchers, nonWatcher := 0, ""
	for address, c := range f.controllers {
		if isWatcher(c) {
			watchers++
		} else {
			nonWatcher = address
		}
	}
	must.Eq(t, 3, watchers)
	f.setUnreachable(nonWatcher, true)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(4*time.Second), wait.Gap(50*time.Millisecond),
		wait.BoolFunc(func() bool { return isWatcher(f.controllers[nonWatcher]) })))
}

// An item that makes the decoder panic must not end the process, nor keep the items
// after it from being applied.
func TestPanicWhileDecodingAffectsOneItem(t *testing.T) {
	f := newFleet(t, 1)
	c := f.controllers["10.0.0.0:1"]
	b := configurationBatch(1)
	b.Items = append([]wqmirror.Item{{Key: "empty", Revision: 9}}, b.Items...)
	c.Deliver(t.Context(), b)
	must.Eq(t, 1, c.Plan().Table.Version)
}

// TestPlanIsNotRebuiltWhenPeersOnlyReportRevisions guards against a new plan for
// each heartbeat: they arrive many times a second, and a plan lists all searchers.
func TestPlanIsNotRebuiltWhenPeersOnlyReportRevisions(t *testing.T) {
	f := newFleet(t, 4)
	c := f.controllers["10.0.0.0:1"]
	f.controllers["10.0.0.1:1"].Deliver(t.Context(), configurationBatch(1))
	f.waitForVersion(t, 1, 3*time.Second)
	time.Sleep(2 * time.Second) // Membership and roles settle.
	from := wqmember.Member{ID: "vm-99", Address: "10.0.0.99:1", Zone: "a", Region: "r", Incarnation: 1, Epoch: 1}
	_, ok := c.HeartbeatReceived(t.Context(), wqmember.Message{From: from})
	must.True(t, ok)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool { return c.Plan().FleetSize == 5 })))
	plan := c.Plan()
	for from.Revision = 1; from.Revision <= plan.StoreRevision; from.Revision++ {
		_, ok = c.HeartbeatReceived(t.Context(), wqmember.Message{From: from})
		must.True(t, ok)
	}
	must.True(t, plan == c.Plan(), must.Sprint("the plan was rebuilt"))
}
