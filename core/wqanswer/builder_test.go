package wqanswer

import (
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqfault"
)

// The seed is fixed; -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestCoverageMatchesMergedShards(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 8).Draw(rt, "shards")
		b := NewBuilder(7, names, 100)
		layout := map[string]bool{}
		for _, n := range names {
			layout[n] = true
		}
		marked := map[string]bool{}
		for range rapid.IntRange(0, 12).Draw(rt, "takes") {
			n := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "stray"}).Draw(rt, "shard")
			if rapid.Bool().Draw(rt, "excuse") {
				b.SetMissingReason(n, Shed)
				continue
			}
			must.Eq(rt, layout[n] && !marked[n], b.MarkAnswered(n, 1))
			marked[n] = layout[n]
		}
		delete(marked, "stray")
		minCoverage := rapid.Float64Range(0, 1).Draw(rt, "least")
		a, err := b.Build(minCoverage)
		answered := 0
		for n := range marked {
			if marked[n] {
				answered++
			}
		}
		must.Eq(rt, len(layout), a.ShardsTotal, must.Sprint(fmt.Sprint(names)))
		must.Eq(rt, answered, a.ShardsAnswered)
		must.Eq(rt, len(layout)-answered, len(a.Missing))
		must.Eq(rt, a.Coverage() < minCoverage, err != nil)
		if err != nil {
			must.Eq(rt, wqfault.Incomplete, wqfault.KindOf(err))
			must.Eq(rt, 0, len(a.Rows)+len(a.MatchCounts))
		}
	})
}
