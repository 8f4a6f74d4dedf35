package wqconfig_test

import (
	"fmt"
	"math/rand/v2"

	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqmember"
)

func ExampleSyncer() {
	s := &wqconfig.Syncer[wqconfig.WatchersPerZone]{
		Self:   wqmember.Member{ID: "vm2", Zone: "a"},
		Policy: wqconfig.WatchersPerZone{Count: 2},
		Timing: wqconfig.DefaultTiming(),
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	s.Start(start)
	s.SetMembers(start, []wqmember.Member{{ID: "vm1", Zone: "a", Revision: 1}})
	for _, a := range s.Tick(start) {
		fmt.Printf("%T\n", a)
	}
	s.Handle(start, wqconfig.FetchSucceeded{Peer: "vm1", Update: histories(1)[1].UpdateSince(0)})
	for _, a := range s.Tick(start) {
		fmt.Printf("%T %+v\n", a, a)
	}
	// Output:
	// wqconfig.Fetch
	// wqconfig.Announce {Revision:1}
}
