package wqmember_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqmember"
)

// fleet runs machines on a virtual clock and delivers their messages late,
// lost, doubled and out of order.
type fleet struct {
	now    time.Time
	random *rand.Rand
	timing wqmember.Timing
	nodes  []*node
	events eventQueue
	serial int
	sent   int // sent counts messages, replies apart.

	loss   float64                                 // loss is the share of messages lost, each way.
	double float64                                 // double is the share of messages delivered again, up to 2 s later.
	late   time.Duration                           // late is the most that a message takes, each way.
	cut    func(a, b string) bool                  // cut reports whether the addresses a and b can't reach each other.
	filter func(wqmember.Message) wqmember.Message // filter changes messages on the way.
	after  func(n *node)                           // after runs whenever a machine has handled something.
}

type node struct {
	*wqmember.Tracker
	running bool
	frozen  bool
	life    int
	timer   time.Time
	waiting []func()
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
		now:    time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, 1)),
		timing: wqmember.DefaultTiming(),
		late:   8 * time.Millisecond,
		cut:    func(string, string) bool { return false },
		filter: func(m wqmember.Message) wqmember.Message { return m },
		after:  func(*node) {},
	}
	for i := range size {
		f.nodes = append(f.nodes, &node{})
		f.start(i, fmt.Sprintf("vm-%d", i))
	}
	f.seed()
	return f
}

// start starts a process at the address of node i, under the given id.
func (f *fleet) start(i int, id string) {
	n := f.nodes[i]
	n.life++
	n.running, n.frozen, n.waiting, n.timer = true, false, nil, time.Time{}
	n.Tracker = &wqmember.Tracker{
		Self: wqmember.Member{
			ID: id, Address: fmt.Sprintf("10.0.0.%d:70", i), Zone: fmt.Sprintf("z%d", i%3), Region: "r",
			Epoch: uint64(f.now.UnixMilli()),
		},
		Random: rand.New(rand.NewPCG(f.random.Uint64(), 2)),
		Timing: f.timing,
	}
	n.Start(f.now)
	n.SetVMList(f.now, f.list())
	f.settle(n)
}

// list is the VM list without lag.
func (f *fleet) list() []wqmember.ListedVM {
	var list []wqmember.ListedVM
	for _, n := range f.nodes {
		if n.running {
			s := n.Self
			list = append(list, wqmember.ListedVM{ID: s.ID, Address: s.Address, Zone: s.Zone, Region: s.Region})
		}
	}
	return list
}

func (f *fleet) seed() {
	for _, n := range f.nodes {
		f.do(n, func() { n.SetVMList(f.now, f.list()) })
	}
}

func (f *fleet) at(t time.Time, run func()) {
	f.serial++
	heap.Push(&f.events, event{t, f.serial, run})
}

// run moves the clock on by d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// until runs until done, and returns the time that it took, at most limit.
func (f *fleet) until(limit time.Duration, done func() bool) time.Duration {
	start := f.now
	for !done() && f.now.Sub(start) < limit {
		f.run(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

// do runs a step of a process now, or when it wakes.
func (f *fleet) do(n *node, step func()) {
	if !n.running {
		return
	}
	if n.frozen {
		n.waiting = append(n.waiting, func() { f.do(n, step) })
		return
	}
	step()
	f.settle(n)
}

// settle sends what a machine has to send and sets its timer.
func (f *fleet) settle(n *node) {
	for _, s := range n.Tick(f.now) {
		f.deliver(n, s)
	}
	f.after(n)
	next := n.NextTick()
	if !n.timer.IsZero() && !next.Before(n.timer) && n.timer.After(f.now) {
		return
	}
	n.timer = next
	life := n.life
	f.at(next, func() {
		if n.life == life && n.timer.Equal(next) {
			f.do(n, func() {})
		}
	})
}

func (f *fleet) deliver(from *node, s wqmember.Envelope) {
	f.sent++
	to := f.nodeAt(s.To.Address)
	failAt := f.now.Add(f.timing.AckTimeout)
	life, source := from.life, from.Self.Address
	answered := false
	f.at(failAt, func() {
		if from.life == life && !answered {
			answered = true
			f.do(from, func() { from.HandleNoReply(f.now, s) })
		}
	})
	if to == nil || f.cut(source, s.To.Address) || f.random.Float64() < f.loss {
		return
	}
	message := f.filter(s.Message)
	f.at(f.now.Add(f.delay()), func() {
		f.do(to, func() {
			reply := f.filter(to.HandleMessage(f.now, message))
			if f.cut(source, s.To.Address) || f.random.Float64() < f.loss {
				return
			}
			f.at(f.now.Add(f.delay()), func() {
				if from.life == life && !answered {
					answered = true
					f.do(from, func() { from.HandleReply(f.now, s, reply) })
				}
			})
		})
	})
	if f.random.Float64() < f.double {
		f.at(f.now.Add(time.Duration(f.random.Int64N(int64(2*time.Second)))), func() {
			f.do(to, func() { to.HandleMessage(f.now, message) })
		})
	}
}

func (f *fleet) delay() time.Duration {
	return 1 + time.Duration(f.random.Int64N(int64(f.late)))
}

func (f *fleet) nodeAt(address string) *node {
	for _, n := range f.nodes {
		if n.running && n.Self.Address == address {
			return n
		}
	}
	return nil
}

func (f *fleet) wake(n *node) {
	n.frozen = false
	waiting := n.waiting
	n.waiting = nil
	for _, step := range waiting {
		step()
	}
}

// state returns what the node believes of the VM with this id; Left when it
// knows nothing.
func (n *node) state(id string) wqmember.State {
	for _, m := range n.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return wqmember.Left
}

// all reports whether each running node but those excepted believes this of id.
func (f *fleet) all(id string, want wqmember.State, except ...*node) bool {
	for _, n := range f.nodes {
		skip := !n.running
		for _, e := range except {
			skip = skip || n == e
		}
		if !skip && n.state(id) != want {
			return false
		}
	}
	return true
}

// agreed reports whether all running nodes know each other alive and none is isolated.
func (f *fleet) agreed() bool {
	for _, n := range f.nodes {
		if n.running && (!f.all(n.Self.ID, wqmember.Alive) || n.Isolated()) {
			return false
		}
	}
	return true
}
