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

// adversary replies in any order, after the deadline, twice, for other requests and
// from other snapshots. It also breaks calls and changes the view between
// replies.
type adversary struct {
	rt          *rapid.T
	view        *wqview.View
	query       *testQuery
	openBatches []Batch
	delivered   map[string]bool // delivered holds "shard/snapshot" of every answer sent.
	steps       int
}

func (a *adversary) addBatches(s Actions) Actions {
	a.openBatches = append(a.openBatches, s.Batches...)
	return s
}

func (a *adversary) sendRandomReply(now time.Time) Actions {
	b := rapid.SampledFrom(a.openBatches).Draw(a.rt, "batch")
	s := rapid.SampledFrom(b.SubQueries).Draw(a.rt, "sub")
	snapshot := rapid.Uint64Range(4, 8).Draw(a.rt, "version")
	oldest := rapid.Uint64Range(4, snapshot).Draw(a.rt, "oldest")
	requested := b.Snapshot
	if requested == 0 {
		requested = snapshot
	}
	switch rapid.IntRange(0, 7).Draw(a.rt, "kind") {
	case 0, 1, 2:
		a.delivered[fmt.Sprint(s.Shard, "/", requested)] = true
		return a.query.HandleReply(now, a.view, answeredReply(b, s, requested, oldest, max(snapshot, requested)))
	case 3:
		a.delivered[fmt.Sprint(s.Shard, "/", snapshot)] = true
		return a.query.HandleReply(now, a.view, answeredReply(b, s, snapshot, oldest, snapshot))
	case 4:
		status := wqobservation.Status(rapid.IntRange(1, 9).Draw(a.rt, "status"))
		return a.query.HandleReply(now, a.view, refusedReply(b, s, status, oldest, snapshot))
	case 5:
		p := answeredReply(b, s, requested, oldest, snapshot)
		p.RequestID = "other"
		return a.query.HandleReply(now, a.view, p)
	case 6:
		p := answeredReply(b, SubQuery{Shard: "stray", SearcherID: s.SearcherID}, requested, oldest, snapshot)
		p.Rows = append(p.Rows, rowsOf("b", requested)...)
		return a.query.HandleReply(now, a.view, p)
	}
	return a.query.HandleCallEnd(now, a.view, b.ID, wqobservation.Broken)
}

func (a *adversary) run() {
	now := epoch
	s := a.addBatches(a.query.Start(now, a.view))
	for !s.Done {
		a.steps++
		must.Less(a.rt, 2000, a.steps)
		if len(a.openBatches) == 0 || rapid.IntRange(0, 4).Draw(a.rt, "wake") == 0 {
			now = a.query.NextWake()
			s = a.addBatches(a.query.Wake(now, a.view))
			continue
		}
		if rapid.IntRange(0, 9).Draw(a.rt, "change") == 0 {
			zone := &a.view.Index.Topology.Zones[1]
			zone.Out = !zone.Out
		}
		s = a.addBatches(a.sendRandomReply(now))
	}
	for range 5 {
		if len(a.openBatches) > 0 {
			a.addBatches(a.sendRandomReply(now))
		}
	}
}

func (a *adversary) checkAnswer(answer wqanswer.Answer) {
	layout := a.view.Index.Shards("bench", answer.Snapshot)
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
		must.True(a.rt, a.delivered[fmt.Sprint(c.Shard, "/", answer.Snapshot)])
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

func TestArbitraryRepliesYieldConsistentAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := &adversary{rt: rt, delivered: map[string]bool{}}
		a.view = newView(newLayout(1, "a", "b", "c"), newLayout(6, "a", "b1", "b2", "c"))
		a.view.Snapshots["bench"] = rapid.SampledFrom([]uint64{0, 4, 5, 6, 7}).Draw(rt, "snapshot")
		a.query = newQuery(time.Duration(rapid.IntRange(0, 20).Draw(rt, "hedge")) * time.Millisecond)
		a.run()
		answer, err := a.query.Answer(a.view)
		must.NoError(rt, err)
		a.checkAnswer(answer)
		for i := range a.query.batches {
			must.True(rt, a.query.batches[i].ended)
		}
	})
}
