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

// shares runs a holder table beside each machine of a fleet and checks that
// all VMs together stay within the limits of each searcher.
type shares struct {
	*fleet
	tables map[*node]*desk
	index  *wqtopology.Index
	fault  string
	used   int
}

// desk is what the control goroutine of one VM keeps.
type desk struct {
	life  int
	table wqassignment.Table
	view  wqview.View
	index *wqtopology.Index
	timer time.Time
}

func topology(revision uint64) *wqtopology.Topology {
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

func newShares(size int, seed uint64) *shares {
	s := &shares{tables: make(map[*node]*desk), index: wqtopology.NewIndex(topology(1))}
	s.fleet = newFleet(size, seed)
	s.after = s.publish
	for _, n := range s.nodes {
		s.publish(n)
	}
	return s
}

// publish renews the view of a VM, as its control goroutine does.
func (s *shares) publish(n *node) {
	d := s.tables[n]
	if d == nil || d.life != n.life {
		d = &desk{life: n.life, index: s.index}
		d.table = wqassignment.Table{Limits: wqassignment.Limits{MaxHolders: 3}, HandoverDelay: s.timing.HandoverDelay}
		s.tables[n] = d
	}
	d.view = wqview.View{
		Self: n.Self, Index: d.index, ConfirmedAt: n.ConfirmedAt(), Isolated: n.Isolated(),
		Holders: d.table.Update(s.now, wqassignment.Input{
			Self: n.Self, Members: n.Members(), Index: d.index, Isolated: n.Isolated(), NewFleet: n.IsNewFleet(),
		}),
	}
	next := d.table.NextUpdate()
	if next.IsZero() || next.Equal(d.timer) {
		return
	}
	d.timer = next
	life := n.life
	s.at(next, func() {
		if n.life == life {
			s.do(n, func() {})
		}
	})
}

// usage returns what all running VMs may use of a searcher now.
func (s *shares) usage(searcherID string) wqview.Holder {
	var sum wqview.Holder
	for _, n := range s.nodes {
		d := s.tables[n]
		if !n.running || n.frozen || d == nil || d.life != n.life {
			continue
		}
		h, held := d.view.OwnShare(searcherID)
		if held && wqassignment.Usable(&d.view, h, s.now) {
			sum.Slots += h.Slots
			sum.Connections += h.Connections
			sum.ColdSlots += h.ColdSlots
		}
	}
	return sum
}

func (s *shares) check() {
	for i := range s.index.Topology.Searchers {
		x := &s.index.Topology.Searchers[i]
		u := s.usage(x.ID)
		s.used += u.Slots
		if s.fault == "" && (u.Slots > x.Slots || u.Connections > x.Connections || u.ColdSlots > x.ColdSlots) {
			s.fault = fmt.Sprintf("%s: searcher %s has %d slots, and %d are in use", s.now.Format("05.000"), x.ID, x.Slots, u.Slots)
		}
	}
}

// pass lets time pass and checks the limits every 20 ms.
func (s *shares) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.run(20 * time.Millisecond)
		s.check()
	}
}

// full reports whether the VMs use all slots of all searchers.
func (s *shares) full() bool {
	for i := range s.index.Topology.Searchers {
		x := &s.index.Topology.Searchers[i]
		if s.usage(x.ID).Slots != x.Slots {
			return false
		}
	}
	return true
}

func TestSharesOfCrashedVMPassOnAfterHandover(t *testing.T) {
	s := newShares(8, 1)
	s.pass(20 * time.Second)
	must.True(t, s.full())
	s.nodes[0].running = false
	s.pass(9 * time.Second)
	must.False(t, s.full(), must.Sprint("the shares of a dead VM must rest"))
	s.pass(6 * time.Second)
	must.True(t, s.full(), must.Sprint("the shares of a dead VM must be used after the handover"))
	must.EqOp(t, "", s.fault)
}

func TestSharesOfVMThatLeftPassOnAtOnce(t *testing.T) {
	s := newShares(8, 2)
	s.pass(20 * time.Second)
	n := s.nodes[0]
	s.do(n, func() { n.Leave(s.now) })
	s.pass(time.Second)
	for _, m := range n.FinishLeave(s.now) {
		s.deliver(n, m)
	}
	n.running = false
	s.pass(2 * time.Second)
	must.True(t, s.full(), must.Sprint("the shares of a VM that left must be used within 2 s"))
	must.EqOp(t, "", s.fault)
}

func TestNewFleetUsesSharesAtOnce(t *testing.T) {
	s := newShares(8, 3)
	s.pass(3 * time.Second)
	must.True(t, s.full(), must.Sprint("a new fleet must not wait for VMs that never were"))
	must.EqOp(t, "", s.fault)
}

func TestPartitionedVMStopsBeforeItsSharesPassOn(t *testing.T) {
	for size := 1; size <= 4; size++ {
		s := newShares(8, uint64(size))
		s.pass(20 * time.Second)
		split(s.fleet, size)
		s.pass(30 * time.Second)
		must.True(t, s.full(), must.Sprint("the larger side must use all shares in the end"))
		s.cut = func(string, string) bool { return false }
		s.pass(40 * time.Second)
		must.True(t, s.full())
		must.EqOp(t, "", s.fault)
	}
}

// TestSharesNeverExceedLimits drives whole fleets through random faults.
func TestSharesNeverExceedLimits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newShares(rapid.IntRange(3, 8).Draw(r, "size"), rapid.Uint64().Draw(r, "seed"))
		for _, n := range s.nodes {
			n.Timing.MajorityDelay = time.Hour
		}
		s.timing.MajorityDelay = time.Hour
		s.pass(time.Duration(rapid.IntRange(0, 25).Draw(r, "calm")) * time.Second)
		for step := range rapid.IntRange(1, 12).Draw(r, "steps") {
			s.disturb(r, step)
			s.pass(time.Duration(rapid.IntRange(0, 14_000).Draw(r, "wait")) * time.Millisecond)
			if s.fault != "" {
				r.Fatalf("limits exceeded at %s", s.fault)
			}
		}
		s.calm()
		s.pass(60 * time.Second)
		if s.fault != "" {
			r.Fatalf("limits exceeded after the faults at %s", s.fault)
		}
		if !s.full() {
			r.Fatalf("shares lie unused 60 s after the faults")
		}
	})
}

func (s *shares) disturb(r *rapid.T, step int) {
	i := rapid.IntRange(0, len(s.nodes)-1).Draw(r, "vm")
	n := s.nodes[i]
	switch rapid.SampledFrom([]string{"freeze", "wake", "crash", "restart", "replace", "leave", "split", "heal", "network"}).Draw(r, "fault") {
	case "freeze":
		n.frozen = n.running
	case "wake":
		s.rouse(n)
	case "crash":
		n.running = false
	case "restart":
		s.start(i, n.Self.ID)
	case "replace":
		s.start(i, fmt.Sprintf("vm-%d-%d", i, step))
	case "leave":
		s.leave(n)
	case "split":
		split(s.fleet, rapid.IntRange(1, len(s.nodes)-1).Draw(r, "minority"))
	case "heal":
		s.cut = func(string, string) bool { return false }
	case "network":
		s.loss = rapid.Float64Range(0, 0.3).Draw(r, "loss")
		s.double = rapid.Float64Range(0, 0.3).Draw(r, "double")
		s.late = time.Duration(rapid.IntRange(1, 250).Draw(r, "late")) * time.Millisecond
	}
}

// rouse wakes a VM and checks what its traffic goroutines may do before its
// control goroutine has run.
func (s *shares) rouse(n *node) {
	if !n.running || !n.frozen {
		return
	}
	n.frozen = false
	s.check()
	s.wake(n)
	s.check()
}

func (s *shares) leave(n *node) {
	if !n.running || n.frozen || n.Self.State != wqmember.Alive {
		return
	}
	s.do(n, func() { n.Leave(s.now) })
	s.pass(time.Second)
	for _, m := range n.FinishLeave(s.now) {
		s.deliver(n, m)
	}
	n.running = false
}

// calm ends all faults and starts what does not run.
func (s *shares) calm() {
	s.loss, s.double, s.late = 0, 0, 8*time.Millisecond
	s.cut = func(string, string) bool { return false }
	for i, n := range s.nodes {
		s.rouse(n)
		if !n.running {
			s.start(i, n.Self.ID)
		}
	}
	s.seed()
}
