package wqadmission

import "time"

type flowKey struct {
	tenant string
	rank   int
}

// flow is the queue of one tenant at one rank.
type flow struct {
	key         flowKey
	weight      float64
	virtualTime float64 // grows by 1/weight with each started query
	queries     []Query
}

func (f *flow) push(q Query) { f.queries = append(f.queries, q) }

func (f *flow) pop() Query {
	q := f.queries[0]
	f.queries = f.queries[1:]
	return q
}

func (f *flow) remove(id uint64) bool {
	for i := range f.queries {
		if f.queries[i].ID == id {
			f.queries = append(f.queries[:i], f.queries[i+1:]...)
			return true
		}
	}
	return false
}

// flowOf returns the flow of a query. A new flow starts at the gate's virtual
// time, so that a tenant gains no credit while idle.
func (g *Gate) flowOf(q Query) *flow {
	key := flowKey{q.Tenant, q.Rank}
	f := g.flows[key]
	if f == nil {
		f = &flow{key: key, virtualTime: g.virtualTime}
		g.flows[key] = f
	}
	f.weight = float64(max(q.Weight, 1))
	return f
}

// nextFlow returns the flow to serve next: the lowest rank, then the lowest
// virtual time, then the first tenant by name; nil when no query is queued.
func (g *Gate) nextFlow() *flow {
	var best *flow
	for _, f := range g.flows {
		if len(f.queries) > 0 && (best == nil || f.before(best)) {
			best = f
		}
	}
	return best
}

func (f *flow) before(other *flow) bool {
	if f.key.rank != other.key.rank {
		return f.key.rank < other.key.rank
	}
	if f.virtualTime != other.virtualTime {
		return f.virtualTime < other.virtualTime
	}
	return f.key.tenant < other.key.tenant
}

// removeIdleFlows removes the empty flows that the gate's virtual time has
// reached. A flow ahead of it stays, since its tenant has recently used more
// than its share.
func (g *Gate) removeIdleFlows() {
	for n, f := range g.flows {
		if len(f.queries) == 0 && f.virtualTime <= g.virtualTime {
			delete(g.flows, n)
		}
	}
}

// expectedWait returns how long a query would be queued at the measured rate:
// all queries of lower ranks go first, and its own rank is shared by weight.
func (g *Gate) expectedWait(q Query) time.Duration {
	weight := float64(max(q.Weight, 1))
	ownQueued, rankWeight, lowerQueued := 0, weight, 0
	for _, f := range g.flows {
		switch {
		case f.key.rank < q.Rank:
			lowerQueued += len(f.queries)
		case f.key.rank > q.Rank || len(f.queries) == 0:
		case f.key.tenant == q.Tenant:
			ownQueued = len(f.queries)
		default:
			rankWeight += f.weight
		}
	}
	ahead := float64(lowerQueued) + float64(ownQueued+1)*rankWeight/weight
	return g.limit.queueDelay(ahead)
}
