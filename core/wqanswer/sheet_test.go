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

func TestLabelIsWhatWasMerged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 8).Draw(rt, "shards")
		s := NewBuilder(7, names, 100)
		layout := map[string]bool{}
		for _, n := range names {
			layout[n] = true
		}
		taken := map[string]bool{}
		for range rapid.IntRange(0, 12).Draw(rt, "takes") {
			n := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "stray"}).Draw(rt, "shard")
			if rapid.Bool().Draw(rt, "excuse") {
				s.SetMissingReason(n, Shed)
				continue
			}
			must.Eq(rt, layout[n] && !taken[n], s.MarkAnswered(n, 1))
			taken[n] = layout[n]
		}
		delete(taken, "stray")
		least := rapid.Float64Range(0, 1).Draw(rt, "least")
		a, err := s.Build(least)
		answered := 0
		for n := range taken {
			if taken[n] {
				answered++
			}
		}
		must.Eq(rt, len(layout), a.ShardsTotal, must.Sprint(fmt.Sprint(names)))
		must.Eq(rt, answered, a.ShardsAnswered)
		must.Eq(rt, len(layout)-answered, len(a.Missing))
		must.Eq(rt, a.Coverage() < least, err != nil)
		if err != nil {
			must.Eq(rt, wqfault.Incomplete, wqfault.KindOf(err))
			must.Eq(rt, 0, len(a.Rows)+len(a.MatchCounts))
		}
	})
}
