package wqticket

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqfault"
)

// The seed is fixed; -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "1") }

var (
	start   = time.Unix(1_000_000, 0)
	content = Content{Tenant: "t", Service: "orders", Shard: "o1", Body: []byte("one pump")}
	sent    = Dispatch{Holder: "vm2", HolderEpoch: 7, Searcher: "s1"}
)

func newLedger() *Ledger {
	return &Ledger{
		VM: "vm1", Epoch: 42, Secret: []byte("sixteen bytes or more"),
		TTL: 30 * time.Second, ResultRetention: time.Minute, MaxCount: 4, MaxBytes: 100,
	}
}

func mint(t *testing.T, l *Ledger) ID {
	t.Helper()
	id, err := l.Mint(start)
	must.NoError(t, err)
	return id
}

func TestRepeatedRequestGetsTheRecordedResult(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	step, err := l.Begin(id, content, start)
	must.NoError(t, err)
	must.True(t, step.Run)
	must.NoError(t, l.Dispatch(id, sent, start.Add(time.Second), start))
	step, err = l.Begin(id, content, start)
	must.NoError(t, err)
	must.Eq(t, Decision{LastDispatch: sent}, step)
	l.Settle(id, Result{Outcome: Done, Body: []byte("ok")})
	step, err = l.Begin(id, content, start.Add(time.Minute))
	must.NoError(t, err)
	must.Eq(t, Done, step.Result.Outcome)
	must.Eq(t, "ok", string(step.Result.Body))
}

func TestOtherContentIsAConflict(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	_, err := l.Begin(id, content, start)
	must.NoError(t, err)
	moved := Content{Tenant: "to", Service: "rders", Shard: "o1", Body: content.Body}
	_, err = l.Begin(id, moved, start)
	must.Eq(t, wqfault.Conflict, wqfault.KindOf(err))
}

func TestForgedTicketIsRefused(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	id.Sequence++
	_, err := l.Begin(id, content, start)
	must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
}

func TestTicketOfAnotherStartIsUnknown(t *testing.T) {
	id := mint(t, newLedger())
	restarted := newLedger()
	restarted.Epoch++
	step, err := restarted.Begin(id, content, start)
	must.NoError(t, err)
	must.False(t, step.Run)
	must.Eq(t, Unknown, step.Result.Outcome)
}

func TestDeadlineIsCheckedAtDispatch(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	_, err := l.Begin(id, content, start)
	must.NoError(t, err)
	frozen := start.Add(10 * time.Second)
	err = l.Dispatch(id, sent, start.Add(time.Second), frozen)
	must.Eq(t, wqfault.Expired, wqfault.KindOf(err))
	err = l.Dispatch(id, sent, start.Add(time.Hour), start.Add(31*time.Second))
	must.Eq(t, wqfault.Expired, wqfault.KindOf(err))
	must.Eq(t, NotRun, l.Settle(id, Result{Outcome: NotRun}).Outcome)
}

func TestSecondSendNeedsProof(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	deadline := start.Add(time.Second)
	other := Dispatch{Holder: "vm3", HolderEpoch: 1, Searcher: "s2"}
	must.NoError(t, l.Dispatch(id, sent, deadline, start))
	must.Error(t, l.Dispatch(id, other, deadline, start))
	l.Retract(id, other)
	must.Error(t, l.Dispatch(id, other, deadline, start))
	l.Retract(id, sent)
	must.NoError(t, l.Dispatch(id, other, deadline, start))
	must.Eq(t, Unknown, l.Settle(id, Result{Outcome: NotRun}).Outcome)
	l.Retract(id, other)
	must.Error(t, l.Dispatch(id, sent, deadline, start))
	must.Eq(t, NotRun, l.Settle(id, Result{Outcome: NotRun}).Outcome)
}

func TestUnusedTicketEndsAsNotRun(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	must.Eq(t, 1, l.CountOpen(start))
	must.Eq(t, 0, l.CountOpen(start.Add(l.TTL)))
	step, err := l.Begin(id, content, start.Add(l.TTL))
	must.NoError(t, err)
	must.False(t, step.Run)
	must.Eq(t, NotRun, step.Result.Outcome)
	step, err = l.Lookup(id, start.Add(l.TTL+l.ResultRetention))
	must.NoError(t, err)
	must.Eq(t, Unknown, step.Result.Outcome)
}

func TestLedgerIsBounded(t *testing.T) {
	l := newLedger()
	for range l.MaxCount {
		id := mint(t, l)
		reply := Result{Outcome: Done, Body: make([]byte, 60)}
		must.Eq(t, reply, l.Settle(id, reply))
	}
	_, err := l.Mint(start)
	must.Eq(t, wqfault.Overloaded, wqfault.KindOf(err))
	must.Eq(t, 60, l.bytes)
	_, err = l.Mint(start.Add(l.TTL + l.ResultRetention))
	must.NoError(t, err)
	must.Eq(t, 0, l.bytes)
}

func TestParseReturnsWhatWasMinted(t *testing.T) {
	id := mint(t, newLedger())
	parsed, err := Parse(id.String())
	must.NoError(t, err)
	must.Eq(t, id, parsed)
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune("a0.+-1f")), 0, 40, -1).Draw(t, "text")
		if parsed, err := Parse(text); err == nil {
			must.Eq(t, text, parsed.String())
		}
	})
	for _, text := range []string{"", "a.b", id.String() + "0", strings.Repeat("a", 500), "vm1.042.1." + id.MAC} {
		_, err := Parse(text)
		test.Error(t, err, test.Sprint(text))
	}
}
