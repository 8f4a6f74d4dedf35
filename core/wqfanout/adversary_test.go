package wqfanout

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqview"
)

// The seed is fixed; -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "1") }

// adversary answers in any order, late, twice, crossed, cut off, of other
// versions and with the view changing underneath.
type adversary struct {
	rt     *rapid.T
	v      *wqview.View
	q      *testQuery
	open   []Batch
	honest map[string]bool // honest holds "shard/snapshot" of every answer that was delivered.
	steps  int
}

func (a *adversary) step(s Actions) Actions {
	a.open = append(a.open, s.Batches...)
	return s
}

func (a *adversary) part(now time.Time) Actions {
	b := rapid.SampledFrom(a.open).Draw(a.rt, "batch")
	s := rapid.SampledFrom(b.SubQueries).Draw(a.rt, "sub")
	version := rapid.Uint64Range(4, 8).Draw(a.rt, "version")
	oldest := rapid.Uint64Range(4, version).Draw(a.rt, "oldest")
	asked := b.Snapshot
	if asked == 0 {
		asked = version
	}
	switch rapid.IntRange(0, 7).Draw(a.rt, "kind") {
	case 0, 1, 2:
		a.honest[fmt.Sprint(s.Shard, "/", asked)] = true
		return a.q.HandleReply(now, a.v, reply(b, s, asked, oldest, max(version, asked)))
	case 3:
		a.honest[fmt.Sprint(s.Shard, "/", version)] = true
		return a.q.HandleReply(now, a.v, reply(b, s, version, oldest, version))
	case 4:
		status := wqobservation.Status(rapid.IntRange(1, 9).Draw(a.rt, "status"))
		return a.q.HandleReply(now, a.v, refusal(b, s, status, oldest, version))
	case 5:
		p := reply(b, s, asked, oldest, version)
		p.RequestID = "other"
		return a.q.HandleReply(now, a.v, p)
	case 6:
		p := reply(b, SubQuery{Shard: "stray", SearcherID: s.SearcherID}, asked, oldest, version)
		p.Rows = append(p.Rows, rowsOf("b", asked)...)
		return a.q.HandleReply(now, a.v, p)
	}
	return a.q.HandleCallEnd(now, a.v, b.ID, wqobservation.Broken)
}

func (a *adversary) run() {
	now := epoch
	s := a.step(a.q.Start(now, a.v))
	for !s.Done {
		a.steps++
		must.Less(a.rt, 2000, a.steps)
		if len(a.open) == 0 || rapid.IntRange(0, 4).Draw(a.rt, "wake") == 0 {
			now = a.q.NextWake()
			s = a.step(a.q.Wake(now, a.v))
			continue
		}
		if rapid.IntRange(0, 9).Draw(a.rt, "change") == 0 {
			z := &a.v.Index.Topology.Zones[1]
			z.Out = !z.Out
		}
		s = a.step(a.part(now))
	}
	for range 5 {
		if len(a.open) > 0 {
			a.step(a.part(now))
		}
	}
}

func (a *adversary) check(answer wqanswer.Answer) {
	layout := a.v.Index.Shards("bench", answer.Snapshot)
	if answer.ShardsAnswered > 0 {
		must.Eq(a.rt, len(layout), answer.ShardsTotal)
	}
	must.Eq(a.rt, answer.ShardsTotal, answer.ShardsAnswered+len(answer.Missing))
	must.Eq(a.rt, answer.ShardsAnswered, len(answer.MatchCounts))
	var want []string
	seen := map[string]bool{}
	for _, c := range answer.MatchCounts {
		must.False(a.rt, seen[c.Shard])
		seen[c.Shard] = true
		must.True(a.rt, slices.Contains(layout, c.Shard))
		must.True(a.rt, a.honest[fmt.Sprint(c.Shard, "/", answer.Snapshot)])
		for _, r := range rowsOf(c.Shard, answer.Snapshot) {
			want = append(want, r.Key)
		}
	}
	for _, m := range answer.Missing {
		must.False(a.rt, seen[m.Shard])
		must.NotEq(a.rt, "", string(m.Reason))
	}
	var got []string
	for _, r := range answer.Rows {
		got = append(got, r.Key)
	}
	slices.Sort(want)
	slices.Sort(got)
	must.Eq(a.rt, want, got)
}

func TestAnyResultsSealATrueAnswerOfOneSnapshot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := &adversary{rt: rt, honest: map[string]bool{}}
		a.v = newView(layout(1, "a", "b", "c"), layout(6, "a", "b1", "b2", "c"))
		a.v.Snapshots["bench"] = rapid.SampledFrom([]uint64{0, 4, 5, 6, 7}).Draw(rt, "snapshot")
		a.q = newQuery(time.Duration(rapid.IntRange(0, 20).Draw(rt, "hedge")) * time.Millisecond)
		a.run()
		answer, err := a.q.Answer(a.v)
		must.NoError(rt, err)
		a.check(answer)
		for i := range a.q.batches {
			must.True(rt, a.q.batches[i].ended)
		}
	})
}
