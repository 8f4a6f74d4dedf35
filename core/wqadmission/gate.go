// Package wqadmission is the admission control for the queries of one service: it
// decides when a query may start, and refuses on arrival a query that cannot be
// answered in time.
//
// # Usage
//
// One Gate serves one service. Its owner serializes the calls:
//
//	g := wqadmission.NewGate(wqadmission.Bounds{Min: 4, Max: 4096, Initial: 64})
//	decision := g.Admit(now, wqadmission.Query{ID: 1, Tenant: "bench", Weight: 2, Deadline: deadline})
//	started := g.Done(now, wqadmission.Outcome{RunTime: runTime, TimeToHalf: half})
//
// Queued queries are served by rank, then by weighted fair queueing among tenants.
// The limit of running queries adapts to the overload that finished queries show,
// so the capacity of the targets need not be configured.
package wqadmission

import "time"

// Decision is the result of admitting a query.
type Decision uint8

// The possible decisions.
const (
	Admitted         Decision = iota // Admitted means that the query starts now.
	Queued                           // Queued means that a later Done may start it; Cancel removes it.
	Overloaded                       // Overloaded means that it would be queued for too long.
	DeadlineTooShort                 // DeadlineTooShort means that too little time is left even without queueing.
)

// maxWaitShare is the maximum time in the queue, as a share of the time left
// before the deadline minus the typical time of a query.
const maxWaitShare = 0.5

// Query is a query to admit.
type Query struct {
	ID       uint64 // ID is unique among the queued queries.
	Tenant   string
	Weight   int // Weight is the tenant's share relative to other tenants; values below 1 count as 1.
	Rank     int // Rank orders classes under overload: the highest rank is refused first.
	Deadline time.Time
}

// Outcome is the result of a finished query, as far as it shows the load on the
// targets.
type Outcome struct {
	RunTime    time.Duration // RunTime is the time from its start to its end.
	TimeToHalf time.Duration // TimeToHalf is the time from its start until half of its shards had answered; 0 means that they never did.
	ShedShard  string        // ShedShard is a shard that is missing because its replicas shed load; empty for none.
	ShardCount int           // ShardCount is the number of shards that were queried.
}

// Bounds are the bounds of the adaptive limit of running queries.
type Bounds struct {
	Min     int
	Max     int
	Initial int // Initial is the limit before the first adjustment.
}

// Gate admits the queries of one service. It is not safe for concurrent use.
type Gate struct {
	limit       limit
	running     int
	flows       map[flowKey]*flow
	virtualTime float64 // highest virtual time at which a queued query was started
}

// NewGate returns a Gate without running or queued queries.
func NewGate(b Bounds) *Gate {
	return &Gate{limit: newLimit(b), flows: make(map[flowKey]*flow)}
}

// Admit decides on a new query. A queued query leaves the queue when Done
// returns its ID, when Cancel removes it, or when its deadline has come too
// close.
func (g *Gate) Admit(now time.Time, q Query) Decision {
	timeLeft := q.Deadline.Sub(now)
	if timeLeft <= 0 || (g.running > 0 && timeLeft <= g.limit.typicalRunTime()) {
		return DeadlineTooShort
	}
	if g.running < g.limit.queries() && g.queued() == 0 {
		g.running++
		g.limit.started(g.running)
		return Admitted
	}
	if g.expectedWait(q) > time.Duration(maxWaitShare*float64(timeLeft-g.limit.typicalRunTime())) {
		return Overloaded
	}
	g.flowOf(q).push(q)
	return Queued
}

// Done records the end of a running query and returns the IDs of the queued
// queries that start now.
func (g *Gate) Done(now time.Time, o Outcome) []uint64 {
	g.running--
	g.limit.done(now, o)
	return g.startNext(now)
}

// Cancel removes a query from the queue and reports whether it was queued.
func (g *Gate) Cancel(id uint64) bool {
	for _, f := range g.flows {
		if f.remove(id) {
			return true
		}
	}
	return false
}

// Limit returns the current limit of running queries.
func (g *Gate) Limit() int { return g.limit.queries() }

func (g *Gate) queued() int {
	waiting := 0
	for _, f := range g.flows {
		waiting += len(f.queries)
	}
	return waiting
}

// startNext starts queued queries up to the limit. It drops those that have too
// little time left; their callers find out by their own timers.
func (g *Gate) startNext(now time.Time) []uint64 {
	var started []uint64
	for g.running < g.limit.queries() {
		f := g.nextFlow()
		if f == nil {
			break
		}
		q := f.pop()
		if q.Deadline.Sub(now) <= g.limit.typicalRunTime() {
			continue
		}
		g.virtualTime = max(g.virtualTime, f.virtualTime)
		f.virtualTime += 1 / f.weight
		g.running++
		g.limit.started(g.running)
		started = append(started, q.ID)
	}
	g.removeIdleFlows()
	return started
}
