package wqhub_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqhub"
	"wisteriaquay/core/wqmember"
)

func testFleet(size, largeCount int) []wqmember.Member {
	members := make([]wqmember.Member, size)
	for i := range members {
		members[i] = wqmember.Member{ID: fmt.Sprintf("vm-%03d", i), Zone: string(rune('a' + i%3)), Capacity: 192}
		if i < largeCount {
			members[i].Capacity = 800
		}
	}
	return members
}

func TestSmallFleetHasNoHubs(t *testing.T) {
	must.Nil(t, wqhub.DefaultPolicy().Choose(testFleet(8, 0)))
}

func TestVMsWithMostCapacityBecomeHubs(t *testing.T) {
	hubs := wqhub.DefaultPolicy().Choose(testFleet(87, 6))
	must.Len(t, 6, hubs)
	for _, h := range hubs {
		must.Eq(t, 800, h.Capacity)
	}
}

// On a VM with a quarter of the capacity a fan-out takes four times as long, which is
// too late, even if it is the hub of fewer VMs.
func TestSmallVMsDoNotBecomeHubsBesideLargeOnes(t *testing.T) {
	hubs := wqhub.DefaultPolicy().Choose(testFleet(177, 9))
	must.Len(t, 9, hubs)
	for _, h := range hubs {
		must.Eq(t, 800, h.Capacity)
	}
	must.Len(t, 6, wqhub.DefaultPolicy().Choose(testFleet(177, 3)), must.Sprint("two hubs a zone are needed in any case"))
}

func TestHubCountGrowsWithTheFleetFromTwoPerZone(t *testing.T) {
	must.Len(t, 6, wqhub.DefaultPolicy().Choose(testFleet(13, 0)))
	must.Len(t, 21, wqhub.DefaultPolicy().Choose(testFleet(300, 0)))
}

func TestLossOfAHubReplacesOnlyThatHub(t *testing.T) {
	live := testFleet(87, 6)
	before := wqhub.DefaultPolicy().Choose(live)
	after := wqhub.DefaultPolicy().Choose(live[1:])
	unchanged := 0
	for _, h := range after {
		for _, b := range before {
			if h.ID == b.ID {
				unchanged++
			}
		}
	}
	must.Eq(t, len(before)-1, unchanged)
}
