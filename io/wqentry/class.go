package wqentry

import (
	"sync"
	"time"

	"wisteriaquay/core/wqbudget"
	"wisteriaquay/core/wqfanout"
	"wisteriaquay/core/wqtopology"
)

const (
	retryShare = 0.1         // retryShare bounds repeats as a share of sub-queries.
	retryBurst = 100         // retryBurst is the most repeats saved up.
	retryPause = 0           // retryPause is how long a refusal stops repeats; they go to other replicas.
	spareRules = 2           // spareRules is how many times the rules of the topology are remembered.
	hedgeBurst = 50          // hedgeBurst is the most hedges saved up.
	hedgePause = time.Second // hedgePause is how long a target's refusal stops hedges.
)

type className struct{ tenant, class, service string }

// class is what the queries of one rule share.
type class[H wqfanout.HedgePolicy] struct {
	quantile float64
	share    float64
	hedge    H
	retry    *wqbudget.Budget
}

// classes holds the shared state of each rule and the last whole snapshot of each
// service.
type classes[H wqfanout.HedgePolicy] struct {
	mutex  sync.RWMutex
	byName map[className]*class[H]
	whole  map[string]uint64
}

// class returns the shared state of a rule; a rule whose hedging changed starts
// anew.
func (c *classes[H]) class(r *wqtopology.Rule, rules int, hedge func(*wqtopology.Rule) H) *class[H] {
	name := className{r.Tenant, r.Class, r.Service}
	c.mutex.RLock()
	found := c.byName[name]
	c.mutex.RUnlock()
	if found != nil && found.quantile == r.HedgeQuantile && found.share == r.HedgeShare {
		return found
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byName == nil || len(c.byName) > spareRules*rules {
		c.byName = make(map[className]*class[H])
	}
	retry := &wqbudget.Budget{Ratio: retryShare, Burst: retryBurst, OverloadPause: retryPause}
	retry.Earn(retryBurst / retryShare)
	added := &class[H]{quantile: r.HedgeQuantile, share: r.HedgeShare, hedge: hedge(r), retry: retry}
	c.byName[name] = added
	return added
}

// snapshot returns the snapshot that the last whole answer of this VM settled.
func (c *classes[H]) snapshot(service string) uint64 {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.whole[service]
}

// settled notes a snapshot that an answer found whole; 0 notes nothing. The last
// one counts, so that a snapshot that is gone again is forgotten.
func (c *classes[H]) settled(service string, snapshot uint64) {
	if snapshot == 0 || snapshot == c.snapshot(service) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.whole == nil {
		c.whole = make(map[string]uint64)
	}
	c.whole[service] = snapshot
}
