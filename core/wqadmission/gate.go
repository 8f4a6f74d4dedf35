// Package wqadmission decides when a query of one service may start, and refuses
// early what could not be answered in time.
//
// # Usage
//
// One Gate serves one service. Its owner serializes the calls:
//
//	g := wqadmission.NewGate(wqadmission.Bounds{Least: 4, Most: 4096, First: 64})
//	verdict := g.Arrive(now, wqadmission.Query{ID: 1, Tenant: "bench", Weight: 2, Deadline: deadline})
//	started := g.Done(now, wqadmission.Outcome{Held: held, Half: half})
//
// Queries that wait are served by rank, then in fair shares among tenants by
// their weights. How many run at once follows the strain that finished queries
// report, so that no figure of the targets' capacity is configured.
package wqadmission

import "time"

// Decision is the decision on an arrival.
type Decision uint8

// The verdicts.
const (
	Admitted         Decision = iota // Admitted means that the query starts now.
	Queued                           // Queued means that a later Done or Leave may start it.
	Overloaded                       // Overloaded means that its turn would come too late.
	DeadlineTooShort                 // DeadlineTooShort means that too little time is left even without waiting.
)

// waitShare is the largest part of the time left that a query may wait.
const waitShare = 0.5

// Query is a query that wants to start.
type Query struct {
	ID       uint64 // ID is unique among the queries that wait.
	Tenant   string
	Weight   int // Weight is the tenant's share relative to others; less than 1 counts as 1.
	Rank     int // Rank orders classes under overload: the highest is refused first.
	Deadline time.Time
}

// Outcome is what a finished query tells of the load on the targets.
type Outcome struct {
	RunTime    time.Duration // RunTime is the time from its start to its end.
	TimeToHalf time.Duration // TimeToHalf is the time until half of its shards had answered; 0 means that they never did.
	ShedShard  string        // ShedShard is a shard that is missing because its replicas refused for load, empty for none.
	ShardCount int           // ShardCount is how many shards it asked.
}

// Bounds limits how many queries run at once.
type Bounds struct {
	Min     int
	Max     int
	Initial int // Initial is the limit before anything was measured.
}

// Gate admits the queries of one service.
type Gate struct {
	limit   limit
	running int
	flows   map[flowName]*flow
	clock   float64 // clock is the virtual time of the last query that was started from a queue.
}

// NewGate returns a gate without load.
func NewGate(b Bounds) *Gate {
	return &Gate{limit: newLimit(b), flows: make(map[flowName]*flow)}
}

// Admit decides on a query. One that waits leaves by a later start or by Leave.
func (g *Gate) Admit(now time.Time, a Query) Decision {
	left := a.Deadline.Sub(now)
	if left <= 0 || (g.running > 0 && left <= g.limit.typical()) {
		return DeadlineTooShort
	}
	if g.running < g.limit.whole() && g.waiting() == 0 {
		g.running++
		g.limit.started(g.running)
		return Admitted
	}
	if g.expectedWait(a) > time.Duration(waitShare*float64(left-g.limit.typical())) {
		return Overloaded
	}
	g.flow(a).push(a)
	return Queued
}

// Done notes that a query that ran is over. It returns the queries that start
// now.
func (g *Gate) Done(now time.Time, o Outcome) []uint64 {
	g.running--
	g.limit.done(now, o)
	return g.startNext(now)
}

// Cancel forgets a query that waits and reports whether it did.
func (g *Gate) Cancel(id uint64) bool {
	for _, f := range g.flows {
		if f.remove(id) {
			return true
		}
	}
	return false
}

// Limit returns how many queries may run at once.
func (g *Gate) Limit() int { return g.limit.whole() }

// Waiting returns how many queries wait.
func (g *Gate) waiting() int {
	waiting := 0
	for _, f := range g.flows {
		waiting += len(f.asks)
	}
	return waiting
}

// startNext starts queries while the limit allows. Those whose time has become
// too short are passed over; their owner notices by its own timer.
func (g *Gate) startNext(now time.Time) []uint64 {
	var started []uint64
	for g.running < g.limit.whole() {
		f := g.first()
		if f == nil {
			break
		}
		a := f.pop()
		if a.Deadline.Sub(now) <= g.limit.typical() {
			continue
		}
		g.clock = max(g.clock, f.virtual)
		f.virtual += 1 / f.weight
		g.running++
		g.limit.started(g.running)
		started = append(started, a.ID)
	}
	g.forget()
	return started
}
