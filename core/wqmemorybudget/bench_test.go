package wqmemorybudget_test

import (
	"testing"

	"wisteriaquay/core/wqmemorybudget"
)

// One request on one of many connections: what each request of a client pays.
func BenchmarkRequest(b *testing.B) {
	budget := &wqmemorybudget.Budget[int]{Limit: 1 << 30, MaxConnections: 2000, ConnectionCost: cost}
	accounts := make([]*account, 1500)
	for i := range accounts {
		accounts[i], _ = budget.Open(start, i)
	}
	for i := 0; b.Loop(); i++ {
		a := accounts[i%len(accounts)]
		a.SetPhase(wqmemorybudget.Receiving)
		a.AddProgress(start, 400)
		_, _ = budget.Reserve(start, a, 10<<10)
		a.SetPhase(wqmemorybudget.Running)
		a.SetPhase(wqmemorybudget.Replying)
		a.AddProgress(start, 400)
		budget.Reset(start, a)
		a.SetPhase(wqmemorybudget.Idle)
	}
}

// A scan of all connections, while the memory is short.
func BenchmarkSweepWhileMemoryIsShort(b *testing.B) {
	budget := &wqmemorybudget.Budget[int]{Limit: 24 << 20, MaxConnections: 2000, ConnectionCost: cost}
	for i := range 1000 {
		a, _ := budget.Open(start, i)
		a.SetPhase(wqmemorybudget.Running)
	}
	now := start
	for b.Loop() {
		now = now.Add(step)
		budget.Sweep(now)
	}
}
