package wqadmission

import "time"

type flowName struct {
	tenant string
	rank   int
}

// flow is the queue of one tenant at one rank.
type flow struct {
	name    flowName
	weight  float64
	virtual float64 // virtual is the weighted amount of work started so far.
	asks    []Query
}

func (f *flow) push(a Query) { f.asks = append(f.asks, a) }

func (f *flow) pop() Query {
	a := f.asks[0]
	f.asks = f.asks[1:]
	return a
}

func (f *flow) remove(id uint64) bool {
	for i := range f.asks {
		if f.asks[i].ID == id {
			f.asks = append(f.asks[:i], f.asks[i+1:]...)
			return true
		}
	}
	return false
}

// flow returns the queue of an ask; a tenant that was idle gains no credit.
func (g *Gate) flow(a Query) *flow {
	name := flowName{a.Tenant, a.Rank}
	f := g.flows[name]
	if f == nil {
		f = &flow{name: name, virtual: g.clock}
		g.flows[name] = f
	}
	f.weight = float64(max(a.Weight, 1))
	return f
}

// first returns the queue to serve next: the lowest rank, then the least work
// started for its weight, then by name; nil when nothing waits.
func (g *Gate) first() *flow {
	var best *flow
	for _, f := range g.flows {
		if len(f.asks) > 0 && (best == nil || f.before(best)) {
			best = f
		}
	}
	return best
}

func (f *flow) before(other *flow) bool {
	if f.name.rank != other.name.rank {
		return f.name.rank < other.name.rank
	}
	if f.virtual != other.virtual {
		return f.virtual < other.virtual
	}
	return f.name.tenant < other.name.tenant
}

// forget drops empty queues that hold no memory of recent work.
func (g *Gate) forget() {
	for n, f := range g.flows {
		if len(f.asks) == 0 && f.virtual <= g.clock {
			delete(g.flows, n)
		}
	}
}

// expectedWait returns how long an ask would wait at the measured rate: all of
// the lower ranks go first, its own rank is shared by weight.
func (g *Gate) expectedWait(a Query) time.Duration {
	weight := float64(max(a.Weight, 1))
	own, all, lower := 0, weight, 0
	for _, f := range g.flows {
		switch {
		case f.name.rank < a.Rank:
			lower += len(f.asks)
		case f.name.rank > a.Rank || len(f.asks) == 0:
		case f.name.tenant == a.Tenant:
			own = len(f.asks)
		default:
			all += f.weight
		}
	}
	ahead := float64(lower) + float64(own+1)*all/weight
	return g.limit.timeFor(ahead)
}
