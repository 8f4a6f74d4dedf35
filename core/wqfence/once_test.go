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
	vmCount       = 3
	searcherCount = 2
	ticketTTL     = 30 * time.Second
)

// vm is one simulated VM, which both mints tickets and holds searchers.
type vm struct {
	ledger *wqticket.Ledger
	fence  *wqfence.Fence
}

// message is a message between two VMs. Messages stay in the network after
// delivery, so that they can arrive delayed, twice, out of order or never.
type message struct {
	kind     string // "write", "dispatch", "lookup", "reply"
	to       int
	ticket   wqticket.ID
	dispatch wqticket.Dispatch
	from     int
	result   wqticket.Result
}

// model simulates the VMs, the network between them and the searchers.
type model struct {
	t              *rapid.T
	now            time.Time
	lastEpoch      uint64
	vms            [vmCount]vm
	network        []message
	tickets        []wqticket.ID
	runCounts      map[uint64]int  // executions by ticket number, over all searchers
	reportedNotRun map[uint64]bool // by ticket number
}

func (w *model) restart(i int) {
	w.lastEpoch++
	w.vms[i] = vm{
		ledger: &wqticket.Ledger{
			VM: string(rune('a' + i)), Epoch: w.lastEpoch, Secret: []byte{byte(w.lastEpoch)},
			TTL: ticketTTL, ResultRetention: ticketTTL, MaxCount: 20, MaxBytes: 100,
		},
		fence: &wqfence.Fence{Epoch: w.lastEpoch, Retention: 2 * ticketTTL, MaxCount: 6, MaxBytes: 100},
	}
}

// ticketNumber returns a number that is unique over all VMs and epochs.
func ticketNumber(id wqticket.ID) uint64 { return id.Epoch<<32 | id.Sequence }

func (w *model) draw(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (w *model) deliver(m message) {
	switch m.kind {
	case "write":
		w.handleWrite(m)
	case "dispatch":
		w.handleDispatch(m)
	case "lookup":
		r := w.vms[m.to].fence.LookupOrRefuse(wqfence.KeyOf(m.ticket, m.dispatch.Searcher), m.dispatch.HolderEpoch, w.now)
		w.network = append(w.network, message{kind: "reply", to: m.from, ticket: m.ticket, dispatch: m.dispatch, result: r})
	case "reply":
		w.handleReply(m)
	}
}

func (w *model) handleWrite(m message) {
	decision, err := w.vms[m.to].ledger.Begin(m.ticket, wqticket.Content{}, w.now)
	must.NoError(w.t, err)
	if decision.Run {
		w.sendDispatch(m.to, m.ticket)
		return
	}
	w.checkResult(m.ticket, decision.Result)
	if decision.LastDispatch.Holder != "" && decision.Result.Outcome != wqticket.Done {
		w.sendLookup(m.to, m.ticket, decision.LastDispatch)
	}
}

// sendDispatch dispatches to a random holder, sometimes with an outdated epoch.
func (w *model) sendDispatch(from int, id wqticket.ID) {
	holder := w.draw("holder", vmCount)
	d := wqticket.Dispatch{
		Holder:      w.vms[holder].ledger.VM,
		HolderEpoch: w.vms[holder].fence.Epoch - uint64(w.draw("stale", 2)),
		Searcher:    string(rune('0' + w.draw("searcher", searcherCount))),
	}
	l := w.vms[from].ledger
	if l.Dispatch(id, d, w.now.Add(ticketTTL), w.now) != nil {
		w.checkResult(id, l.Settle(id, wqticket.Result{Outcome: wqticket.NotRun}))
		return
	}
	w.network = append(w.network, message{kind: "dispatch", to: holder, from: from, ticket: id, dispatch: d})
}

func (w *model) sendLookup(from int, id wqticket.ID, d wqticket.Dispatch) {
	w.network = append(w.network, message{kind: "lookup", to: int(d.Holder[0] - 'a'), from: from, ticket: id, dispatch: d})
}

func (w *model) handleDispatch(m message) {
	f := w.vms[m.to].fence
	k := wqfence.KeyOf(m.ticket, m.dispatch.Searcher)
	run, r := f.Admit(k, m.dispatch.HolderEpoch, w.now)
	if run {
		r = w.runOnSearcher(m.ticket)
		f.Finish(k, r)
	}
	w.network = append(w.network, message{kind: "reply", to: m.from, ticket: m.ticket, dispatch: m.dispatch, result: r})
}

// runOnSearcher simulates the exchange with a searcher: the request runs or
// not, and the reply may be lost.
func (w *model) runOnSearcher(id wqticket.ID) wqticket.Result {
	switch w.draw("searcher does", 4) {
	case 0:
		return wqticket.Result{Outcome: wqticket.NotRun}
	case 1:
		return wqticket.Result{Outcome: wqticket.Unknown}
	case 2:
		w.runCounts[ticketNumber(id)]++
		return wqticket.Result{Outcome: wqticket.Unknown}
	}
	w.runCounts[ticketNumber(id)]++
	return wqticket.Result{Outcome: wqticket.Done}
}

func (w *model) handleReply(m message) {
	l := w.vms[m.to].ledger
	if l.Epoch != m.ticket.Epoch || m.result.Outcome == wqticket.Pending {
		return
	}
	if m.result.Outcome != wqticket.NotRun {
		w.checkResult(m.ticket, l.Settle(m.ticket, m.result))
		return
	}
	l.Retract(m.ticket, m.dispatch)
	if w.draw("give up", 2) == 0 {
		w.checkResult(m.ticket, l.Settle(m.ticket, m.result))
		return
	}
	w.sendDispatch(m.to, m.ticket)
}

func (w *model) checkResult(id wqticket.ID, r wqticket.Result) {
	if r.Outcome == wqticket.NotRun {
		w.reportedNotRun[ticketNumber(id)] = true
	}
	if r.Outcome == wqticket.Done {
		must.Eq(w.t, 1, w.runCounts[ticketNumber(id)], must.Sprint("done means that it ran once"))
	}
}

func (w *model) step() {
	switch w.draw("step", 10) {
	case 0:
		if id, err := w.vms[w.draw("vm", vmCount)].ledger.Mint(w.now); err == nil {
			w.tickets = append(w.tickets, id)
		}
	case 1:
		w.now = w.now.Add(time.Duration(w.draw("seconds", 40)) * time.Second)
	case 2:
		if w.draw("restart", 4) == 0 {
			w.restart(w.draw("vm", vmCount))
		}
	case 3, 4:
		if len(w.tickets) > 0 {
			id := w.tickets[w.draw("ticket", len(w.tickets))]
			w.network = append(w.network, message{kind: "write", to: int(id.VM[0] - 'a'), ticket: id})
		}
	default:
		if len(w.network) > 0 {
			w.deliver(w.network[w.draw("message", len(w.network))])
		}
	}
}

// TestRequestRunsAtMostOnceUnderFaults guards against a request that runs
// twice, or runs after it was reported as not run, when messages are delayed,
// duplicated, reordered or lost and VMs pause and restart.
func TestRequestRunsAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{t: t, now: time.Unix(1_000_000, 0), runCounts: map[uint64]int{}, reportedNotRun: map[uint64]bool{}}
		for i := range vmCount {
			w.restart(i)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.step()
			for id, n := range w.runCounts {
				must.LessEq(t, 1, n, must.Sprint("a ticket ran twice"))
				must.False(t, w.reportedNotRun[id], must.Sprint("a ticket that was reported as not run has run"))
			}
		}
	})
}
