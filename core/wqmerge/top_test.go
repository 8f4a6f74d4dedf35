package wqmerge

import (
	"flag"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// The seed is fixed; -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "1") }

type descending struct{}

func (descending) Before(a, b *int) bool { return *a > *b }

func TestTopReturnsBestItemsInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		items := rapid.SliceOf(rapid.IntRange(0, 50)).Draw(rt, "items")
		top := Top[int, descending]{Limit: rapid.IntRange(0, 10).Draw(rt, "limit")}
		for _, i := range items {
			top.Add(i)
		}
		want := slices.Clone(items)
		slices.Sort(want)
		slices.Reverse(want)
		must.True(rt, slices.Equal(want[:min(len(want), top.Limit)], top.Sorted()))
	})
}
