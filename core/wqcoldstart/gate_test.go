package wqcoldstart_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqcoldstart"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

const step = 10 * time.Millisecond

func ExampleGate() {
	start := time.Unix(0, 0)
	g := wqcoldstart.Gate{Share: 3, ColdShare: 1, ColdStartDuration: 10 * time.Second}
	fmt.Println("first sight:", g.MaxInFlight(start))
	g.ReplyReceived(start, "a81f", true)
	fmt.Println("says cold:", g.MaxInFlight(start))
	for range 3 {
		g.ReplyReceived(start.Add(10*time.Second), "a81f", false)
	}
	fmt.Println("warm:", g.MaxInFlight(start.Add(10*time.Second)))
	g.ConnectionLost()
	fmt.Println("connection lost:", g.MaxInFlight(start.Add(11*time.Second)))
	g.ReplyReceived(start.Add(11*time.Second), "a81f", false)
	fmt.Println("same incarnation:", g.MaxInFlight(start.Add(11*time.Second)))
	// Output:
	// first sight: 1
	// says cold: 1
	// warm: 3
	// connection lost: 1
	// same incarnation: 3
}

// call is a request in flight to the simulated target.
type call struct {
	incarnation int
	ends        int
}

// holder simulates a VM that sends to the target.
type holder struct {
	gate        wqcoldstart.Gate
	calls       []call
	connectedTo int // incarnation that its open connections lead to
}

// target simulates a searcher that must not get more than coldSlots requests at
// a time during cold start. Times are in steps of 10 ms.
type target struct {
	coldSlots       int
	warmSteps       int
	downSteps       int
	incarnation     int
	servingFrom     int  // step at which the incarnation starts to serve
	reportsOnlyWarm bool // whether it reports warm even during cold start
	holders         []*holder
}

func (m *target) name() string              { return fmt.Sprint(m.incarnation) }
func (m *target) cold(now int) bool         { return now < m.servingFrom+m.warmSteps }
func (m *target) down(now int) bool         { return now < m.servingFrom }
func at(now int) time.Time                  { return time.Unix(1000, 0).Add(time.Duration(now) * step) }
func (m *target) reportedCold(now int) bool { return m.cold(now) && !m.reportsOnlyWarm }
func (m *target) warmupTime() time.Duration { return time.Duration(m.warmSteps) * step }

func (m *target) inFlight() int {
	count := 0
	for _, h := range m.holders {
		for _, c := range h.calls {
			if c.incarnation == m.incarnation {
				count++
			}
		}
	}
	return count
}

func (m *target) restart(now int) {
	m.incarnation++
	m.servingFrom = now + m.downSteps
}

// runHolder ends the calls of one holder that are due and sends as many new
// ones as its gate allows.
func (m *target) runHolder(t *rapid.T, h *holder, now int) {
	pending := h.calls[:0]
	for _, c := range h.calls {
		switch {
		case c.incarnation != m.incarnation:
			h.gate.ConnectionLost()
		case c.ends <= now:
			h.gate.ReplyReceived(at(now), m.name(), m.reportedCold(now))
		default:
			pending = append(pending, c)
		}
	}
	h.calls = pending
	for len(h.calls) < h.gate.MaxInFlight(at(now)) {
		if m.down(now) || h.connectedTo != m.incarnation {
			h.gate.ConnectionLost()
			if !m.down(now) {
				h.connectedTo = m.incarnation
			}
			return
		}
		h.calls = append(h.calls, call{m.incarnation, now + rapid.IntRange(1, 5).Draw(t, "steps")})
	}
}

func share(total, i, count int) int {
	n := total / count
	if i < total%count {
		n++
	}
	return n
}

func newTarget(t *rapid.T) *target {
	holders := rapid.IntRange(1, 5).Draw(t, "holders")
	m := &target{
		coldSlots:       rapid.IntRange(1, 4).Draw(t, "coldSlots"),
		warmSteps:       rapid.IntRange(60, 120).Draw(t, "warmSteps"),
		downSteps:       rapid.IntRange(1, 10).Draw(t, "downSteps"),
		reportsOnlyWarm: rapid.Bool().Draw(t, "reportsOnlyWarm"),
	}
	slots := rapid.IntRange(holders, 12).Draw(t, "slots")
	for i := range holders {
		m.holders = append(m.holders, &holder{gate: wqcoldstart.Gate{
			Share: share(slots, i, holders), ColdShare: share(m.coldSlots, i, holders), ColdStartDuration: m.warmupTime(),
		}})
	}
	return m
}

// Guards against overload of a target that restarts at random times: all
// holders together must stay within its cold slots, even when it reports
// that it is warm before it is, and must use it fully again within twice the
// duration of the cold start.
func TestHoldersStayWithinColdSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTarget(t)
		m.servingFrom = -m.warmSteps
		next := rapid.IntRange(100, 200).Draw(t, "restart")
		for now := range 900 {
			if now == next {
				m.restart(now)
				next += rapid.IntRange(10, 400).Draw(t, "restart")
			}
			for _, h := range m.holders {
				m.probeHealth(t, h, now)
				m.runHolder(t, h, now)
			}
			if m.cold(now) && !m.down(now) {
				must.LessEq(t, m.coldSlots, m.inFlight(), must.Sprintf("step %d", now))
			}
			if now >= max(m.servingFrom, 0)+2*m.warmSteps {
				for i, h := range m.holders {
					must.EqOp(t, h.gate.Share, h.gate.MaxInFlight(at(now)), must.Sprintf("holder %d at step %d", i, now))
				}
			}
		}
	})
}

// probeHealth probes the health endpoint every ten steps; the incarnation may be
// missing from a report.
func (m *target) probeHealth(t *rapid.T, h *holder, now int) {
	if now%10 != 0 || m.down(now) {
		return
	}
	if h.connectedTo != m.incarnation {
		h.gate.ConnectionLost()
		h.connectedTo = m.incarnation
		return
	}
	name := ""
	if rapid.Bool().Draw(t, "named") {
		name = m.name()
	}
	h.gate.HealthReported(at(now), name, false)
}

// A health report or a lost connection must never raise the limit.
func TestHealthReportNeverRaisesLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := wqcoldstart.Gate{Share: rapid.IntRange(1, 8).Draw(t, "share"), ColdShare: rapid.IntRange(1, 3).Draw(t, "cold"), ColdStartDuration: time.Second}
		for now := range 50 {
			incarnation := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "incarnation")
			reportedCold := rapid.Bool().Draw(t, "cold")
			before := g.MaxInFlight(at(now))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				g.HealthReported(at(now), incarnation, reportedCold)
				must.LessEq(t, before, g.MaxInFlight(at(now)))
			case 1:
				g.ReplyReceived(at(now), incarnation, reportedCold)
			case 2:
				g.ConnectionLost()
				must.LessEq(t, before, g.MaxInFlight(at(now)))
			}
			must.LessEq(t, g.Share, g.MaxInFlight(at(now)))
		}
	})
}

// A late reply of the previous incarnation must not start another cold start.
func TestReplyOfPreviousIncarnationIsIgnored(t *testing.T) {
	g := wqcoldstart.Gate{Share: 3, ColdShare: 1, ColdStartDuration: time.Second}
	g.ReplyReceived(at(0), "a", false)
	g.ReplyReceived(at(1), "b", true)
	for i := range 4 {
		g.ReplyReceived(at(101+i), "b", false)
	}
	must.EqOp(t, 3, g.MaxInFlight(at(110)))
	g.ReplyReceived(at(110), "a", false)
	must.EqOp(t, 3, g.MaxInFlight(at(110)))
}

func TestTargetWithoutColdStartIsNotLimited(t *testing.T) {
	g := wqcoldstart.Gate{Share: 3}
	must.EqOp(t, 3, g.MaxInFlight(at(0)))
	g.ConnectionLost()
	must.EqOp(t, 3, g.MaxInFlight(at(0)))
	must.False(t, g.Cold())
}
