package wqdrain

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// The seed is fixed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_000_000, 0)

func newDrain() *Drain {
	return &Drain{BalancerLag: 2 * time.Second, Timeout: 45 * time.Second, CloseReserve: time.Second}
}

func TestStopWaitsForTheBalancerAndForWork(t *testing.T) {
	d := newDrain()
	must.Eq(t, Serving, d.Advance(start, Work{}))
	d.Begin(start)
	must.Eq(t, Unready, d.Advance(start.Add(time.Second), Work{}))
	must.Eq(t, start.Add(2*time.Second), d.NextAdvance())
	must.Eq(t, Draining, d.Advance(d.NextAdvance(), Work{Requests: 1}))
	must.Eq(t, Draining, d.Advance(start.Add(9*time.Second), Work{Tickets: 1}))
	must.Eq(t, Closing, d.Advance(start.Add(10*time.Second), Work{}))
	must.True(t, d.Aborted().Empty())
	d.FinishClosing()
	must.Eq(t, Closed, d.Advance(start.Add(10*time.Second), Work{}))
}

func TestSecondSignalDoesNotShortenTheStop(t *testing.T) {
	d := newDrain()
	d.Begin(start)
	d.Advance(start.Add(3*time.Second), Work{Requests: 1})
	d.Begin(start.Add(4 * time.Second))
	must.Eq(t, Draining, d.Advance(start.Add(4*time.Second), Work{Requests: 1}))
	must.Eq(t, start.Add(45*time.Second), d.Deadline())
}

func TestTimeoutAbortsWorkThatHangs(t *testing.T) {
	d := newDrain()
	d.Begin(start)
	hanging := Work{SendsInFlight: 2}
	must.Eq(t, Draining, d.Advance(start.Add(43*time.Second), hanging))
	must.Eq(t, Closing, d.Advance(d.NextAdvance(), hanging))
	must.Eq(t, hanging, d.Aborted())
	must.Eq(t, Closed, d.Advance(d.NextAdvance(), hanging))
}

// TestPhasesAdvanceInOrder checks for random work and times that no phase is
// passed backwards, that work is aborted only at the timeout, and that the stop
// ends by its deadline.
func TestPhasesAdvanceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDrain()
		now, previous := start, Serving
		d.Begin(now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond)
			w := Work{Requests: rapid.IntRange(0, 1).Draw(t, "requests"), Tickets: rapid.IntRange(0, 1).Draw(t, "tickets")}
			p := d.Advance(now, w)
			must.GreaterEq(t, previous, p)
			if previous < Closing && p >= Closing && now.Before(d.closeAt()) {
				must.True(t, w.Empty(), must.Sprint("work was aborted before the timeout"))
				must.False(t, now.Before(start.Add(d.BalancerLag)))
			}
			if !now.Before(d.Deadline()) {
				must.Eq(t, Closed, p)
			}
			previous = p
		}
	})
}

// Guards against a stop that closes connections whose requests have no reply yet.
func TestRequestsThatAreLeftEndBeforeConnectionsClose(t *testing.T) {
	d := newDrain()
	d.EndReserve = 500 * time.Millisecond
	d.Begin(start)
	hanging := Work{Requests: 1}
	must.Eq(t, Draining, d.Advance(start.Add(43*time.Second), hanging))
	must.Eq(t, start.Add(43500*time.Millisecond), d.NextAdvance())
	must.Eq(t, Ending, d.Advance(d.NextAdvance(), hanging))
	must.Eq(t, start.Add(44*time.Second), d.NextAdvance())
	must.Eq(t, Closing, d.Advance(start.Add(43600*time.Millisecond), Work{}))
	must.True(t, d.Aborted().Empty())
}
