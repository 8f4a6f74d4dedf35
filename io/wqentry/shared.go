package wqentry

import (
	"sync"
	"time"

	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqfanout"
	"wisteriaquay/core/wqtopology"
)

const (
	retryRatio         = 0.1         // retries allowed per sub-query
	retryBurst         = 100         // maximum of retries that accumulate unspent
	retryOverloadPause = 0           // no pause after a target's refusal: retries go to other replicas
	maxStatesPerRule   = 2           // ruleStates kept per rule of the topology, before all are dropped
	hedgeBurst         = 50          // maximum of hedges that accumulate unspent
	hedgeOverloadPause = time.Second // pause of hedging after a target's refusal
)

type ruleKey struct{ tenant, class, service string }

// ruleState is the state shared by all queries of one rule.
type ruleState[H wqfanout.HedgePolicy] struct {
	hedgeQuantile float64
	hedgeShare    float64
	hedgePolicy   H
	retryBudget   *wqbudget.Budget
}

// sharedState is the state shared between queries: the hedge policy and retry
// budget of each rule, and the snapshot of the latest complete answer of each
// service.
type sharedState[H wqfanout.HedgePolicy] struct {
	mutex             sync.RWMutex
	byRule            map[ruleKey]*ruleState[H]
	completeSnapshots map[string]uint64
}

// ruleState returns the state of a rule. If the rule's hedging settings changed, it
// creates a new state.
func (s *sharedState[H]) ruleState(rule *wqtopology.Rule, ruleCount int, newHedgePolicy func(*wqtopology.Rule) H) *ruleState[H] {
	key := ruleKey{rule.Tenant, rule.Class, rule.Service}
	s.mutex.RLock()
	found := s.byRule[key]
	s.mutex.RUnlock()
	if found != nil && found.hedgeQuantile == rule.HedgeQuantile && found.hedgeShare == rule.HedgeShare {
		return found
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byRule == nil || len(s.byRule) > maxStatesPerRule*ruleCount {
		s.byRule = make(map[ruleKey]*ruleState[H])
	}
	retry := &wqbudget.Budget{Ratio: retryRatio, Burst: retryBurst, OverloadPause: retryOverloadPause}
	retry.Earn(retryBurst / retryRatio)
	added := &ruleState[H]{hedgeQuantile: rule.HedgeQuantile, hedgeShare: rule.HedgeShare, hedgePolicy: newHedgePolicy(rule), retryBudget: retry}
	s.byRule[key] = added
	return added
}

// completeSnapshot returns the snapshot recorded by the latest complete answer of
// this VM for a service, or 0 if there is none.
func (s *sharedState[H]) completeSnapshot(service string) uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.completeSnapshots[service]
}

// recordCompleteSnapshot records a snapshot for which all shards answered; 0 is
// ignored. It overwrites a newer snapshot too, because searchers may have dropped
// that one.
func (s *sharedState[H]) recordCompleteSnapshot(service string, snapshot uint64) {
	if snapshot == 0 || snapshot == s.completeSnapshot(service) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.completeSnapshots == nil {
		s.completeSnapshots = make(map[string]uint64)
	}
	s.completeSnapshots[service] = snapshot
}
