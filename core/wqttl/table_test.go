package wqttl

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// The seed is fixed; -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep, most = 10 * time.Second, 5
		table := New[int, int](keep, most)
		model := map[int]time.Time{}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
			table.Expire(now, func(k int, v *int) {
				must.Eq(t, k, *v)
				must.False(t, model[k].Add(keep).After(now))
				delete(model, k)
			})
			key := rapid.IntRange(0, 8).Draw(t, "key")
			_, held := model[key]
			added := table.Add(key, key, now)
			must.Eq(t, !held && len(model) < most, added)
			if added {
				model[key] = now
			}
			must.Eq(t, len(model), table.Len())
			for k := range model {
				must.Eq(t, k, *table.Get(k))
			}
		}
	})
}
