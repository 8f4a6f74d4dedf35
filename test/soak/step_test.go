package soak_test

import (
	"slices"
	"syscall"
	"time"

	"wisteriaquay/test/wqfakeplatform"
)

// doRandomAction performs one random action. Faults of earlier actions stay in
// effect.
func (s *soak) doRandomAction() {
	vm := s.VMs[s.random.IntN(len(s.VMs))]
	all := slices.DeleteFunc(s.AllSearchers(), func(searcher *wqfakeplatform.Searcher) bool {
		return searcher.Version == targetVersion || searcher == s.limited
	})
	searcher := all[s.random.IntN(len(all))]
	actions := []func(*wqfakeplatform.VM, *wqfakeplatform.Searcher){
		s.stopOrKill, s.freezeOrThaw, s.changeStoreProxy, s.changeStore, s.changeBehaviour, s.changeSearcherProxy, s.drainSearcher, s.changeZone, s.reshard, s.leaveByReport,
		func(*wqfakeplatform.VM, *wqfakeplatform.Searcher) { s.publishVersion() },
		func(vm *wqfakeplatform.VM, _ *wqfakeplatform.Searcher) {
			vm.Signal(syscall.SIGHUP)
			s.record("SIGHUP %s", vm.Name)
		},
	}
	actions[s.random.IntN(len(actions))](vm, searcher)
}

// stopOrKill sends SIGTERM or SIGKILL to a running VM, or starts one that has
// exited.
func (s *soak) stopOrKill(vm *wqfakeplatform.VM, _ *wqfakeplatform.Searcher) {
	if !vm.Running() {
		vm.Start()
		delete(s.stopping, vm)
		s.setFaulty(vm, false)
		s.record("start %s", vm.Name)
		return
	}
	signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[s.random.IntN(2)]
	s.setFaulty(vm, true)
	vm.Signal(signal)
	s.stopping[vm] = true
	s.record("%s %s", signal, vm.Name)
}

func (s *soak) freezeOrThaw(vm *wqfakeplatform.VM, _ *wqfakeplatform.Searcher) {
	s.setFaulty(vm, true)
	signal := []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT}[s.random.IntN(2)]
	vm.Signal(signal)
	s.setFaulty(vm, signal == syscall.SIGSTOP || s.stopping[vm])
	s.record("SIGSTOP or SIGCONT %s", vm.Name)
}

func (s *soak) changeStoreProxy(vm *wqfakeplatform.VM, _ *wqfakeplatform.Searcher) {
	s.setFaulty(vm.StoreProxy, true)
	switch s.random.IntN(5) {
	case 0:
		vm.StoreProxy.Heal()
		vm.StoreProxy.Disconnect()
	case 1:
		vm.StoreProxy.Blackhole()
	case 2:
		vm.StoreProxy.AddLatency(300, 200)
	case 3:
		vm.StoreProxy.ResetReplies(0)
	case 4:
		vm.StoreProxy.Heal()
		s.setFaulty(vm.StoreProxy, false)
	}
	s.record("proxy between %s and the store changed", vm.Name)
}

func (s *soak) changeStore(*wqfakeplatform.VM, *wqfakeplatform.Searcher) {
	switch s.random.IntN(4) {
	case 0:
		s.setFaulty(s.Store, true)
		s.Store.SetDown(true)
	case 1:
		s.Store.SetDown(false)
		s.Store.SetHanging(false)
		s.setFaulty(s.Store, false)
	case 2:
		s.Store.CompactHistory()
	case 3:
		s.setFaulty(s.Store, true)
		s.Store.SetHanging(true)
	}
	s.record("outage, hang or compaction of the store changed")
}

func (s *soak) changeBehaviour(_ *wqfakeplatform.VM, searcher *wqfakeplatform.Searcher) {
	b := []wqfakeplatform.Behaviour{
		{}, {Shed: true}, {NoReply: true}, {Duplicate: true}, {Truncate: true}, {Hang: true}, {Fail: true}, {ProcessingTime: 300 * time.Millisecond}, {Shed: true, RetryAfter: "1.5"},
	}[s.random.IntN(9)]
	searcher.SetBehaviour(b)
	s.record("behaviour of %s is %+v", searcher.ID, b)
}

func (s *soak) changeSearcherProxy(_ *wqfakeplatform.VM, searcher *wqfakeplatform.Searcher) {
	switch s.random.IntN(4) {
	case 0:
		searcher.Proxy.Blackhole()
	case 1:
		searcher.Proxy.ResetReplies(5)
	case 2:
		searcher.Proxy.AddLatency(100, 100)
	case 3:
		searcher.Proxy.Heal()
	}
	s.record("proxy to %s changed", searcher.ID)
}

// drainSearcher starts another searcher of the same service and zone, then
// registers this one as draining.
func (s *soak) drainSearcher(_ *wqfakeplatform.VM, searcher *wqfakeplatform.Searcher) {
	if _, draining := s.drainedAt[searcher]; draining {
		return
	}
	s.AddSearcher(searcher.Service, searcher.Zone)
	s.registrations[searcher]++
	s.Register(searcher, "draining", 1+s.registrations[searcher])
	s.drainedAt[searcher] = time.Now()
	s.record("%s drains", searcher.ID)
}

// leaveByReport starts another searcher of the same service and zone, then lets this
// one report in its responses that it is leaving. Its registration stays ready.
func (s *soak) leaveByReport(_ *wqfakeplatform.VM, searcher *wqfakeplatform.Searcher) {
	s.AddSearcher(searcher.Service, searcher.Zone)
	searcher.SetBehaviour(wqfakeplatform.Behaviour{Leaving: true})
	s.record("%s reports that it is leaving", searcher.ID)
}

func (s *soak) changeZone(*wqfakeplatform.VM, *wqfakeplatform.Searcher) {
	if s.random.IntN(2) == 0 {
		s.Store.Put("op/evacuate/a", struct{}{})
	} else {
		s.Store.Remove("op/evacuate/a")
	}
	s.record("zone a taken out or back")
}

// reshard changes the number of shards: it starts searchers for the shards of a
// new layout, then publishes a configuration with these shards.
func (s *soak) reshard(*wqfakeplatform.VM, *wqfakeplatform.Searcher) {
	layout := len(s.shardSets) + 1
	s.shards = wqfakeplatform.Shards(layout, 3+s.random.IntN(4))
	s.shardSets = append(s.shardSets, s.shards)
	for _, shard := range s.shards {
		s.AddSearcher(shard, "a")
		s.AddSearcher(shard, "b")
	}
	time.Sleep(300 * time.Millisecond)
	s.publishVersion()
	s.record("layout %d with %d shards", layout, len(s.shards))
}
