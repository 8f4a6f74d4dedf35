package wqassignment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqassignment"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

const handover = 10 * time.Second

var start = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

// vms returns VMs that started an hour ago, spread over nine zones in three
// regions.
func vms(count int) []wqmember.Member {
	members := make([]wqmember.Member, count)
	for i := range members {
		members[i] = wqmember.Member{
			ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("z%d", i%9), Region: fmt.Sprintf("r%d", i%3),
			Epoch: uint64(start.Add(-time.Hour).UnixMilli()),
		}
	}
	return members
}

func index(searchers int) *wqtopology.Index {
	t := &wqtopology.Topology{Revision: 1}
	for i := range 9 {
		t.Zones = append(t.Zones, wqtopology.Zone{ID: fmt.Sprintf("z%d", i), Region: fmt.Sprintf("r%d", i%3)})
	}
	for i := range searchers {
		t.Searchers = append(t.Searchers, wqtopology.Searcher{
			ID: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", i%9), Slots: 3, Connections: 30, ColdSlots: 1,
		})
	}
	return wqtopology.NewIndex(t)
}

// settledTable returns a table and a time at which all handover delays have
// passed.
func settledTable(in wqassignment.Input) (*wqassignment.Table, time.Time) {
	t := &wqassignment.Table{Limits: wqassignment.Limits{MaxHolders: 3}, HandoverDelay: handover}
	t.Update(start, in)
	return t, start.Add(time.Minute)
}

func memberIDs(holders []wqview.Holder) []string {
	names := make([]string, 0, len(holders))
	for _, h := range holders {
		names = append(names, h.MemberID)
	}
	return names
}

func Example() {
	members := []wqmember.Member{{ID: "vm-a", Zone: "mendoza-1"}, {ID: "vm-b", Zone: "mendoza-1"}}
	topology := &wqtopology.Topology{Revision: 1, Searchers: []wqtopology.Searcher{
		{ID: "bench-1", Zone: "mendoza-1", Slots: 3, Connections: 30, ColdSlots: 1},
	}}
	table := wqassignment.Table{Limits: wqassignment.Limits{MaxHolders: 3}, HandoverDelay: 10 * time.Second}
	holders := table.Update(time.Unix(1000, 0), wqassignment.Input{
		Self: members[0], Members: members, Index: wqtopology.NewIndex(topology),
	})
	for _, h := range holders["bench-1"] {
		fmt.Println(h.MemberID, h.Slots, h.Connections, h.ColdSlots)
	}
	// Output:
	// vm-b 1 15 0
	// vm-a 2 15 1
}

// Holders come from the searcher's zone, else its region, else the fleet.
func TestHoldersFallBackFromZoneToRegionToAll(t *testing.T) {
	members := vms(27)
	x := index(9)
	in := wqassignment.Input{Self: members[1], Members: members, Index: x}
	leaveUnless := func(match func(m wqmember.Member) bool) {
		for i := range members {
			if members[i].ID != in.Self.ID && !match(members[i]) {
				members[i].State = wqmember.Left
			}
		}
	}
	table, now := settledTable(in)
	zone := func(id string) string { return members[vmNumber(id)].Zone }
	region := func(id string) string { return members[vmNumber(id)].Region }
	for _, id := range memberIDs(table.Update(now, in)["s0"]) {
		must.EqOp(t, "z0", zone(id))
	}
	leaveUnless(func(m wqmember.Member) bool { return m.Zone != "z0" })
	for _, id := range memberIDs(table.Update(now, in)["s0"]) {
		must.EqOp(t, "r0", region(id), must.Sprint("a zone without VMs falls back to its region"))
	}
	leaveUnless(func(m wqmember.Member) bool { return m.Region != "r0" })
	must.SliceLen(t, 3, table.Update(now, in)["s0"], must.Sprint("a region without VMs falls back to all VMs"))
}

func vmNumber(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "vm-%d", &i)
	return i
}

func TestSharesOfDeadRegionStayReserved(t *testing.T) {
	members := vms(9)
	in := wqassignment.Input{Self: members[1], Members: members, Index: index(9)}
	table, now := settledTable(in)
	for i := range members {
		if members[i].Region == "r0" {
			members[i].State = wqmember.Dead
		}
	}
	for range 10 {
		now = now.Add(time.Minute)
		must.SliceEmpty(t, table.Update(now, in)["s0"], must.Sprint("VMs of an unreachable region may still be running"))
	}
}

func TestRaisedLimitAppliesAfterHandoverAndLoweredAtOnce(t *testing.T) {
	members := vms(1)
	in := wqassignment.Input{Self: members[0], Members: members, Index: index(1)}
	table, now := settledTable(in)
	slots := func() int { return table.Update(now, in)["s0"][0].Slots }
	change := func(slots int) {
		next := *in.Index.Topology
		next.Revision++
		next.Searchers = []wqtopology.Searcher{next.Searchers[0]}
		next.Searchers[0].Slots = slots
		in.Index = wqtopology.NewIndex(&next)
	}
	change(2)
	must.EqOp(t, 2, slots())
	now = now.Add(time.Minute)
	change(5)
	must.EqOp(t, 2, slots(), must.Sprint("a raised limit must not apply before all VMs have it"))
	must.EqOp(t, now.Add(handover), table.NextUpdate())
	now = table.NextUpdate()
	must.EqOp(t, 5, slots())
}

func TestMovedSearcherIsUnusedDuringHandover(t *testing.T) {
	members := vms(2)
	in := wqassignment.Input{Self: members[1], Members: members, Index: index(1)}
	table, now := settledTable(in)
	must.Eq(t, []string{"vm-0"}, memberIDs(table.Update(now, in)["s0"]))
	next := *in.Index.Topology
	next.Revision++
	next.Searchers = []wqtopology.Searcher{next.Searchers[0]}
	next.Searchers[0].Zone = "z1"
	in.Index = wqtopology.NewIndex(&next)
	must.SliceEmpty(t, table.Update(now, in)["s0"])
	now = now.Add(handover)
	must.Eq(t, []string{"vm-1"}, memberIDs(table.Update(now, in)["s0"]))
}

func TestNewFleetWaitsForHandoverAfterIsolation(t *testing.T) {
	members := vms(1)
	in := wqassignment.Input{Self: members[0], Members: members, Index: index(1), IsNewFleet: true}
	table := &wqassignment.Table{Limits: wqassignment.Limits{MaxHolders: 3}, HandoverDelay: handover}
	ready := func(now time.Time) time.Time { return table.Update(now, in)["s0"][0].UsableFrom }
	must.Eq(t, start, ready(start), must.Sprint("no VM was running before"))
	in.Isolated = true
	ready(start.Add(time.Second))
	in.Isolated = false
	rejoined := start.Add(2 * time.Second)
	must.Eq(t, rejoined.Add(handover), ready(rejoined), must.Sprint("a zone may have been taken out during the isolation"))
}

func TestUsable(t *testing.T) {
	v := &wqview.View{ConfirmedAt: start}
	must.True(t, wqassignment.Usable(v, wqview.Holder{}, start.Add(wqassignment.MaxViewAge-1)))
	must.False(t, wqassignment.Usable(v, wqview.Holder{}, start.Add(wqassignment.MaxViewAge)), must.Sprint("the view is too old"))
	must.False(t, wqassignment.Usable(v, wqview.Holder{UsableFrom: start.Add(2)}, start.Add(1)), must.Sprint("the share is not usable yet"))
	must.False(t, wqassignment.Usable(&wqview.View{ConfirmedAt: start, Isolated: true}, wqview.Holder{}, start))
}

func TestDeadHolderIsDroppedAndLeavingHolderIsLast(t *testing.T) {
	members := vms(27)
	in := wqassignment.Input{Self: members[1], Members: members, Index: index(9)}
	table, now := settledTable(in)
	first := memberIDs(table.Update(now, in)["s0"])[0]
	members[vmNumber(first)].State = wqmember.Dead
	must.SliceNotContains(t, memberIDs(table.Update(now, in)["s0"]), first)
	members[vmNumber(first)].State = wqmember.Leaving
	must.EqOp(t, first, memberIDs(table.Update(now, in)["s0"])[2], must.Sprint("a leaving VM is the last holder"))
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{8, 50, 200, 920} {
		members := vms(n)
		in := wqassignment.Input{Self: members[0], Members: members, Index: index(7100)}
		b.Run(fmt.Sprintf("first/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				settledTable(in)
			}
		})
		b.Run(fmt.Sprintf("one-leaves/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			table, now := settledTable(in)
			for i := 0; b.Loop(); i++ {
				members[n-1].State = []wqmember.State{wqmember.Leaving, wqmember.Alive}[i%2]
				table.Update(now, in)
			}
		})
		b.Run(fmt.Sprintf("unchanged/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			table, now := settledTable(in)
			for b.Loop() {
				table.Update(now, in)
			}
		})
	}
}
