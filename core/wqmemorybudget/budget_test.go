package wqmemorybudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqmemorybudget"
)

const (
	cost  = 24 << 10
	limit = 8 << 20
	step  = 10 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

func newBudget(connections int) *wqmemorybudget.Budget[int] {
	return &wqmemorybudget.Budget[int]{Limit: limit, MaxConnections: connections, ConnectionCost: cost}
}

type account = wqmemorybudget.Account[int]

// client is one client of a simulation. It sends whole requests of its size, or stops
// short of their end and stays open.
type client struct {
	size, rate     int64 // bytes, bytes per step
	stopsShort     bool
	account        *account
	sent           int64
	waitUntil      time.Time
	served, failed int
}

// advance moves a client forward by one step and returns the connections to close.
func (c *client) advance(b *wqmemorybudget.Budget[int], id int, now time.Time) []int {
	var toClose []int
	switch {
	case now.Before(c.waitUntil):
	case c.account == nil:
		c.sent = 0
		c.account, toClose = b.Open(now, id)
	case c.sent == c.size && c.stopsShort:
	case c.sent == c.size:
		c.served++
		c.sent, c.waitUntil = 0, now.Add(100*time.Millisecond)
		b.Reset(now, c.account)
		c.account.SetPhase(wqmemorybudget.Idle)
	default:
		c.account.SetPhase(wqmemorybudget.Receiving)
		n := min(c.rate, c.size-c.sent)
		var ok bool
		if ok, toClose = b.Reserve(now, c.account, n); !ok {
			c.end(b, now)
			return toClose
		}
		c.account.AddProgress(now, int(n))
		c.sent += n
	}
	return toClose
}

// end closes the connection of a client, which connects again later.
func (c *client) end(b *wqmemorybudget.Budget[int], now time.Time) {
	b.Close(c.account)
	c.account, c.waitUntil = nil, now.Add(100*time.Millisecond)
	if c.sent > 0 {
		c.failed++
	}
}

// Guards against a few clients that hold everything while ordinary ones are refused. The
// load is ten abusive clients for each ordinary one, which hold twelve times the limit.
func TestOrdinaryClientsOutlastTenTimesAsManyAbusiveOnes(t *testing.T) {
	for name, abusive := range map[string]client{
		"stop short":          {size: 256 << 10, rate: 32 << 10, stopsShort: true},
		"slow pieces":         {size: 256 << 10, rate: 64, stopsShort: true},
		"send nothing":        {size: 0, stopsShort: true},
		"whole, large, quick": {size: 256 << 10, rate: 256 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBudget(200)
			clients := make([]client, 440)
			for i := range clients {
				if clients[i] = abusive; i%11 == 0 {
					clients[i] = client{size: 6 << 10, rate: 1 << 10}
				}
			}
			for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
				for i := range clients {
					for _, id := range clients[i].advance(b, i, now) {
						clients[id].end(b, now)
					}
				}
				must.LessEq(t, limit+256<<10, b.Counts().Used)
			}
			served, failed := 0, 0
			for i := 0; i < len(clients); i += 11 {
				served, failed = served+clients[i].served, failed+clients[i].failed
			}
			t.Logf("ordinary clients: %d served, %d failed", served, failed)
			must.GreaterEq(t, 20*failed, served, must.Sprint("19 of 20 requests of ordinary clients are served"))
		})
	}
}

// Guards against a request inside the limits that is refused although nothing else is held.
func TestLoneRequestIsServedWhateverItsSize(t *testing.T) {
	b := newBudget(10)
	a, _ := b.Open(start, 1)
	a.SetPhase(wqmemorybudget.Receiving)
	for range 4 {
		ok, toClose := b.Reserve(start, a, limit)
		must.True(t, ok)
		must.SliceEmpty(t, toClose)
		a.AddProgress(start, limit)
		a.SetPhase(wqmemorybudget.Running)
	}
	other, _ := b.Open(start, 2)
	ok, _ := b.Reserve(start, other, 1<<10)
	must.False(t, ok, must.Sprint("nothing is free"))
	b.Close(a)
	ok, _ = b.Reserve(start, other, 1<<10)
	must.True(t, ok)
}

// Guards against new connections that displace those whose requests were served, also
// when these hold much while they are idle.
func TestSilentConnectionGoesBeforeAUsedOne(t *testing.T) {
	b := newBudget(2)
	used, _ := b.Open(start, 1)
	_, _ = b.Reserve(start, used, 4*cost)
	used.AddProgress(start, 1)
	b.MarkUsed(start, used)
	_, _ = b.Open(start.Add(time.Second), 2)
	_, toClose := b.Open(start.Add(2*time.Second), 3)
	must.Eq(t, []int{2}, toClose)
}

// Guards against replies that nobody reads, whose sum exceeds the limit.
func TestRepliesBeyondTheLimitAreClosed(t *testing.T) {
	b := newBudget(100)
	closed := 0
	for i := range 100 {
		a, _ := b.Open(start, i)
		a.SetPhase(wqmemorybudget.Replying)
		_, toClose := b.Charge(start, a, 512<<10)
		closed += len(toClose)
	}
	must.GreaterEq(t, 80, closed)
}

// Guards against memory that is lost or counted twice, and against a request that runs
// and is closed.
func TestCountsMatchAnySequenceOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(8)
		held := make(map[*account]int64)
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Int64Range(0, limit/2).Draw(t, "bytes")
			var toClose []int
			for a := range held {
				a.SetPhase(wqmemorybudget.Phase(rapid.IntRange(0, 3).Draw(t, "phase")))
				var ok bool
				switch rapid.IntRange(0, 3).Draw(t, "call") {
				case 0:
					if ok, toClose = b.Reserve(now, a, n); ok {
						held[a] += n
					}
				case 1:
					_, toClose = b.Charge(now, a, n)
					b.Reset(now, a)
					held[a] = cost
				case 2:
					b.Release(a, n)
					held[a] = max(held[a]-n, cost)
				case 3:
					b.Close(a)
					delete(held, a)
				}
				break //nolint:staticcheck // Any one account.
			}
			a, evicted := b.Open(now, 0)
			if a != nil {
				held[a] = cost
			}
			if len(toClose)+len(evicted) > 0 { // The caller closes them; here all that don't run.
				for a := range held {
					if a.Phase() != wqmemorybudget.Running {
						b.Close(a)
						delete(held, a)
					}
				}
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			must.Eq(t, sum, b.Counts().Used)
			must.Eq(t, len(held), b.Counts().Connections)
		}
	})
}
