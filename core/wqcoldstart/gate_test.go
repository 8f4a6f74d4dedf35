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

// call is a request in flight to the model.
type call struct {
	incarnation int
	ends        int
}

// sender is a holder of the model: its gate, its calls and the incarnation that
// its kept connections lead to.
type sender struct {
	gate   wqcoldstart.Gate
	calls  []call
	linked int
}

// target falls over when it has more calls than it bears in cold start.
type target struct {
	coldSlots   int
	warmSteps   int
	downSteps   int
	incarnation int
	started     int // started is the step at which the incarnation began to serve.
	wordLies    bool
	senders     []*sender
}

func (m *target) name() string        { return fmt.Sprint(m.incarnation) }
func (m *target) cold(now int) bool   { return now < m.started+m.warmSteps }
func (m *target) down(now int) bool   { return now < m.started }
func at(now int) time.Time            { return time.Unix(1000, 0).Add(time.Duration(now) * step) }
func (m *target) word(now int) bool   { return m.cold(now) && !m.wordLies }
func (m *target) warm() time.Duration { return time.Duration(m.warmSteps) * step }

func (m *target) serving() int {
	count := 0
	for _, s := range m.senders {
		for _, c := range s.calls {
			if c.incarnation == m.incarnation {
				count++
			}
		}
	}
	return count
}

func (m *target) restart(now int) {
	m.incarnation++
	m.started = now + m.downSteps
}

// turn ends what is due at one holder and sends as much as its gate allows.
func (m *target) turn(t *rapid.T, s *sender, now int) {
	kept := s.calls[:0]
	for _, c := range s.calls {
		switch {
		case c.incarnation != m.incarnation:
			s.gate.ConnectionLost()
		case c.ends <= now:
			s.gate.ReplyReceived(at(now), m.name(), m.word(now))
		default:
			kept = append(kept, c)
		}
	}
	s.calls = kept
	for len(s.calls) < s.gate.MaxInFlight(at(now)) {
		if m.down(now) || s.linked != m.incarnation {
			s.gate.ConnectionLost()
			if !m.down(now) {
				s.linked = m.incarnation
			}
			return
		}
		s.calls = append(s.calls, call{m.incarnation, now + rapid.IntRange(1, 5).Draw(t, "steps")})
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
		coldSlots: rapid.IntRange(1, 4).Draw(t, "coldSlots"),
		warmSteps: rapid.IntRange(60, 120).Draw(t, "warmSteps"),
		downSteps: rapid.IntRange(1, 10).Draw(t, "downSteps"),
		wordLies:  rapid.Bool().Draw(t, "wordLies"),
	}
	slots := rapid.IntRange(holders, 12).Draw(t, "slots")
	for i := range holders {
		m.senders = append(m.senders, &sender{gate: wqcoldstart.Gate{
			Share: share(slots, i, holders), ColdShare: share(m.coldSlots, i, holders), ColdStartDuration: m.warm(),
		}})
	}
	return m
}

// A target that restarts at random moments is never sent more than it bears
// while cold, by all holders together, and is used fully again within twice its
// own time. The word of a searcher that restarted is not believed early.
func TestHoldersTogetherSpareColdTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTarget(t)
		m.started = -m.warmSteps
		next := rapid.IntRange(100, 200).Draw(t, "restart")
		for now := range 900 {
			if now == next {
				m.restart(now)
				next += rapid.IntRange(10, 400).Draw(t, "restart")
			}
			for _, s := range m.senders {
				m.probe(t, s, now)
				m.turn(t, s, now)
			}
			if m.cold(now) && !m.down(now) {
				must.LessEq(t, m.coldSlots, m.serving(), must.Sprintf("step %d", now))
			}
			if now >= max(m.started, 0)+2*m.warmSteps {
				for i, s := range m.senders {
					must.EqOp(t, s.gate.Share, s.gate.MaxInFlight(at(now)), must.Sprintf("holder %d at step %d", i, now))
				}
			}
		}
	})
}

// probe is a health probe every ten steps, which may name no incarnation.
func (m *target) probe(t *rapid.T, s *sender, now int) {
	if now%10 != 0 || m.down(now) {
		return
	}
	if s.linked != m.incarnation {
		s.gate.ConnectionLost()
		s.linked = m.incarnation
		return
	}
	name := ""
	if rapid.Bool().Draw(t, "named") {
		name = m.name()
	}
	s.gate.HealthReported(at(now), name, false)
}

// Nothing that a health endpoint says makes a gate allow more.
func TestHintNeverOpensGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := wqcoldstart.Gate{Share: rapid.IntRange(1, 8).Draw(t, "share"), ColdShare: rapid.IntRange(1, 3).Draw(t, "cold"), ColdStartDuration: time.Second}
		for now := range 50 {
			incarnation := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "incarnation")
			says := rapid.Bool().Draw(t, "cold")
			before := g.MaxInFlight(at(now))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				g.HealthReported(at(now), incarnation, says)
				must.LessEq(t, before, g.MaxInFlight(at(now)))
			case 1:
				g.ReplyReceived(at(now), incarnation, says)
			case 2:
				g.ConnectionLost()
				must.LessEq(t, before, g.MaxInFlight(at(now)))
			}
			must.LessEq(t, g.Share, g.MaxInFlight(at(now)))
		}
	})
}

// A late reply of the incarnation before does not restart the cold start.
func TestLateReplyOfPreviousIncarnation(t *testing.T) {
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

// A target without a cold start is never held back.
func TestNoColdStart(t *testing.T) {
	g := wqcoldstart.Gate{Share: 3}
	must.EqOp(t, 3, g.MaxInFlight(at(0)))
	g.ConnectionLost()
	must.EqOp(t, 3, g.MaxInFlight(at(0)))
	must.False(t, g.Cold())
}
