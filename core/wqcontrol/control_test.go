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

const balancerLag = 2 * time.Second

func newControl(now time.Time) *Control {
	return New(Settings{
		Self:                  wqmember.Member{ID: "vm1", Address: "127.0.0.1:1", Zone: "a", Region: "r", Epoch: 1, Incarnation: 1},
		MaxHoldersPerSearcher: 3,
		Timing:                wqmember.DefaultTiming(),
		Random:                rand.New(rand.NewPCG(1, 1)),
		BalancerLag:           balancerLag,
	}, now)
}

// publishRevision puts a configuration in force as if this VM had published it.
func publishRevision(c *Control, now time.Time, revision uint64, zoneOut bool) {
	zones := []wqtopology.Zone{{ID: "a", Region: "r", Out: zoneOut}, {ID: "b", Region: "r"}}
	h := &wqhistory.History{Topology: &wqtopology.Topology{Revision: revision, Zones: zones}}
	c.Handle(now, ConfigurationEvent{Event: wqconfig.NoteAccepted{History: h, StoreRevision: revision}})
	c.Tick(now)
}

func TestOwnZoneOutRefusesRequestsAfterTheBalancerLag(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newControl(now)
	publishRevision(c, now, 1, false)
	must.False(t, c.View(now).RefusesRequests)
	publishRevision(c, now, 2, true)
	must.False(t, c.View(now.Add(balancerLag-1)).RefusesRequests, must.Sprint("the balancer still sends callers"))
	must.True(t, c.View(now.Add(balancerLag)).RefusesRequests)
	publishRevision(c, now, 3, false)
	must.False(t, c.View(now.Add(balancerLag)).RefusesRequests, must.Sprint("the zone is back"))
}

func TestLowerRevisionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newControl(now)
	publishRevision(c, now, 5, true)
	publishRevision(c, now, 4, false)
	must.Eq(t, 5, c.View(now).Index.Topology.Revision)
	must.Eq(t, 5, c.View(now).Self.Revision)
}

func TestGracefulStopAnnouncesLeavingBeforeItRefusesRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newControl(now)
	publishRevision(c, now, 1, false)
	c.Handle(now, LeaveRequested{})
	v := c.View(now)
	must.Eq(t, wqmember.Leaving, v.Self.State)
	must.False(t, v.RefusesRequests)
	c.Handle(now, RefusalRequested{})
	must.True(t, c.View(now).RefusesRequests)
	c.Handle(now, LeaveFinished{})
	must.Eq(t, wqmember.Left, c.View(now).Self.State)
}

func TestConfirmedAtIsWhenTheHeartbeatWasSent(t *testing.T) {
	startTime := time.Unix(1000, 0)
	resumedAt := startTime.Add(10 * time.Second)
	c := newControl(startTime)
	peer := wqmember.Member{ID: "vm2", Address: "127.0.0.1:2", Zone: "a", Region: "r", Epoch: 1, Incarnation: 1}
	c.Handle(startTime, HeartbeatReceived{Message: wqmember.Message{From: peer}})
	acknowledge := func(sentAt time.Time) time.Time {
		c.Handle(resumedAt, HeartbeatAnswered{Sent: wqmember.Envelope{To: peer, QueuedAt: sentAt}, Reply: wqmember.Message{From: peer}})
		return c.View(resumedAt).ConfirmedAt
	}
	must.Eq(t, startTime, acknowledge(startTime), must.Sprint("the reply may have arrived while the process was paused"))
	must.Eq(t, resumedAt, acknowledge(resumedAt))
}

func TestConfirmedAtStopsWhileAPeerHasAHigherRevision(t *testing.T) {
	confirmedAt := time.Unix(1000, 0)
	later := confirmedAt.Add(time.Minute)
	f := &confirmation{}
	must.Eq(t, confirmedAt, f.limitConfirmedAt(confirmedAt, confirmedAt, true))
	must.Eq(t, confirmedAt, f.limitConfirmedAt(later, later, true))
	must.Eq(t, later, f.limitConfirmedAt(later, later, false))
}

func TestNewVMIsNotReadyUntilItsSharesAreUsable(t *testing.T) {
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
