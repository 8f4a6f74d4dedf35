package wqmember_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqassignment"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // Flags on the command line override these.
	_ = flag.Set("rapid.checks", "60")
	os.Exit(m.Run())
}

// shareFleet runs a table of assigned shares on each VM of a fleet and checks
// that all VMs together stay within the limits of each searcher.
type shareFleet struct {
	*fleet
	controls     map[*node]*control
	index        *wqtopology.Index
	violation    string // violation describes the first time that a limit was exceeded.
	usedSlotsSum int    // usedSlotsSum adds up the used slots of all checks.
}

// control is the state of the control goroutine of one VM.
type control struct {
	startCount int
	table      wqassignment.Table
	view       wqview.View
	index      *wqtopology.Index
	updateAt   time.Time
}

func newTopology(revision uint64) *wqtopology.Topology {
	t := &wqtopology.Topology{Revision: revision}
	for i := range 3 {
		t.Zones = append(t.Zones, wqtopology.Zone{ID: fmt.Sprintf("z%d", i), Region: "r"})
	}
	for i := range 9 {
		t.Searchers = append(t.Searchers, wqtopology.Searcher{
			ID: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: 2 + i%2, Connections: 30, ColdSlots: 1,
		})
	}
	return t
}

func newShareFleet(size int, seed uint64) *shareFleet {
	s := &shareFleet{controls: make(map[*node]*control), index: wqtopology.NewIndex(newTopology(1))}
	s.fleet = newFleet(size, seed)
	s.afterStep = s.updateView
	for _, n := range s.nodes {
		s.updateView(n)
	}
	return s
}

// updateView recomputes the view of a VM, as its control goroutine does.
func (s *shareFleet) updateView(n *node) {
	c := s.controls[n]
	if c == nil || c.startCount != n.startCount {
		c = &control{startCount: n.startCount, index: s.index}
		c.table = wqassignment.Table{Limits: wqassignment.Limits{MaxHolders: 3}, HandoverDelay: s.timing.HandoverDelay}
		s.controls[n] = c
	}
	c.view = wqview.View{
		Self: n.Self, Index: c.index, ConfirmedAt: n.ConfirmedAt(), Isolated: n.Isolated(),
		Holders: c.table.Update(s.now, wqassignment.Input{
			Self: n.Self, Members: n.Members(), Index: c.index, Isolated: n.Isolated(), IsNewFleet: n.IsNewFleet(),
		}),
	}
	next := c.table.NextUpdate()
	if next.IsZero() || next.Equal(c.updateAt) {
		return
	}
	c.updateAt = next
	startCount := n.startCount
	s.schedule(next, func() {
		if n.startCount == startCount {
			s.runStep(n, func() {})
		}
	})
}

// usage returns the sum of the shares of a searcher that the running VMs may use
// now.
func (s *shareFleet) usage(searcherID string) wqview.Holder {
	var sum wqview.Holder
	for _, n := range s.nodes {
		c := s.controls[n]
		if !n.running || n.frozen || c == nil || c.startCount != n.startCount {
			continue
		}
		h, held := c.view.OwnShare(searcherID)
		if held && wqassignment.Usable(&c.view, h, s.now) {
			sum.Slots += h.Slots
			sum.Connections += h.Connections
			sum.ColdSlots += h.ColdSlots
		}
	}
	return sum
}

func (s *shareFleet) checkLimits() {
	for i := range s.index.Topology.Searchers {
		searcher := &s.index.Topology.Searchers[i]
		used := s.usage(searcher.ID)
		s.usedSlotsSum += used.Slots
		if s.violation == "" && (used.Slots > searcher.Slots || used.Connections > searcher.Connections || used.ColdSlots > searcher.ColdSlots) {
			s.violation = fmt.Sprintf("%s: searcher %s has %d slots, and %d are in use", s.now.Format("05.000"), searcher.ID, searcher.Slots, used.Slots)
		}
	}
}

// advanceChecked advances the clock by d and checks the limits every 20 ms.
func (s *shareFleet) advanceChecked(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(20 * time.Millisecond)
		s.checkLimits()
	}
}

// allSlotsUsed reports whether the VMs use all slots of all searchers.
func (s *shareFleet) allSlotsUsed() bool {
	for i := range s.index.Topology.Searchers {
		searcher := &s.index.Topology.Searchers[i]
		if s.usage(searcher.ID).Slots != searcher.Slots {
			return false
		}
	}
	return true
}

func TestSharesOfCrashedVMAreReassignedAfterHandover(t *testing.T) {
	s := newShareFleet(8, 1)
	s.advanceChecked(20 * time.Second)
	must.True(t, s.allSlotsUsed())
	s.nodes[0].running = false
	s.advanceChecked(9 * time.Second)
	must.False(t, s.allSlotsUsed(), must.Sprint("the shares of a dead VM must not be reassigned before the handover delay"))
	s.advanceChecked(6 * time.Second)
	must.True(t, s.allSlotsUsed(), must.Sprint("the shares of a dead VM must be in use after the handover delay"))
	must.EqOp(t, "", s.violation)
}

func TestSharesOfVMThatLeftAreReassignedAtOnce(t *testing.T) {
	s := newShareFleet(8, 2)
	s.advanceChecked(20 * time.Second)
	n := s.nodes[0]
	s.runStep(n, func() { n.Leave(s.now) })
	s.advanceChecked(time.Second)
	for _, m := range n.FinishLeave(s.now) {
		s.deliver(n, m)
	}
	n.running = false
	s.advanceChecked(2 * time.Second)
	must.True(t, s.allSlotsUsed(), must.Sprint("the shares of a VM that left must be in use within 2 s"))
	must.EqOp(t, "", s.violation)
}

func TestNewFleetUsesSharesAtOnce(t *testing.T) {
	s := newShareFleet(8, 3)
	s.advanceChecked(3 * time.Second)
	must.True(t, s.allSlotsUsed(), must.Sprint("a new fleet must not wait for VMs that never existed"))
	must.EqOp(t, "", s.violation)
}

func TestPartitionedVMStopsBeforeReassignment(t *testing.T) {
	for size := 1; size <= 4; size++ {
		s := newShareFleet(8, uint64(size))
		s.advanceChecked(20 * time.Second)
		partition(s.fleet, size)
		s.advanceChecked(30 * time.Second)
		must.True(t, s.allSlotsUsed(), must.Sprint("the larger side must use all shares after 30 s"))
		s.partitioned = func(string, string) bool { return false }
		s.advanceChecked(40 * time.Second)
		must.True(t, s.allSlotsUsed())
		must.EqOp(t, "", s.violation)
	}
}

// TestSharesNeverExceedLimits checks under random faults that the VMs together
// never exceed the limits of a searcher, and that all slots are in use again 60 s
// after the last fault.
func TestSharesNeverExceedLimits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newShareFleet(rapid.IntRange(3, 8).Draw(r, "size"), rapid.Uint64().Draw(r, "seed"))
		for _, n := range s.nodes {
			n.Timing.MajorityDelay = time.Hour
		}
		s.timing.MajorityDelay = time.Hour
		s.advanceChecked(time.Duration(rapid.IntRange(0, 25).Draw(r, "calm")) * time.Second)
		for step := range rapid.IntRange(1, 12).Draw(r, "steps") {
			s.injectFault(r, step)
			s.advanceChecked(time.Duration(rapid.IntRange(0, 14_000).Draw(r, "wait")) * time.Millisecond)
			if s.violation != "" {
				r.Fatalf("limits exceeded at %s", s.violation)
			}
		}
		s.endFaults()
		s.advanceChecked(60 * time.Second)
		if s.violation != "" {
			r.Fatalf("limits exceeded after the faults at %s", s.violation)
		}
		if !s.allSlotsUsed() {
			r.Fatalf("some slots are unused 60 s after the faults")
		}
	})
}

// injectFault applies a random fault to a random VM or to the network.
func (s *shareFleet) injectFault(r *rapid.T, step int) {
	i := rapid.IntRange(0, len(s.nodes)-1).Draw(r, "vm")
	n := s.nodes[i]
	switch rapid.SampledFrom([]string{"freeze", "wake", "crash", "restart", "replace", "leave", "split", "heal", "network"}).Draw(r, "fault") {
	case "freeze":
		n.frozen = n.running
	case "wake":
		s.resumeAndCheck(n)
	case "crash":
		n.running = false
	case "restart":
		s.start(i, n.Self.ID)
	case "replace":
		s.start(i, fmt.Sprintf("vm-%d-%d", i, step))
	case "leave":
		s.leaveGracefully(n)
	case "split":
		partition(s.fleet, rapid.IntRange(1, len(s.nodes)-1).Draw(r, "minority"))
	case "heal":
		s.partitioned = func(string, string) bool { return false }
	case "network":
		s.lossRate = rapid.Float64Range(0, 0.3).Draw(r, "loss")
		s.duplicateRate = rapid.Float64Range(0, 0.3).Draw(r, "double")
		s.maxDelay = time.Duration(rapid.IntRange(1, 250).Draw(r, "late")) * time.Millisecond
	}
}

// resumeAndCheck resumes a VM and checks the limits before and after its control
// goroutine runs, because its traffic goroutines may run first.
func (s *shareFleet) resumeAndCheck(n *node) {
	if !n.running || !n.frozen {
		return
	}
	n.frozen = false
	s.checkLimits()
	s.resume(n)
	s.checkLimits()
}

func (s *shareFleet) leaveGracefully(n *node) {
	if !n.running || n.frozen || n.Self.State != wqmember.Alive {
		return
	}
	s.runStep(n, func() { n.Leave(s.now) })
	s.advanceChecked(time.Second)
	for _, m := range n.FinishLeave(s.now) {
		s.deliver(n, m)
	}
	n.running = false
}

// endFaults ends all faults and restarts the VMs that do not run.
func (s *shareFleet) endFaults() {
	s.lossRate, s.duplicateRate, s.maxDelay = 0, 0, 8*time.Millisecond
	s.partitioned = func(string, string) bool { return false }
	for i, n := range s.nodes {
		s.resumeAndCheck(n)
		if !n.running {
			s.start(i, n.Self.ID)
		}
	}
	s.distributeVMList()
}
