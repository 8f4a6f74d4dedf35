package wqcontroller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/core/wqchange"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/io/wqcontroller"
)

// fleet carries messages between keepers in memory.
type fleet struct {
	mutex   sync.Mutex
	keepers map[string]*wqcontroller.Controller // keepers are by address.
	cut     map[string]bool                     // cut are the addresses that no message reaches or leaves.
}

// peers is one keeper's way to the others.
type peers struct {
	fleet   *fleet
	address string
}

func (f *fleet) reach(from, to string) *wqcontroller.Controller {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cut[from] || f.cut[to] {
		return nil
	}
	return f.keepers[to]
}

func (f *fleet) setCut(address string, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cut[address] = cut
}

func (p peers) SendHeartbeat(s wqmember.Envelope) {
	go func() {
		self, to := p.fleet.keepers[p.address], p.fleet.reach(p.address, s.To.Address)
		if to == nil {
			time.Sleep(50 * time.Millisecond)
			self.HeartbeatFailed(s)
			return
		}
		reply, ok := to.HeartbeatReceived(context.Background(), s.Message)
		if !ok {
			self.HeartbeatFailed(s)
			return
		}
		self.HeartbeatAnswered(s, reply)
	}()
}

func (p peers) FetchItems(from wqmember.Member, after uint64) {
	go func() {
		to := p.fleet.reach(p.address, from.Address)
		if to == nil {
			return
		}
		if b, ok := to.BatchSince(context.Background(), after); ok {
			p.fleet.keepers[p.address].Deliver(context.Background(), b)
		}
	}()
}

// decode reads configurations only; the value is a version of one digit.
func decode(i wqmirror.Item) wqchange.Change {
	return wqchange.Change{Kind: wqchange.Configuration, Table: wqroute.NewTable(uint64(i.Value[0]-'0'), nil, nil, wqroute.Limits{})}
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{keepers: make(map[string]*wqcontroller.Controller), cut: make(map[string]bool)}
	for i := range size {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		self := wqmember.Member{ID: fmt.Sprintf("vm-%02d", i), Address: address, Zone: "a", Region: "r", Epoch: uint64(time.Now().UnixMilli())}
		k := wqcontroller.New(self, decode)
		k.Peers = peers{fleet: f, address: address}
		f.keepers[address] = k
	}
	for _, k := range f.keepers {
		go k.Run(t.Context())
		k.SetSeeds(t.Context(), []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"})
	}
	return f
}

func version(n uint64) wqmirror.Batch {
	item := wqmirror.Item{Key: "configuration", Value: []byte{byte('0' + n)}, Revision: 10 * n}
	return wqmirror.Batch{Items: []wqmirror.Item{item}, AsOf: 10 * n}
}

// inForce waits until all keepers that are not cut have a version.
func (f *fleet) inForce(t *testing.T, n uint64, limit time.Duration) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(limit), wait.Gap(20*time.Millisecond), wait.BoolFunc(func() bool {
		for address, k := range f.keepers {
			if table := k.Plan().Table; !f.cut[address] && (table == nil || table.Version < n) {
				return false
			}
		}
		return true
	})))
}

func TestNewsReachesVMsThatDoNotReadTheStore(t *testing.T) {
	f := newFleet(t, 12)
	time.Sleep(1500 * time.Millisecond) // The fleet finds itself.
	for n := uint64(1); n <= 3; n++ {
		f.keepers["10.0.0.5:1"].Deliver(t.Context(), version(n))
		f.inForce(t, n, 3*time.Second) // The bound of the users' small deployments.
		time.Sleep(300 * time.Millisecond)
	}
}

func TestVMThatWasCutOffCatchesUpFromPeers(t *testing.T) {
	f := newFleet(t, 4)
	time.Sleep(time.Second)
	f.setCut("10.0.0.3:1", true)
	f.keepers["10.0.0.0:1"].Deliver(t.Context(), version(1))
	f.inForce(t, 1, 3*time.Second)
	must.Nil(t, f.keepers["10.0.0.3:1"].Plan().Table)
	f.setCut("10.0.0.3:1", false)
	f.inForce(t, 1, 5*time.Second)
}

func TestOlderConfigurationNeverComesBack(t *testing.T) {
	f := newFleet(t, 1)
	k := f.keepers["10.0.0.0:1"]
	k.Deliver(t.Context(), version(4))
	k.Deliver(t.Context(), version(3))
	late := version(2)
	late.Items[0].Revision = 99
	k.Deliver(t.Context(), late)
	must.Eq(t, 4, k.Plan().Table.Version)
}

func TestVMThatHearsNobodyReadsTheStore(t *testing.T) {
	f := newFleet(t, 12)
	time.Sleep(1500 * time.Millisecond)
	reading := func(k *wqcontroller.Controller) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		k.AwaitWatchRole(ctx)
		return ctx.Err() == nil
	}
	count, idle := 0, ""
	for address, k := range f.keepers {
		if reading(k) {
			count++
		} else {
			idle = address
		}
	}
	must.Eq(t, 3, count)
	f.setCut(idle, true)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(4*time.Second), wait.Gap(50*time.Millisecond),
		wait.BoolFunc(func() bool { return reading(f.keepers[idle]) })))
}

// A VM hears news from its neighbours many times a second; its plan, which names
// all searchers, is made anew only when something in it changes.
func TestPlanStaysWhilePeersOnlyReportRevisions(t *testing.T) {
	f := newFleet(t, 4)
	k := f.keepers["10.0.0.0:1"]
	f.keepers["10.0.0.1:1"].Deliver(t.Context(), version(1))
	f.inForce(t, 1, 3*time.Second)
	time.Sleep(2 * time.Second) // The fleet finds itself.
	from := wqmember.Member{ID: "vm-99", Address: "10.0.0.99:1", Zone: "a", Region: "r", Incarnation: 1, Epoch: 1}
	_, ok := k.HeartbeatReceived(t.Context(), wqmember.Message{From: from})
	must.True(t, ok)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool { return k.Plan().FleetSize == 5 })))
	plan := k.Plan()
	for from.Revision = 1; from.Revision <= plan.StoreRevision; from.Revision++ {
		_, ok = k.HeartbeatReceived(t.Context(), wqmember.Message{From: from})
		must.True(t, ok)
	}
	must.True(t, plan == k.Plan(), must.Sprint("the plan was made anew"))
}
