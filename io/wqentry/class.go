package wqentry

import (
	"sync"
	"sync/atomic"
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

// classes holds the shared state of each rule and the newest whole snapshot of
// each service.
type classes[H wqfanout.HedgePolicy] struct {
	mutex  sync.RWMutex
	byName map[className]*class[H]
	whole  map[string]*atomic.Uint64
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
	retry := &wqbudget.Budget{Share: retryShare, Burst: retryBurst, Pause: retryPause}
	retry.Earn(retryBurst / retryShare)
	added := &class[H]{quantile: r.HedgeQuantile, share: r.HedgeShare, hedge: hedge(r), retry: retry}
	c.byName[name] = added
	return added
}

// snapshot returns the newest snapshot that an answer of this VM found whole.
func (c *classes[H]) snapshot(service string) uint64 {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if found := c.whole[service]; found != nil {
		return found.Load()
	}
	return 0
}

// settled notes a snapshot that an answer found whole.
func (c *classes[H]) settled(service string, snapshot uint64) {
	c.mutex.RLock()
	found := c.whole[service]
	c.mutex.RUnlock()
	if found == nil {
		c.mutex.Lock()
		if c.whole == nil {
			c.whole = make(map[string]*atomic.Uint64)
		}
		if c.whole[service] == nil {
			c.whole[service] = new(atomic.Uint64)
		}
		found = c.whole[service]
		c.mutex.Unlock()
	}
	for old := found.Load(); old < snapshot; old = found.Load() {
		if found.CompareAndSwap(old, snapshot) {
			return
		}
	}
}
