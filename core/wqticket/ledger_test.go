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
	mintTime = time.Unix(1_000_000, 0)
	order    = Content{Tenant: "t", Service: "orders", Shard: "o1", Body: []byte("one pump")}
	dispatch = Dispatch{Holder: "vm2", HolderEpoch: 7, Searcher: "s1"}
)

func newLedger() *Ledger {
	return &Ledger{
		VM: "vm1", Epoch: 42, Secret: []byte("sixteen bytes or more"),
		TTL: 30 * time.Second, ResultRetention: time.Minute, MaxCount: 4, MaxBytes: 100,
	}
}

func mint(t *testing.T, l *Ledger) ID {
	t.Helper()
	id, err := l.Mint(mintTime)
	must.NoError(t, err)
	return id
}

func TestRepeatedRequestGetsTheRecordedResult(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	decision, err := l.Begin(id, order, mintTime)
	must.NoError(t, err)
	must.True(t, decision.Run)
	must.NoError(t, l.Dispatch(id, dispatch, mintTime.Add(time.Second), mintTime))
	decision, err = l.Begin(id, order, mintTime)
	must.NoError(t, err)
	must.Eq(t, Decision{LastDispatch: dispatch}, decision)
	l.Settle(id, Result{Outcome: Done, Body: []byte("ok")})
	decision, err = l.Begin(id, order, mintTime.Add(time.Minute))
	must.NoError(t, err)
	must.Eq(t, Done, decision.Result.Outcome)
	must.Eq(t, "ok", string(decision.Result.Body))
}

func TestOtherContentUnderTheSameTicketIsAConflict(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	_, err := l.Begin(id, order, mintTime)
	must.NoError(t, err)
	otherContent := Content{Tenant: "to", Service: "rders", Shard: "o1", Body: order.Body}
	_, err = l.Begin(id, otherContent, mintTime)
	must.Eq(t, wqfault.Conflict, wqfault.KindOf(err))
}

func TestForgedTicketIsRefused(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	id.Sequence++
	_, err := l.Begin(id, order, mintTime)
	must.Eq(t, wqfault.BadInput, wqfault.KindOf(err))
}

func TestOutcomeOfATicketFromBeforeARestartIsUnknown(t *testing.T) {
	id := mint(t, newLedger())
	restarted := newLedger()
	restarted.Epoch++
	decision, err := restarted.Begin(id, order, mintTime)
	must.NoError(t, err)
	must.False(t, decision.Run)
	must.Eq(t, Unknown, decision.Result.Outcome)
}

func TestDeadlineIsCheckedAtDispatch(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	_, err := l.Begin(id, order, mintTime)
	must.NoError(t, err)
	resumedAt := mintTime.Add(10 * time.Second)
	err = l.Dispatch(id, dispatch, mintTime.Add(time.Second), resumedAt)
	must.Eq(t, wqfault.Expired, wqfault.KindOf(err))
	err = l.Dispatch(id, dispatch, mintTime.Add(time.Hour), mintTime.Add(31*time.Second))
	must.Eq(t, wqfault.Expired, wqfault.KindOf(err))
	must.Eq(t, NotRun, l.Settle(id, Result{Outcome: NotRun}).Outcome)
}

func TestSecondDispatchNeedsProofThatTheFirstDidNotRun(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	deadline := mintTime.Add(time.Second)
	other := Dispatch{Holder: "vm3", HolderEpoch: 1, Searcher: "s2"}
	must.NoError(t, l.Dispatch(id, dispatch, deadline, mintTime))
	must.Error(t, l.Dispatch(id, other, deadline, mintTime))
	l.Retract(id, other)
	must.Error(t, l.Dispatch(id, other, deadline, mintTime))
	l.Retract(id, dispatch)
	must.NoError(t, l.Dispatch(id, other, deadline, mintTime))
	must.Eq(t, Unknown, l.Settle(id, Result{Outcome: NotRun}).Outcome)
	l.Retract(id, other)
	must.Error(t, l.Dispatch(id, dispatch, deadline, mintTime))
	must.Eq(t, NotRun, l.Settle(id, Result{Outcome: NotRun}).Outcome)
}

func TestUnusedTicketExpiresAsNotRun(t *testing.T) {
	l := newLedger()
	id := mint(t, l)
	must.Eq(t, 1, l.CountOpen(mintTime))
	must.Eq(t, 0, l.CountOpen(mintTime.Add(l.TTL)))
	decision, err := l.Begin(id, order, mintTime.Add(l.TTL))
	must.NoError(t, err)
	must.False(t, decision.Run)
	must.Eq(t, NotRun, decision.Result.Outcome)
	decision, err = l.Lookup(id, mintTime.Add(l.TTL+l.ResultRetention))
	must.NoError(t, err)
	must.Eq(t, Unknown, decision.Result.Outcome)
}

func TestLedgerBoundsTicketsAndReplyBytes(t *testing.T) {
	l := newLedger()
	for range l.MaxCount {
		id := mint(t, l)
		reply := Result{Outcome: Done, Body: make([]byte, 60)}
		must.Eq(t, reply, l.Settle(id, reply))
	}
	_, err := l.Mint(mintTime)
	must.Eq(t, wqfault.Overloaded, wqfault.KindOf(err))
	must.Eq(t, 60, l.replyBytes)
	_, err = l.Mint(mintTime.Add(l.TTL + l.ResultRetention))
	must.NoError(t, err)
	must.Eq(t, 0, l.replyBytes)
}

func TestParseInvertsStringAndRejectsOtherTexts(t *testing.T) {
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
