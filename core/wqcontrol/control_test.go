package wqcontrol

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
)

const lag = 2 * time.Second

func newControl(now time.Time) *Control {
	return New(Settings{
		Self:                  wqmember.Member{ID: "vm1", Address: "127.0.0.1:1", Zone: "a", Region: "r", Epoch: 1, Incarnation: 1},
		MaxHoldersPerSearcher: 3,
		Timing:                wqmember.DefaultTiming(),
		Random:                rand.New(rand.NewPCG(1, 1)),
		BalancerLag:           lag,
	}, now)
}

// see puts a configuration in force as if this VM's own swap had made it.
func see(c *Control, now time.Time, revision uint64, out bool) {
	zones := []wqtopology.Zone{{ID: "a", Region: "r", Out: out}, {ID: "b", Region: "r"}}
	h := &wqhistory.History{Topology: &wqtopology.Topology{Revision: revision, Zones: zones}}
	c.Handle(now, ConfigurationEvent{Event: wqconfig.NoteAccepted{History: h, StoreRevision: revision}})
	c.Tick(now)
}

func TestOwnZoneOutRefusesAfterTheBalancersLag(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newControl(now)
	see(c, now, 1, false)
	must.False(t, c.View(now).RefusesRequests)
	see(c, now, 2, true)
	must.False(t, c.View(now.Add(lag-1)).RefusesRequests, must.Sprint("callers still arrive"))
	must.True(t, c.View(now.Add(lag)).RefusesRequests)
	see(c, now, 3, false)
	must.False(t, c.View(now.Add(lag)).RefusesRequests, must.Sprint("the zone is back"))
}

func TestRevisionsNeverRevert(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newControl(now)
	see(c, now, 5, true)
	see(c, now, 4, false)
	must.Eq(t, 5, c.View(now).Index.Topology.Revision)
	must.Eq(t, 5, c.View(now).Self.Revision)
}

func TestGracefulStopTellsPeersThenRefuses(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newControl(now)
	see(c, now, 1, false)
	c.Handle(now, LeaveRequested{})
	v := c.View(now)
	must.Eq(t, wqmember.Leaving, v.Self.State)
	must.False(t, v.RefusesRequests)
	c.Handle(now, RefusalRequested{})
	must.True(t, c.View(now).RefusesRequests)
	c.Handle(now, LeaveFinished{})
	must.Eq(t, wqmember.Left, c.View(now).Self.State)
}

func TestFreshnessCountsFromTheQuestion(t *testing.T) {
	asked := time.Unix(1000, 0)
	woken := asked.Add(10 * time.Second)
	c := newControl(asked)
	peer := wqmember.Member{ID: "vm2", Address: "127.0.0.1:2", Zone: "a", Region: "r", Epoch: 1, Incarnation: 1}
	c.Handle(asked, HeartbeatReceived{Message: wqmember.Message{From: peer}})
	answer := func(sentAt time.Time) time.Time {
		c.Handle(woken, HeartbeatAnswered{Sent: wqmember.Envelope{To: peer, QueuedAt: sentAt}, Reply: wqmember.Message{From: peer}})
		return c.View(woken).ConfirmedAt
	}
	must.Eq(t, asked, answer(asked), must.Sprint("the answer may have waited for a paused process"))
	must.Eq(t, woken, answer(woken))
}

func TestFreshnessStopsWhileAPeerHasAHigherRevision(t *testing.T) {
	heard := time.Unix(1000, 0)
	later := heard.Add(time.Minute)
	f := &freshness{}
	must.Eq(t, heard, f.At(heard, heard, true))
	must.Eq(t, heard, f.At(later, later, true))
	must.Eq(t, later, f.At(later, later, false))
}

func TestNewVMIsNotReadyBeforeSharesAreUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newControl(now)
	c.Handle(now, VMListReceived{VMs: []wqmember.ListedVM{{ID: "vm1", Zone: "a", Region: "r"}, {ID: "vm2", Address: "127.0.0.1:2", Zone: "a", Region: "r"}}})
	zones := []wqtopology.Zone{{ID: "a", Region: "r"}}
	searchers := []wqtopology.Searcher{{ID: "s1", Zone: "a", Service: "bench", Shard: "b1", Slots: 3, Connections: 30}}
	h := &wqhistory.History{Topology: &wqtopology.Topology{Revision: 1, Zones: zones, Searchers: searchers}}
	c.Handle(now, ConfigurationEvent{Event: wqconfig.NoteAccepted{History: h, StoreRevision: 1}})
	c.Tick(now)
	must.False(t, c.View(now).SharesUsable, must.Sprint("vm2 may use the searcher"))
	later := now.Add(wqmember.DefaultTiming().HandoverDelay)
	must.True(t, c.View(later).SharesUsable)
}
