package wqmember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmember"
)

const joinTime = 15 * time.Second

func joined(t *testing.T, size int, seed uint64) *fleet {
	t.Helper()
	f := newFleet(size, seed)
	took := f.until(joinTime, f.agreed)
	must.Less(t, joinTime, took, must.Sprintf("%d VMs must know each other within %s of their start", size, joinTime))
	f.run(2 * time.Second)
	return f
}

func alone(now time.Time) *wqmember.Tracker {
	m := &wqmember.Tracker{
		Self:   wqmember.Member{ID: "vm-0", Address: "10.0.0.0:70", Region: "r", Epoch: 1000},
		Random: rand.New(rand.NewPCG(1, 1)),
		Timing: wqmember.DefaultTiming(),
	}
	m.Start(now)
	return m
}

func peerOf(id string) wqmember.Member {
	return wqmember.Member{ID: id, Address: id + ":70", Region: "r", Incarnation: 5, Epoch: 5}
}

func Example() {
	now := time.Unix(1000, 0)
	m := wqmember.Tracker{
		Self:   wqmember.Member{ID: "vm-0", Address: "10.0.0.1:7000", Zone: "a", Region: "cuyo", Epoch: 1_000_000},
		Random: rand.New(rand.NewPCG(1, 1)),
		Timing: wqmember.DefaultTiming(),
	}
	m.Start(now)
	m.SetVMList(now, []wqmember.ListedVM{{ID: "vm-1", Address: "10.0.0.2:7000", Zone: "b", Region: "cuyo"}})
	for _, s := range m.Tick(now) {
		fmt.Println("to", s.To.Address, "joining", s.Message.RequestsList)
	}
	// Output: to 10.0.0.2:7000 joining true
}

func TestStaleDeathLosesToHigherIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	m := alone(now)
	b, c := peerOf("vm-b"), peerOf("vm-c")
	c.Incarnation = 7
	m.HandleMessage(now, wqmember.Message{From: b, Changes: []wqmember.Member{c}})
	for _, s := range []wqmember.State{wqmember.Suspect, wqmember.Dead, wqmember.Left} {
		stale := wqmember.Member{ID: "vm-c", Incarnation: 6, Epoch: 5, State: s}
		m.HandleMessage(now, wqmember.Message{From: b, Changes: []wqmember.Member{stale}})
		must.EqOp(t, wqmember.Alive, (&node{Tracker: m}).state("vm-c"), must.Sprint("a rumour must lose to a higher incarnation"))
	}
	death := wqmember.Member{ID: "vm-c", Incarnation: 7, Epoch: 5, State: wqmember.Dead}
	m.HandleMessage(now, wqmember.Message{From: b, Changes: []wqmember.Member{death}})
	must.EqOp(t, wqmember.Dead, (&node{Tracker: m}).state("vm-c"))
	m.HandleMessage(now, wqmember.Message{From: b, Changes: []wqmember.Member{c}})
	must.EqOp(t, wqmember.Dead, (&node{Tracker: m}).state("vm-c"), must.Sprint("an old rumour of life must not bring a dead VM back"))
	c.Incarnation = 8
	m.HandleMessage(now, wqmember.Message{From: c})
	must.EqOp(t, wqmember.Alive, (&node{Tracker: m}).state("vm-c"))
}

func TestRumourOfOwnDeathIsRefuted(t *testing.T) {
	now := time.Unix(1000, 0)
	m := alone(now)
	death := wqmember.Member{ID: "vm-0", Incarnation: 1000, Epoch: 1000, State: wqmember.Dead}
	reply := m.HandleMessage(now, wqmember.Message{From: peerOf("vm-b"), Changes: []wqmember.Member{death}})
	must.EqOp(t, 1001, reply.From.Incarnation)
	must.EqOp(t, wqmember.Alive, reply.From.State)
}

func TestRestartWithClockSetBackTakesHigherIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	m := alone(now)
	former := wqmember.Member{ID: "vm-0", Address: "10.0.0.0:70", Incarnation: 2000, Epoch: 2000}
	reply := m.HandleMessage(now, wqmember.Message{From: peerOf("vm-b"), Changes: []wqmember.Member{former}})
	must.EqOp(t, 2001, reply.From.Incarnation)
}

func TestSuspicionIsRefuted(t *testing.T) {
	f := joined(t, 8, 1)
	n := f.nodes[3]
	n.frozen = true
	suspected := f.until(5*time.Second, func() bool { return f.nodes[0].state("vm-3") == wqmember.Suspect })
	must.Less(t, 5*time.Second, suspected, must.Sprint("a frozen VM must be suspected"))
	before := n.Self.Incarnation
	f.wake(n)
	f.run(3 * time.Second)
	must.True(t, f.agreed(), must.Sprint("a VM that wakes within its suspicion time must be alive everywhere"))
	must.Greater(t, before, n.Self.Incarnation)
}

func TestCrashIsDetected(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(40) {
		f := joined(t, 8, seed)
		f.run(time.Duration(seed) * 50 * time.Millisecond)
		f.nodes[2].running = false
		took := f.until(10*time.Second, func() bool { return f.all("vm-2", wqmember.Dead) })
		worst = max(worst, took)
	}
	t.Logf("8 VMs, seeds 0 to 39: dead everywhere at most %s after the crash", worst)
	must.LessEq(t, 3*time.Second, worst, must.Sprint("a crash must be known everywhere within 3 s"))
}

func TestFleetOf60FindsItselfAndDetectsRackLoss(t *testing.T) {
	f := joined(t, 60, 7)
	for i := range 6 {
		f.nodes[10*i].running = false
	}
	took := f.until(15*time.Second, func() bool {
		for i := range 6 {
			if !f.all(fmt.Sprintf("vm-%d", 10*i), wqmember.Dead) {
				return false
			}
		}
		return true
	})
	t.Logf("60 VMs, seed 7: six crashes at once known everywhere after %s", took)
	must.Less(t, 6*time.Second, took, must.Sprint("six crashes must be known within 6 s"))
	f.run(5 * time.Second)
	must.True(t, f.agreed(), must.Sprint("the others must stay alive"))
}

func TestLeaveIsNotResurrected(t *testing.T) {
	f := joined(t, 8, 2)
	n := f.nodes[5]
	old := n.Self
	f.do(n, func() { n.Leave(f.now) })
	took := f.until(2*time.Second, func() bool { return f.all("vm-5", wqmember.Leaving) })
	must.Less(t, time.Second, took, must.Sprint("a leave must be known within 1 s"))
	for _, s := range n.FinishLeave(f.now) {
		f.deliver(n, s)
	}
	n.running = false
	f.run(3 * time.Second)
	must.True(t, f.all("vm-5", wqmember.Left))
	f.double, f.late = 0.3, 500*time.Millisecond
	for _, o := range f.nodes {
		f.do(o, func() {
			o.HandleMessage(f.now, wqmember.Message{From: f.nodes[0].Self, Changes: []wqmember.Member{old}})
		})
	}
	f.run(5 * time.Second)
	must.True(t, f.all("vm-5", wqmember.Left), must.Sprint("an old rumour must not bring back a VM that left"))
}

func TestForgottenDeathIsNotRevivedByLists(t *testing.T) {
	f := newFleet(5, 3)
	f.timing.TombstoneTTL = 20 * time.Second
	for _, n := range f.nodes {
		n.Timing.TombstoneTTL = f.timing.TombstoneTTL
	}
	f.run(5 * time.Second)
	f.nodes[4].running = false
	for i := range 12 {
		f.run(5 * time.Second)
		f.start(i%3, fmt.Sprintf("vm-new-%d", i))
	}
	f.run(25 * time.Second)
	for _, n := range f.nodes[:4] {
		for _, m := range n.Members() {
			must.NotEq(t, "vm-4", m.ID, must.Sprintf("%s must have forgotten vm-4", n.Self.ID))
		}
	}
}

func TestReplacedVMAtSameAddressIsLeft(t *testing.T) {
	f := joined(t, 5, 4)
	f.start(2, "vm-2b")
	f.run(2 * time.Second)
	must.True(t, f.all("vm-2", wqmember.Left, f.nodes[2]), must.Sprint("the former VM at the address must be left"))
	must.True(t, f.all("vm-2b", wqmember.Alive))
}

func TestVMListThatLagsEndsNoMemberAndRevivesNone(t *testing.T) {
	f := joined(t, 6, 5)
	full := f.list()
	f.nodes[5].running = false
	f.run(6 * time.Second)
	must.True(t, f.all("vm-5", wqmember.Dead))
	short := full[2:] // It lacks the live vm-0 and vm-1 and still shows the dead vm-5.
	for range 10 {
		for _, n := range f.nodes {
			f.do(n, func() { n.SetVMList(f.now, short) })
		}
		f.run(time.Second)
	}
	must.True(t, f.all("vm-5", wqmember.Dead), must.Sprint("a listed VM that does not answer must stay dead"))
	for i := range 5 {
		must.True(t, f.all(fmt.Sprintf("vm-%d", i), wqmember.Alive), must.Sprint("a VM that the list lacks must stay alive"))
	}
}

func TestVMIsFoundThroughOneListEntry(t *testing.T) {
	f := joined(t, 4, 6)
	f.nodes = append(f.nodes, &node{})
	n := f.nodes[4]
	late := f.list()[3:4]
	f.start(4, "vm-4")
	n.SetVMList(f.now, late)
	f.run(3 * time.Second)
	must.True(t, f.agreed(), must.Sprint("one entry of the VM list must be enough to join"))
}

func split(f *fleet, minority int) {
	side := make(map[string]bool)
	for _, n := range f.nodes[:minority] {
		side[n.Self.Address] = true
	}
	f.cut = func(a, b string) bool { return side[a] != side[b] }
}

func TestPartitionIsolatesMinorityAndHeals(t *testing.T) {
	for _, c := range []struct{ size, minority int }{{8, 1}, {8, 2}, {8, 3}, {40, 4}, {40, 18}} {
		f := joined(t, c.size, 8)
		split(f, c.minority)
		f.run(9 * time.Second)
		for i, n := range f.nodes {
			cutOff := n.Isolated() || f.now.Sub(n.ConfirmedAt()) > 3*time.Second
			must.EqOp(t, i < c.minority, cutOff, must.Sprintf("%s of %d, minority %d", n.Self.ID, c.size, c.minority))
		}
		f.run(60 * time.Second)
		for _, n := range f.nodes[:c.minority] {
			must.True(t, n.Isolated(), must.Sprint("a long partition must not end the isolation"))
		}
		f.cut = func(string, string) bool { return false }
		took := f.until(40*time.Second, f.agreed)
		must.Less(t, 20*time.Second, took, must.Sprintf("%d VMs must agree within 20 s after the partition", c.size))
	}
}

func TestEqualPartitionLeavesOneSide(t *testing.T) {
	f := joined(t, 8, 9)
	split(f, 4)
	f.run(9 * time.Second)
	for i, n := range f.nodes {
		must.EqOp(t, i >= 4, n.Isolated(), must.Sprint("only the side with the least id goes on"))
	}
}

func TestLoneVMIsNotIsolated(t *testing.T) {
	f := newFleet(1, 10)
	f.run(5 * time.Second)
	must.False(t, f.nodes[0].Isolated())
	must.LessEq(t, time.Second, f.now.Sub(f.nodes[0].ConfirmedAt()))
}

func TestBootCutOffFromListedVMsIsIsolated(t *testing.T) {
	f := joined(t, 4, 11)
	f.cut = func(a, b string) bool { return a == "10.0.0.4:70" || b == "10.0.0.4:70" }
	f.nodes = append(f.nodes, &node{})
	f.start(4, "vm-4")
	f.run(30 * time.Second)
	must.True(t, f.nodes[4].Isolated(), must.Sprint("a VM that reaches none of the listed VMs must not act alone"))
	f.cut = func(string, string) bool { return false }
	f.run(10 * time.Second)
	must.True(t, f.agreed())
}

func TestFrozenVMWakesIsolatedUntilItHasAList(t *testing.T) {
	f := joined(t, 8, 12)
	n := f.nodes[1]
	n.frozen = true
	f.run(8 * time.Second)
	must.True(t, f.all("vm-1", wqmember.Dead, n))
	f.nodes[6].running = false
	f.run(8 * time.Second)
	must.Greater(t, 3*time.Second, f.now.Sub(n.ConfirmedAt()), must.Sprint("the frozen VM's own state must be stale"))
	f.cut = func(a, b string) bool { return a == "10.0.0.1:70" || b == "10.0.0.1:70" }
	f.wake(n)
	f.run(20 * time.Millisecond)
	must.True(t, n.Isolated(), must.Sprint("a VM that wakes must be isolated until a peer has sent its list"))
	f.cut = func(string, string) bool { return false }
	f.run(5 * time.Second)
	must.True(t, f.agreed())
	must.EqOp(t, wqmember.Dead, n.state("vm-6"), must.Sprint("it must learn what happened meanwhile"))
}

func TestListAskedForBeforePauseDoesNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	m := alone(now)
	m.SetVMList(now, []wqmember.ListedVM{{ID: "vm-b", Address: "vm-b:70", Region: "r"}})
	sent := m.Tick(now)[0]
	must.True(t, sent.Message.RequestsList)
	list := wqmember.Message{From: peerOf("vm-b"), Full: true}
	now = now.Add(10 * time.Second)
	m.HandleReply(now, sent, list)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		m.Tick(now)
		must.True(t, m.Isolated(), must.Sprint("a list that waited during a pause must not end the isolation"))
	}
	sent.QueuedAt = now
	m.HandleReply(now, sent, list)
	now = now.Add(2 * time.Second)
	m.Tick(now)
	must.False(t, m.Isolated())
}

func TestRegionsThatLostEachOtherMeetAgain(t *testing.T) {
	f := newFleet(6, 16)
	for i, n := range f.nodes {
		n.Self.Region = fmt.Sprintf("r%d", i/3)
	}
	took := f.until(joinTime, f.agreed)
	must.Less(t, joinTime, took)
	split(f, 3)
	f.run(time.Minute)
	for _, n := range f.nodes {
		must.False(t, n.Isolated(), must.Sprint("a region that lost the other one goes on"))
		must.EqOp(t, wqmember.Dead, f.nodes[5].state("vm-0"))
		f.do(n, func() { n.SetVMList(f.now, nil) })
	}
	f.cut = func(string, string) bool { return false }
	took = f.until(30*time.Second, f.agreed)
	must.Less(t, 10*time.Second, took, must.Sprint("regions must meet again within 10 s"))
}

func TestDigestRepairsLostRumours(t *testing.T) {
	f := joined(t, 20, 13)
	f.filter = func(m wqmember.Message) wqmember.Message {
		if !m.Full {
			m.Changes = nil
		}
		return m
	}
	f.nodes = append(f.nodes, &node{})
	f.start(20, "vm-20")
	took := f.until(60*time.Second, func() bool { return f.all("vm-20", wqmember.Alive) })
	must.Less(t, 40*time.Second, took, must.Sprint("lists must spread a VM whose rumours are all lost"))
}

func TestRevisionsReachAllVMs(t *testing.T) {
	f := joined(t, 8, 14)
	for _, n := range f.nodes {
		f.do(n, func() { n.SetRevision(f.now, 9) })
	}
	took := f.until(10*time.Second, func() bool {
		for _, n := range f.nodes {
			for _, m := range n.Members() {
				if m.Revision != 9 {
					return false
				}
			}
		}
		return true
	})
	must.Less(t, 5*time.Second, took, must.Sprint("each VM must know within 5 s which revision the others have"))
}

func TestNewFleetOnlyWithoutElders(t *testing.T) {
	f := newFleet(5, 15)
	f.run(3 * time.Second)
	for _, n := range f.nodes {
		must.True(t, n.IsNewFleet())
	}
	f.run(time.Minute)
	f.start(2, "vm-2")
	f.run(3 * time.Second)
	must.False(t, f.nodes[2].IsNewFleet(), must.Sprint("a restarted VM among older ones is in no new fleet"))
}
