package soak_test

import (
	"syscall"
	"time"

	"wisteriaquay/test/wqfakeplatform"
)

// step does one random thing, with the faults before it still there.
func (s *soak) step() {
	vm := s.VMs[s.random.IntN(len(s.VMs))]
	all := s.AllSearchers()
	searcher := all[s.random.IntN(len(all))]
	things := []func(*wqfakeplatform.VM, *wqfakeplatform.Searcher){
		s.stopOrKill, s.freeze, s.cutStore, s.storeTrouble, s.misbehave, s.cutSearcher, s.leave, s.zone, s.reshard,
		func(*wqfakeplatform.VM, *wqfakeplatform.Searcher) { s.publish() },
		func(vm *wqfakeplatform.VM, _ *wqfakeplatform.Searcher) {
			vm.Signal(syscall.SIGHUP)
			s.note("SIGHUP %s", vm.Name)
		},
	}
	things[s.random.IntN(len(things))](vm, searcher)
}

// stopOrKill ends a VM, and starts one that is down.
func (s *soak) stopOrKill(vm *wqfakeplatform.VM, _ *wqfakeplatform.Searcher) {
	if !vm.Running() {
		vm.Start()
		delete(s.ending, vm)
		s.note("start %s", vm.Name)
		return
	}
	signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[s.random.IntN(2)]
	vm.Signal(signal)
	s.ending[vm] = true
	s.note("%s %s", signal, vm.Name)
}

func (s *soak) freeze(vm *wqfakeplatform.VM, _ *wqfakeplatform.Searcher) {
	vm.Signal([]syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT}[s.random.IntN(2)])
	s.note("freeze or thaw %s", vm.Name)
}

func (s *soak) cutStore(vm *wqfakeplatform.VM, _ *wqfakeplatform.Searcher) {
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
	}
	s.note("store route of %s", vm.Name)
}

func (s *soak) storeTrouble(*wqfakeplatform.VM, *wqfakeplatform.Searcher) {
	switch s.random.IntN(4) {
	case 0:
		s.Store.SetDown(true)
	case 1:
		s.Store.SetDown(false)
		s.Store.SetHanging(false)
	case 2:
		s.Store.CompactHistory()
	case 3:
		s.Store.SetHanging(true)
	}
	s.note("store")
}

func (s *soak) misbehave(_ *wqfakeplatform.VM, searcher *wqfakeplatform.Searcher) {
	b := []wqfakeplatform.Behaviour{
		{}, {Shed: true}, {NoReply: true}, {Duplicate: true}, {Truncate: true}, {Hang: true}, {Fail: true}, {ProcessingTime: 300 * time.Millisecond},
	}[s.random.IntN(8)]
	searcher.SetBehaviour(b)
	s.note("%s behaves as %+v", searcher.ID, b)
}

func (s *soak) cutSearcher(_ *wqfakeplatform.VM, searcher *wqfakeplatform.Searcher) {
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
	s.note("route to %s", searcher.ID)
}

// leave has a searcher drain; another one of its service starts first.
func (s *soak) leave(_ *wqfakeplatform.VM, searcher *wqfakeplatform.Searcher) {
	if _, gone := s.left[searcher]; gone {
		return
	}
	s.AddSearcher(searcher.Service, searcher.Zone)
	s.states[searcher]++
	s.Register(searcher, "draining", 1+s.states[searcher])
	s.left[searcher] = time.Now()
	s.note("%s leaves", searcher.ID)
}

func (s *soak) zone(*wqfakeplatform.VM, *wqfakeplatform.Searcher) {
	if s.random.IntN(2) == 0 {
		s.Store.Put("op/evacuate/a", struct{}{})
	} else {
		s.Store.Remove("op/evacuate/a")
	}
	s.note("zone a out or back")
}

// reshard cuts the index anew: the next searchers start, then a version names
// them.
func (s *soak) reshard(*wqfakeplatform.VM, *wqfakeplatform.Searcher) {
	cut := len(s.sets) + 1
	s.set = wqfakeplatform.Shards(cut, 3+s.random.IntN(4))
	s.sets = append(s.sets, s.set)
	for _, shard := range s.set {
		s.AddSearcher(shard, "a")
		s.AddSearcher(shard, "b")
	}
	time.Sleep(300 * time.Millisecond)
	s.publish()
	s.note("cut %d with %d shards", cut, len(s.set))
}
