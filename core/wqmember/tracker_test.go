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

// newJoinedFleet returns a fleet that converged after its start.
func newJoinedFleet(t *testing.T, size int, seed uint64) *fleet {
	t.Helper()
	f := newFleet(size, seed)
	took := f.advanceUntil(joinTime, f.converged)
	must.Less(t, joinTime, took, must.Sprintf("%d VMs must converge within %s of their start", size, joinTime))
	f.advance(2 * time.Second)
	return f
}

// startTracker returns the started tracker of vm-0, without peers.
func startTracker(now time.Time) *wqmember.Tracker {
	tracker := &wqmember.Tracker{
		Self:   wqmember.Member{ID: "vm-0", Address: "10.0.0.0:70", Region: "r", Epoch: 1000},
		Random: rand.New(rand.NewPCG(1, 1)),
		Timing: wqmember.DefaultTiming(),
	}
	tracker.Start(now)
	return tracker
}

// peerEntry returns an alive entry with incarnation 5.
func peerEntry(id string) wqmember.Member {
	return wqmember.Member{ID: id, Address: id + ":70", Region: "r", Incarnation: 5, Epoch: 5}
}

func Example() {
	now := time.Unix(1000, 0)
	tracker := wqmember.Tracker{
		Self:   wqmember.Member{ID: "vm-0", Address: "10.0.0.1:7000", Zone: "a", Region: "cuyo", Epoch: 1_000_000},
		Random: rand.New(rand.NewPCG(1, 1)),
		Timing: wqmember.DefaultTiming(),
	}
	tracker.Start(now)
	tracker.SetVMList(now, []wqmember.ListedVM{{ID: "vm-1", Address: "10.0.0.2:7000", Zone: "b", Region: "cuyo"}})
	for _, s := range tracker.Tick(now) {
		fmt.Println("to", s.To.Address, "joining", s.Message.RequestsList)
	}
	// Output: to 10.0.0.2:7000 joining true
}

func TestStaleStateLosesToHigherIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := startTracker(now)
	b, c := peerEntry("vm-b"), peerEntry("vm-c")
	c.Incarnation = 7
	tracker.HandleMessage(now, wqmember.Message{From: b, Changes: []wqmember.Member{c}})
	for _, s := range []wqmember.State{wqmember.Suspect, wqmember.Dead, wqmember.Left} {
		stale := wqmember.Member{ID: "vm-c", Incarnation: 6, Epoch: 5, State: s}
		tracker.HandleMessage(now, wqmember.Message{From: b, Changes: []wqmember.Member{stale}})
		must.EqOp(t, wqmember.Alive, (&node{Tracker: tracker}).stateOf("vm-c"), must.Sprint("a lower incarnation must not override a higher one"))
	}
	dead := wqmember.Member{ID: "vm-c", Incarnation: 7, Epoch: 5, State: wqmember.Dead}
	tracker.HandleMessage(now, wqmember.Message{From: b, Changes: []wqmember.Member{dead}})
	must.EqOp(t, wqmember.Dead, (&node{Tracker: tracker}).stateOf("vm-c"))
	tracker.HandleMessage(now, wqmember.Message{From: b, Changes: []wqmember.Member{c}})
	must.EqOp(t, wqmember.Dead, (&node{Tracker: tracker}).stateOf("vm-c"), must.Sprint("an alive entry of the same incarnation must not revive a dead VM"))
	c.Incarnation = 8
	tracker.HandleMessage(now, wqmember.Message{From: c})
	must.EqOp(t, wqmember.Alive, (&node{Tracker: tracker}).stateOf("vm-c"))
}

func TestReportOfOwnDeathIsRefuted(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := startTracker(now)
	dead := wqmember.Member{ID: "vm-0", Incarnation: 1000, Epoch: 1000, State: wqmember.Dead}
	reply := tracker.HandleMessage(now, wqmember.Message{From: peerEntry("vm-b"), Changes: []wqmember.Member{dead}})
	must.EqOp(t, 1001, reply.From.Incarnation)
	must.EqOp(t, wqmember.Alive, reply.From.State)
}

func TestRestartWithClockSetBackTakesHigherIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := startTracker(now)
	previous := wqmember.Member{ID: "vm-0", Address: "10.0.0.0:70", Incarnation: 2000, Epoch: 2000}
	reply := tracker.HandleMessage(now, wqmember.Message{From: peerEntry("vm-b"), Changes: []wqmember.Member{previous}})
	must.EqOp(t, 2001, reply.From.Incarnation)
}

func TestSuspicionIsRefuted(t *testing.T) {
	f := newJoinedFleet(t, 8, 1)
	n := f.nodes[3]
	n.frozen = true
	took := f.advanceUntil(5*time.Second, func() bool { return f.nodes[0].stateOf("vm-3") == wqmember.Suspect })
	must.Less(t, 5*time.Second, took, must.Sprint("a frozen VM must be suspected"))
	before := n.Self.Incarnation
	f.resume(n)
	f.advance(3 * time.Second)
	must.True(t, f.converged(), must.Sprint("a VM that resumes before the suspicion timeout must be alive everywhere"))
	must.Greater(t, before, n.Self.Incarnation)
}

func TestCrashIsDetected(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(40) {
		f := newJoinedFleet(t, 8, seed)
		f.advance(time.Duration(seed) * 50 * time.Millisecond)
		f.nodes[2].running = false
		took := f.advanceUntil(10*time.Second, func() bool { return f.allRecord("vm-2", wqmember.Dead) })
		longest = max(longest, took)
	}
	t.Logf("8 VMs, seeds 0 to 39: recorded as dead by all VMs at most %s after the crash", longest)
	must.LessEq(t, 3*time.Second, longest, must.Sprint("all VMs must record a crash within 3 s"))
}

func TestFleetOf60JoinsAndDetectsSixCrashes(t *testing.T) {
	f := newJoinedFleet(t, 60, 7)
	for i := range 6 {
		f.nodes[10*i].running = false
	}
	took := f.advanceUntil(15*time.Second, func() bool {
		for i := range 6 {
			if !f.allRecord(fmt.Sprintf("vm-%d", 10*i), wqmember.Dead) {
				return false
			}
		}
		return true
	})
	t.Logf("60 VMs, seed 7: six simultaneous crashes recorded by all VMs after %s", took)
	must.Less(t, 6*time.Second, took, must.Sprint("all VMs must record six crashes within 6 s"))
	f.advance(5 * time.Second)
	must.True(t, f.converged(), must.Sprint("the others must stay alive"))
}

func TestVMThatLeftIsNotRevivedByStaleMessages(t *testing.T) {
	f := newJoinedFleet(t, 8, 2)
	n := f.nodes[5]
	stale := n.Self
	f.runStep(n, func() { n.Leave(f.now) })
	took := f.advanceUntil(2*time.Second, func() bool { return f.allRecord("vm-5", wqmember.Leaving) })
	must.Less(t, time.Second, took, must.Sprint("all VMs must record a leave within 1 s"))
	for _, s := range n.FinishLeave(f.now) {
		f.deliver(n, s)
	}
	n.running = false
	f.advance(3 * time.Second)
	must.True(t, f.allRecord("vm-5", wqmember.Left))
	f.duplicateRate, f.maxDelay = 0.3, 500*time.Millisecond
	for _, o := range f.nodes {
		f.runStep(o, func() {
			o.HandleMessage(f.now, wqmember.Message{From: f.nodes[0].Self, Changes: []wqmember.Member{stale}})
		})
	}
	f.advance(5 * time.Second)
	must.True(t, f.allRecord("vm-5", wqmember.Left), must.Sprint("a stale entry must not revive a VM that left"))
}

func TestExpiredTombstoneIsNotRevivedByLists(t *testing.T) {
	f := newFleet(5, 3)
	f.timing.TombstoneTTL = 20 * time.Second
	for _, n := range f.nodes {
		n.Timing.TombstoneTTL = f.timing.TombstoneTTL
	}
	f.advance(5 * time.Second)
	f.nodes[4].running = false
	for i := range 12 {
		f.advance(5 * time.Second)
		f.start(i%3, fmt.Sprintf("vm-new-%d", i))
	}
	f.advance(25 * time.Second)
	for _, n := range f.nodes[:4] {
		for _, m := range n.Members() {
			must.NotEq(t, "vm-4", m.ID, must.Sprintf("%s must have removed vm-4", n.Self.ID))
		}
	}
}

func TestReplacedVMAtSameAddressIsMarkedLeft(t *testing.T) {
	f := newJoinedFleet(t, 5, 4)
	f.start(2, "vm-2b")
	f.advance(2 * time.Second)
	must.True(t, f.allRecord("vm-2", wqmember.Left, f.nodes[2]), must.Sprint("the previous VM at the address must be marked as left"))
	must.True(t, f.allRecord("vm-2b", wqmember.Alive))
}

func TestStaleVMListChangesNoMemberState(t *testing.T) {
	f := newJoinedFleet(t, 6, 5)
	current := f.vmList()
	f.nodes[5].running = false
	f.advance(6 * time.Second)
	must.True(t, f.allRecord("vm-5", wqmember.Dead))
	stale := current[2:] // Without the live vm-0 and vm-1, but with the dead vm-5.
	for range 10 {
		for _, n := range f.nodes {
			f.runStep(n, func() { n.SetVMList(f.now, stale) })
		}
		f.advance(time.Second)
	}
	must.True(t, f.allRecord("vm-5", wqmember.Dead), must.Sprint("a listed VM that does not answer must stay dead"))
	for i := range 5 {
		must.True(t, f.allRecord(fmt.Sprintf("vm-%d", i), wqmember.Alive), must.Sprint("a VM that is not on the list must stay alive"))
	}
}

func TestVMJoinsThroughOneListEntry(t *testing.T) {
	f := newJoinedFleet(t, 4, 6)
	f.nodes = append(f.nodes, &node{})
	n := f.nodes[4]
	oneEntry := f.vmList()[3:4]
	f.start(4, "vm-4")
	n.SetVMList(f.now, oneEntry)
	f.advance(3 * time.Second)
	must.True(t, f.converged(), must.Sprint("one entry of the VM list must be enough to join"))
}

// partition cuts the first nodes, as many as minority, off from the others.
func partition(f *fleet, minority int) {
	inMinority := make(map[string]bool)
	for _, n := range f.nodes[:minority] {
		inMinority[n.Self.Address] = true
	}
	f.partitioned = func(a, b string) bool { return inMinority[a] != inMinority[b] }
}

func TestPartitionIsolatesMinorityAndHeals(t *testing.T) {
	for _, c := range []struct{ size, minority int }{{8, 1}, {8, 2}, {8, 3}, {40, 4}, {40, 18}} {
		f := newJoinedFleet(t, c.size, 8)
		partition(f, c.minority)
		f.advance(9 * time.Second)
		for i, n := range f.nodes {
			outOfService := n.Isolated() || f.now.Sub(n.ConfirmedAt()) > 3*time.Second
			must.EqOp(t, i < c.minority, outOfService, must.Sprintf("%s of %d, minority %d", n.Self.ID, c.size, c.minority))
		}
		f.advance(60 * time.Second)
		for _, n := range f.nodes[:c.minority] {
			must.True(t, n.Isolated(), must.Sprint("a long partition must not end the isolation"))
		}
		f.partitioned = func(string, string) bool { return false }
		took := f.advanceUntil(40*time.Second, f.converged)
		must.Less(t, 20*time.Second, took, must.Sprintf("%d VMs must converge within 20 s after the partition", c.size))
	}
}

func TestEqualPartitionIsolatesOneSide(t *testing.T) {
	f := newJoinedFleet(t, 8, 9)
	partition(f, 4)
	f.advance(9 * time.Second)
	for i, n := range f.nodes {
		must.EqOp(t, i >= 4, n.Isolated(), must.Sprint("the side with the smallest id must not be isolated, the other one must be"))
	}
}

func TestSingleVMIsNotIsolated(t *testing.T) {
	f := newFleet(1, 10)
	f.advance(5 * time.Second)
	must.False(t, f.nodes[0].Isolated())
	must.LessEq(t, time.Second, f.now.Sub(f.nodes[0].ConfirmedAt()))
}

func TestVMStartedInPartitionIsIsolated(t *testing.T) {
	f := newJoinedFleet(t, 4, 11)
	f.partitioned = func(a, b string) bool { return a == "10.0.0.4:70" || b == "10.0.0.4:70" }
	f.nodes = append(f.nodes, &node{})
	f.start(4, "vm-4")
	f.advance(30 * time.Second)
	must.True(t, f.nodes[4].Isolated(), must.Sprint("a VM that reaches none of the listed VMs must stay isolated"))
	f.partitioned = func(string, string) bool { return false }
	f.advance(10 * time.Second)
	must.True(t, f.converged())
}

func TestResumedVMIsIsolatedUntilItReceivesAList(t *testing.T) {
	f := newJoinedFleet(t, 8, 12)
	n := f.nodes[1]
	n.frozen = true
	f.advance(8 * time.Second)
	must.True(t, f.allRecord("vm-1", wqmember.Dead, n))
	f.nodes[6].running = false
	f.advance(8 * time.Second)
	must.Greater(t, 3*time.Second, f.now.Sub(n.ConfirmedAt()), must.Sprint("the view of the frozen VM must be stale"))
	f.partitioned = func(a, b string) bool { return a == "10.0.0.1:70" || b == "10.0.0.1:70" }
	f.resume(n)
	f.advance(20 * time.Millisecond)
	must.True(t, n.Isolated(), must.Sprint("a resumed VM must be isolated until a peer has sent its full list"))
	f.partitioned = func(string, string) bool { return false }
	f.advance(5 * time.Second)
	must.True(t, f.converged())
	must.EqOp(t, wqmember.Dead, n.stateOf("vm-6"), must.Sprint("it must record a crash that happened during the pause"))
}

func TestListRequestedBeforePauseKeepsIsolation(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := startTracker(now)
	tracker.SetVMList(now, []wqmember.ListedVM{{ID: "vm-b", Address: "vm-b:70", Region: "r"}})
	sent := tracker.Tick(now)[0]
	must.True(t, sent.Message.RequestsList)
	list := wqmember.Message{From: peerEntry("vm-b"), Full: true}
	now = now.Add(10 * time.Second)
	tracker.HandleReply(now, sent, list)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		tracker.Tick(now)
		must.True(t, tracker.Isolated(), must.Sprint("a list requested before a pause must not end the isolation"))
	}
	sent.QueuedAt = now
	tracker.HandleReply(now, sent, list)
	now = now.Add(2 * time.Second)
	tracker.Tick(now)
	must.False(t, tracker.Isolated())
}

func TestPartitionedRegionsReconnect(t *testing.T) {
	f := newFleet(6, 16)
	for i, n := range f.nodes {
		n.Self.Region = fmt.Sprintf("r%d", i/3)
	}
	took := f.advanceUntil(joinTime, f.converged)
	must.Less(t, joinTime, took)
	partition(f, 3)
	f.advance(time.Minute)
	for _, n := range f.nodes {
		must.False(t, n.Isolated(), must.Sprint("a partition between regions must not isolate a region"))
		must.EqOp(t, wqmember.Dead, f.nodes[5].stateOf("vm-0"))
		f.runStep(n, func() { n.SetVMList(f.now, nil) })
	}
	f.partitioned = func(string, string) bool { return false }
	took = f.advanceUntil(30*time.Second, f.converged)
	must.Less(t, 10*time.Second, took, must.Sprint("regions must converge within 10 s after the partition"))
}

func TestDigestRepairsLostChanges(t *testing.T) {
	f := newJoinedFleet(t, 20, 13)
	f.transform = func(m wqmember.Message) wqmember.Message {
		if !m.Full {
			m.Changes = nil
		}
		return m
	}
	f.nodes = append(f.nodes, &node{})
	f.start(20, "vm-20")
	took := f.advanceUntil(60*time.Second, func() bool { return f.allRecord("vm-20", wqmember.Alive) })
	must.Less(t, 40*time.Second, took, must.Sprint("full lists must spread a VM whose changes are all lost"))
}

func TestRevisionsReachAllVMs(t *testing.T) {
	f := newJoinedFleet(t, 8, 14)
	for _, n := range f.nodes {
		f.runStep(n, func() { n.SetRevision(f.now, 9) })
	}
	took := f.advanceUntil(10*time.Second, func() bool {
		for _, n := range f.nodes {
			for _, m := range n.Members() {
				if m.Revision != 9 {
					return false
				}
			}
		}
		return true
	})
	must.Less(t, 5*time.Second, took, must.Sprint("each VM must record the revisions of the others within 5 s"))
}

func TestNewFleetHasNoOlderVMs(t *testing.T) {
	f := newFleet(5, 15)
	f.advance(3 * time.Second)
	for _, n := range f.nodes {
		must.True(t, n.IsNewFleet())
	}
	f.advance(time.Minute)
	f.start(2, "vm-2")
	f.advance(3 * time.Second)
	must.False(t, f.nodes[2].IsNewFleet(), must.Sprint("a restarted VM among older ones is not in a new fleet"))
}
