package wqplacer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplacer"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtopology"
)

const noNoise = 0x8080808080808080

var start = time.Unix(1000, 0)

func newPools(ids ...string) wqdirectory.Pools {
	var pool []*wqdirectory.Target
	for _, id := range ids {
		pool = append(pool, &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: id, Zone: "a", Service: "s", Slots: 2}})
	}
	return wqdirectory.Pools{"s": pool}
}

func request(number uint64) *wqplacer.Request {
	return &wqplacer.Request{Number: number, Service: "s", Zone: "a", Kind: wqcost.Kind{Route: "r"}, Typical: 100 * time.Millisecond, Remaining: 2 * time.Second}
}

func answered(number uint64, searcher string) wqplacer.Report {
	return wqplacer.Report{Request: wqplacer.Request{Number: number, Service: "s"}, Searcher: searcher, Ended: true, Outcome: wqsend.Answered}
}

// Guards against VMs that all choose the same searcher because they don't see each
// other's sends.
func TestRequestsOfManyVMsAreSpread(t *testing.T) {
	p, pools, counts := wqplacer.New(), newPools("x", "y", "z"), make(map[string]int)
	for i := range 12 {
		a := p.Handle(start, wqplacer.Message{From: fmt.Sprint("vm", i), Request: request(1)}, pools, 12, noNoise)
		counts[a.Searcher]++
	}
	must.Eq(t, map[string]int{"x": 4, "y": 4, "z": 4}, counts)
	must.Eq(t, 12, p.InFlight())
}

// Guards against a count of sends that ended, moved, or were lost with their VM.
func TestReportsAndLostVMsLeaveNothingInFlight(t *testing.T) {
	p, pools := wqplacer.New(), newPools("x", "y")
	handle := func(at time.Time, m wqplacer.Message) wqplacer.Advice { return p.Handle(at, m, pools, 2, noNoise) }
	first := handle(start, wqplacer.Message{From: "a", Request: request(1)}).Searcher
	handle(start, wqplacer.Message{From: "a", Reports: []wqplacer.Report{answered(1, first), answered(1, first)}})
	must.Eq(t, 0, p.InFlight(), must.Sprint("ended, and reported twice"))
	handle(start, wqplacer.Message{From: "a", Request: request(2)})
	handle(start, wqplacer.Message{From: "a", Reports: []wqplacer.Report{{Request: *request(2), Searcher: "y"}, {Request: *request(3), Searcher: "gone"}}})
	must.Eq(t, 1, p.InFlight(), must.Sprint("sent to another searcher than advised"))
	handle(start.Add(10*time.Second), wqplacer.Message{From: "b"})
	must.Eq(t, 0, p.InFlight(), must.Sprint("the VM was lost"))
	must.Eq(t, wqplacer.Advice{}, p.Handle(start, wqplacer.Message{Request: request(1)}, nil, 2, noNoise))
}

// Guards against a view that is 5 s old: a VM that was cut off for 5 s reports old sends,
// which must not attract or repel requests for long.
func TestOldReportsDoNotDistortPlacement(t *testing.T) {
	p, pools := wqplacer.New(), newPools("x", "y")
	for i := range uint64(20) {
		p.Handle(start, wqplacer.Message{From: "cut off", Reports: []wqplacer.Report{{Request: *request(i), Searcher: "x"}}}, pools, 2, noNoise)
	}
	must.Eq(t, "y", p.Handle(start, wqplacer.Message{From: "b", Request: request(1)}, pools, 2, noNoise).Searcher)
	late := start.Add(5 * time.Second)
	reports := []wqplacer.Report{}
	for i := range uint64(20) {
		reports = append(reports, answered(i, "x"))
	}
	p.Handle(late, wqplacer.Message{From: "cut off", Reports: reports}, pools, 2, noNoise)
	counts := make(map[string]int)
	for i := range uint64(12) {
		counts[p.Handle(late, wqplacer.Message{From: "b", Request: request(100 + i)}, pools, 2, noNoise).Searcher]++
	}
	must.Greater(t, 3, counts["x"])
}

// Guards against a searcher that reports success at once although it does no work, and
// so gets all requests.
func TestSearcherThatAnswersAtOnceDoesNotGetEverything(t *testing.T) {
	p, pools := wqplacer.New(), newPools("x", "y", "z")
	now, counts := start, make(map[string]int)
	type sent struct {
		number   uint64
		searcher string
		until    time.Time
	}
	var inFlight []sent
	for i := range uint64(600) {
		now = now.Add(25 * time.Millisecond)
		slices.SortFunc(inFlight, func(a, b sent) int { return a.until.Compare(b.until) })
		for len(inFlight) > 0 && !inFlight[0].until.After(now) {
			s := inFlight[0]
			inFlight = inFlight[1:]
			p.Handle(s.until, wqplacer.Message{From: "a", Reports: []wqplacer.Report{answered(s.number, s.searcher)}}, pools, 2, 0)
		}
		id := p.Handle(now, wqplacer.Message{From: "a", Request: request(i)}, pools, 2, i*0x9e3779b97f4a7c15).Searcher
		if i == 100 {
			clear(counts)
		}
		counts[id]++
		took := 100 * time.Millisecond
		if id == "x" && i >= 100 {
			took = time.Millisecond
		}
		inFlight = append(inFlight, sent{i, id, now.Add(took)})
	}
	must.Less(t, 334, counts["x"], must.Sprint("less than two thirds of 500"))
}

func TestAnyMessageAndClockKeepTheStateBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, pools := wqplacer.New(), newPools("x", "y")
		for range 60 {
			now := start.Add(time.Duration(rapid.Int64Range(-20e9, 20e9).Draw(t, "clock")))
			q := request(rapid.Uint64Range(0, 5).Draw(t, "number"))
			q.Remaining = time.Duration(rapid.Int64().Draw(t, "remaining"))
			q.Typical = time.Duration(rapid.Int64().Draw(t, "typical"))
			m := wqplacer.Message{From: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "from")}
			if rapid.Bool().Draw(t, "ask") {
				m.Request = q
			} else {
				m.Reports = []wqplacer.Report{{Request: *q, Searcher: rapid.SampledFrom([]string{"x", "y", "", "gone"}).Draw(t, "searcher"), Ended: rapid.Bool().Draw(t, "ended"), Outcome: wqsend.Outcome(rapid.IntRange(0, 7).Draw(t, "outcome"))}}
			}
			a := p.Handle(now, m, pools, 2, rapid.Uint64().Draw(t, "random"))
			if p.InFlight() > 12 || a.Wait < 0 || a.Cost < 0 || m.Request != nil && a.Searcher == "" {
				t.Fatalf("%d in flight, advice %+v", p.InFlight(), a)
			}
		}
	})
}

// The load of a service over its capacity: guards against taking so many requests that
// all of them miss their objective, and against refusing any while slots are free.
func TestRequestsThatWouldMissTheirObjectiveAreRefused(t *testing.T) {
	p, pools := wqplacer.New(), newPools("x", "y")
	taken := 0
	for i := range uint64(40) {
		q := request(i)
		q.Objective = 400 * time.Millisecond
		a := p.Handle(start, wqplacer.Message{From: "a", Request: q}, pools, 2, noNoise)
		must.True(t, a.Refuse == (a.Searcher == ""))
		if !a.Refuse {
			taken++
		}
	}
	must.Between(t, 8, taken, 16, must.Sprint("4 slots, 100 ms each, 400 ms"))
	q := request(99)
	must.False(t, p.Handle(start, wqplacer.Message{From: "a", Request: q}, pools, 2, noNoise).Refuse, must.Sprint("no objective"))
	dear := request(1)
	dear.Typical, dear.Objective = time.Second, 400*time.Millisecond
	must.False(t, wqplacer.New().Handle(start, wqplacer.Message{Request: dear}, pools, 2, noNoise).Refuse, must.Sprint("searchers are idle"))
}

// The load of a service while the ends of sends are reported 5 s late, as by VMs that
// were cut off: guards against refusing requests because sends seem to be in flight.
func TestOldViewRefusesNothingForLong(t *testing.T) {
	p, pools := wqplacer.New(), newPools("x", "y")
	late, refused := make(map[int][]wqplacer.Report), 0
	for n := range 2000 { // 25 sends a second for 80 s, half of what 4 slots can do
		now := start.Add(time.Duration(n) * 40 * time.Millisecond)
		q := request(uint64(n))
		q.Objective = 600 * time.Millisecond
		a := p.Handle(now, wqplacer.Message{From: "a", Request: q, Reports: late[n]}, pools, 2, uint64(n)*0x9e3779b97f4a7c15)
		if a.Refuse && n > 500 {
			refused++
		}
		late[n+125] = append(late[n+125], answered(uint64(n), a.Searcher))
	}
	must.Eq(t, 0, refused, must.Sprint("after 20 s"))
}

// One request and the report of its end, for docs/CAPACITY.md.
func BenchmarkHandle(b *testing.B) {
	p, pools := wqplacer.New(), newPools("a", "b", "c", "d", "e", "f", "g", "h", "i")
	now := start
	for n := range uint64(b.N) {
		now = now.Add(6 * time.Millisecond)
		a := p.Handle(now, wqplacer.Message{From: "vm", Request: request(n)}, pools, 143, n)
		if n >= 20 {
			p.Handle(now, wqplacer.Message{From: "vm", Reports: []wqplacer.Report{answered(n-20, a.Searcher)}}, pools, 143, n)
		}
	}
}
