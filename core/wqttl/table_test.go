package wqttl

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// The seed is fixed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl, capacity = 10 * time.Second, 5
		table := New[int, int](ttl, capacity)
		addedAt := map[int]time.Time{}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
			table.Expire(now, func(k int, v *int) {
				must.Eq(t, k, *v)
				must.False(t, addedAt[k].Add(ttl).After(now))
				delete(addedAt, k)
			})
			key := rapid.IntRange(0, 8).Draw(t, "key")
			_, exists := addedAt[key]
			added := table.Add(key, key, now)
			must.Eq(t, !exists && len(addedAt) < capacity, added)
			if added {
				addedAt[key] = now
			}
			must.Eq(t, len(addedAt), table.Len())
			for k := range addedAt {
				must.Eq(t, k, *table.Get(k))
			}
		}
	})
}
