package wqfence_test

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqfence"
	"wisteriaquay/core/wqticket"
)

// The seed is fixed; -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	vms       = 3
	searchers = 2
	life      = 30 * time.Second
)

// vm is one machine of the model: a minting VM and a holder in one.
type vm struct {
	ledger *wqticket.Ledger
	fence  *wqfence.Fence
}

// message is anything on the wire between two VMs. Messages stay in the bag
// after their delivery, so that they come late, doubled, out of order or never.
type message struct {
	kind string // "write", "dispatch", "ask", "reply"
	to   int
	id   wqticket.ID
	sent wqticket.Dispatch
	from int
	r    wqticket.Result
}

type world struct {
	t        *rapid.T
	now      time.Time
	epochs   uint64
	machines [vms]vm
	bag      []message
	tickets  []wqticket.ID
	runs     map[uint64]int // runs counts by ticket, over all searchers.
	notRun   map[uint64]bool
}

func (w *world) boot(i int) {
	w.epochs++
	w.machines[i] = vm{
		ledger: &wqticket.Ledger{
			VM: string(rune('a' + i)), Epoch: w.epochs, Secret: []byte{byte(w.epochs)},
			TTL: life, ResultRetention: life, MaxCount: 20, MaxBytes: 100,
		},
		fence: &wqfence.Fence{Epoch: w.epochs, Retention: 2 * life, MaxCount: 6, MaxBytes: 100},
	}
}

// serial is a number for a ticket that is unique over all VMs and starts.
func serial(id wqticket.ID) uint64 { return id.Epoch<<32 | id.Sequence }

func (w *world) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (w *world) deliver(m message) {
	switch m.kind {
	case "write":
		w.write(m)
	case "dispatch":
		w.dispatch(m)
	case "ask":
		r := w.machines[m.to].fence.LookupOrRefuse(wqfence.KeyOf(m.id, m.sent.Searcher), m.sent.HolderEpoch, w.now)
		w.bag = append(w.bag, message{kind: "reply", to: m.from, id: m.id, sent: m.sent, r: r})
	case "reply":
		w.reply(m)
	}
}

func (w *world) write(m message) {
	step, err := w.machines[m.to].ledger.Begin(m.id, wqticket.Content{}, w.now)
	must.NoError(w.t, err)
	if step.Run {
		w.send(m.to, m.id)
		return
	}
	w.hear(m.id, step.Result)
	if step.LastDispatch.Holder != "" && step.Result.Outcome != wqticket.Done {
		w.ask(m.to, m.id, step.LastDispatch)
	}
}

// send dispatches to any holder, of which an older start may be known.
func (w *world) send(from int, id wqticket.ID) {
	holder := w.pick("holder", vms)
	d := wqticket.Dispatch{
		Holder:      w.machines[holder].ledger.VM,
		HolderEpoch: w.machines[holder].fence.Epoch - uint64(w.pick("stale", 2)),
		Searcher:    string(rune('0' + w.pick("searcher", searchers))),
	}
	l := w.machines[from].ledger
	if l.Dispatch(id, d, w.now.Add(life), w.now) != nil {
		w.hear(id, l.Settle(id, wqticket.Result{Outcome: wqticket.NotRun}))
		return
	}
	w.bag = append(w.bag, message{kind: "dispatch", to: holder, from: from, id: id, sent: d})
}

func (w *world) ask(from int, id wqticket.ID, d wqticket.Dispatch) {
	w.bag = append(w.bag, message{kind: "ask", to: int(d.Holder[0] - 'a'), from: from, id: id, sent: d})
}

func (w *world) dispatch(m message) {
	f := w.machines[m.to].fence
	k := wqfence.KeyOf(m.id, m.sent.Searcher)
	run, r := f.Admit(k, m.sent.HolderEpoch, w.now)
	if run {
		r = w.run(m.id)
		f.Finish(k, r)
	}
	w.bag = append(w.bag, message{kind: "reply", to: m.from, id: m.id, sent: m.sent, r: r})
}

// run is the exchange with a searcher: it runs, or not, or the reply is lost.
func (w *world) run(id wqticket.ID) wqticket.Result {
	switch w.pick("searcher does", 4) {
	case 0:
		return wqticket.Result{Outcome: wqticket.NotRun}
	case 1:
		return wqticket.Result{Outcome: wqticket.Unknown}
	case 2:
		w.runs[serial(id)]++
		return wqticket.Result{Outcome: wqticket.Unknown}
	}
	w.runs[serial(id)]++
	return wqticket.Result{Outcome: wqticket.Done}
}

func (w *world) reply(m message) {
	l := w.machines[m.to].ledger
	if l.Epoch != m.id.Epoch || m.r.Outcome == wqticket.Pending {
		return
	}
	if m.r.Outcome != wqticket.NotRun {
		w.hear(m.id, l.Settle(m.id, m.r))
		return
	}
	l.Retract(m.id, m.sent)
	if w.pick("give up", 2) == 0 {
		w.hear(m.id, l.Settle(m.id, m.r))
		return
	}
	w.send(m.to, m.id)
}

func (w *world) hear(id wqticket.ID, r wqticket.Result) {
	if r.Outcome == wqticket.NotRun {
		w.notRun[serial(id)] = true
	}
	if r.Outcome == wqticket.Done {
		must.Eq(w.t, 1, w.runs[serial(id)], must.Sprint("done means that it ran once"))
	}
}

func (w *world) step() {
	switch w.pick("step", 10) {
	case 0:
		if id, err := w.machines[w.pick("vm", vms)].ledger.Mint(w.now); err == nil {
			w.tickets = append(w.tickets, id)
		}
	case 1:
		w.now = w.now.Add(time.Duration(w.pick("seconds", 40)) * time.Second)
	case 2:
		if w.pick("restart", 4) == 0 {
			w.boot(w.pick("vm", vms))
		}
	case 3, 4:
		if len(w.tickets) > 0 {
			id := w.tickets[w.pick("ticket", len(w.tickets))]
			w.bag = append(w.bag, message{kind: "write", to: int(id.VM[0] - 'a'), id: id})
		}
	default:
		if len(w.bag) > 0 {
			w.deliver(w.bag[w.pick("message", len(w.bag))])
		}
	}
}

// TestAtMostOnce drives several VMs through late, doubled, reordered and lost
// messages, pauses and restarts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1_000_000, 0), runs: map[uint64]int{}, notRun: map[uint64]bool{}}
		for i := range vms {
			w.boot(i)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.step()
			for id, n := range w.runs {
				must.LessEq(t, 1, n, must.Sprint("a ticket ran twice"))
				must.False(t, w.notRun[id], must.Sprint("a ticket that was said not to run ran"))
			}
		}
	})
}
