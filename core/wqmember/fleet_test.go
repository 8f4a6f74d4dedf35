package wqmember_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqmember"
)

// fleet simulates VMs on a virtual clock. Their messages may be delayed, lost,
// duplicated and reordered.
type fleet struct {
	now        time.Time
	random     *rand.Rand
	timing     wqmember.Timing
	nodes      []*node
	events     eventQueue
	lastSerial int
	sent       int // sent counts messages without replies.

	lossRate      float64                                 // lossRate is the probability that a message or a reply is lost.
	duplicateRate float64                                 // duplicateRate is the probability that a message is delivered again, up to 2 s later.
	maxDelay      time.Duration                           // maxDelay is the maximum latency of a message or a reply.
	partitioned   func(a, b string) bool                  // partitioned reports whether addresses a and b can't reach each other.
	transform     func(wqmember.Message) wqmember.Message // transform may change a message or reply in transit.
	afterStep     func(n *node)                           // afterStep runs after each step of a node.
}

// node is the process at one address.
type node struct {
	*wqmember.Tracker
	running      bool
	frozen       bool
	startCount   int // startCount tells the processes at the address apart.
	wakeAt       time.Time
	pendingSteps []func() // pendingSteps run when a frozen node is resumed.
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{
		now:         time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC),
		random:      rand.New(rand.NewPCG(seed, 1)),
		timing:      wqmember.DefaultTiming(),
		maxDelay:    8 * time.Millisecond,
		partitioned: func(string, string) bool { return false },
		transform:   func(m wqmember.Message) wqmember.Message { return m },
		afterStep:   func(*node) {},
	}
	for i := range size {
		f.nodes = append(f.nodes, &node{})
		f.start(i, fmt.Sprintf("vm-%d", i))
	}
	f.distributeVMList()
	return f
}

// start starts a process with this id at the address of node i.
func (f *fleet) start(i int, id string) {
	n := f.nodes[i]
	n.startCount++
	n.running, n.frozen, n.pendingSteps, n.wakeAt = true, false, nil, time.Time{}
	n.Tracker = &wqmember.Tracker{
		Self: wqmember.Member{
			ID: id, Address: fmt.Sprintf("10.0.0.%d:70", i), Zone: fmt.Sprintf("z%d", i%3), Region: "r",
			Epoch: uint64(f.now.UnixMilli()),
		},
		Random: rand.New(rand.NewPCG(f.random.Uint64(), 2)),
		Timing: f.timing,
	}
	n.Start(f.now)
	n.SetVMList(f.now, f.vmList())
	f.finishStep(n)
}

// vmList returns the current VM list.
func (f *fleet) vmList() []wqmember.ListedVM {
	var list []wqmember.ListedVM
	for _, n := range f.nodes {
		if n.running {
			s := n.Self
			list = append(list, wqmember.ListedVM{ID: s.ID, Address: s.Address, Zone: s.Zone, Region: s.Region})
		}
	}
	return list
}

func (f *fleet) distributeVMList() {
	for _, n := range f.nodes {
		f.runStep(n, func() { n.SetVMList(f.now, f.vmList()) })
	}
}

func (f *fleet) schedule(t time.Time, run func()) {
	f.lastSerial++
	heap.Push(&f.events, event{t, f.lastSerial, run})
}

// advance runs the events of the next d.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// advanceUntil advances until condition holds or limit has passed, and returns
// the simulated time that it took.
func (f *fleet) advanceUntil(limit time.Duration, condition func() bool) time.Duration {
	start := f.now
	for !condition() && f.now.Sub(start) < limit {
		f.advance(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

// runStep runs a step of a node, after the freeze if it is frozen. It drops the
// step when the node is not running.
func (f *fleet) runStep(n *node, step func()) {
	if !n.running {
		return
	}
	if n.frozen {
		n.pendingSteps = append(n.pendingSteps, func() { f.runStep(n, step) })
		return
	}
	step()
	f.finishStep(n)
}

// finishStep sends the messages of a node's tracker and schedules its next tick.
func (f *fleet) finishStep(n *node) {
	for _, e := range n.Tick(f.now) {
		f.deliver(n, e)
	}
	f.afterStep(n)
	next := n.NextTick()
	if !n.wakeAt.IsZero() && !next.Before(n.wakeAt) && n.wakeAt.After(f.now) {
		return
	}
	n.wakeAt = next
	startCount := n.startCount
	f.schedule(next, func() {
		if n.startCount == startCount && n.wakeAt.Equal(next) {
			f.runStep(n, func() {})
		}
	})
}

// deliver schedules the delivery of a message and then its reply or timeout.
func (f *fleet) deliver(from *node, e wqmember.Envelope) {
	f.sent++
	to := f.nodeAt(e.To.Address)
	timeoutAt := f.now.Add(f.timing.AckTimeout)
	startCount, fromAddress := from.startCount, from.Self.Address
	answered := false
	f.schedule(timeoutAt, func() {
		if from.startCount == startCount && !answered {
			answered = true
			f.runStep(from, func() { from.HandleNoReply(f.now, e) })
		}
	})
	if to == nil || f.partitioned(fromAddress, e.To.Address) || f.random.Float64() < f.lossRate {
		return
	}
	message := f.transform(e.Message)
	f.schedule(f.now.Add(f.randomDelay()), func() {
		f.runStep(to, func() {
			reply := f.transform(to.HandleMessage(f.now, message))
			if f.partitioned(fromAddress, e.To.Address) || f.random.Float64() < f.lossRate {
				return
			}
			f.schedule(f.now.Add(f.randomDelay()), func() {
				if from.startCount == startCount && !answered {
					answered = true
					f.runStep(from, func() { from.HandleReply(f.now, e, reply) })
				}
			})
		})
	})
	if f.random.Float64() < f.duplicateRate {
		f.schedule(f.now.Add(time.Duration(f.random.Int64N(int64(2*time.Second)))), func() {
			f.runStep(to, func() { to.HandleMessage(f.now, message) })
		})
	}
}

func (f *fleet) randomDelay() time.Duration {
	return 1 + time.Duration(f.random.Int64N(int64(f.maxDelay)))
}

func (f *fleet) nodeAt(address string) *node {
	for _, n := range f.nodes {
		if n.running && n.Self.Address == address {
			return n
		}
	}
	return nil
}

// resume ends the freeze of a node and runs its pending steps.
func (f *fleet) resume(n *node) {
	n.frozen = false
	steps := n.pendingSteps
	n.pendingSteps = nil
	for _, step := range steps {
		step()
	}
}

// stateOf returns the state that the node records of a VM; Left when it has no
// entry.
func (n *node) stateOf(id string) wqmember.State {
	for _, m := range n.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return wqmember.Left
}

// allRecord reports whether all running nodes except those given record this
// state of a VM.
func (f *fleet) allRecord(id string, want wqmember.State, except ...*node) bool {
	for _, n := range f.nodes {
		skip := !n.running
		for _, e := range except {
			skip = skip || n == e
		}
		if !skip && n.stateOf(id) != want {
			return false
		}
	}
	return true
}

// converged reports whether all running nodes record each other as alive and none
// is isolated.
func (f *fleet) converged() bool {
	for _, n := range f.nodes {
		if n.running && (!f.allRecord(n.Self.ID, wqmember.Alive) || n.Isolated()) {
			return false
		}
	}
	return true
}
