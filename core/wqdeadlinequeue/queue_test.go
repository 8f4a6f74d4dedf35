package wqdeadlinequeue_test

import (
	"flag"
	"os"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqdeadlinequeue"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

// Items must leave by deadline, then in the order of Push, and a full queue
// must refuse further items.
func TestPopOrderAndCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := wqdeadlinequeue.Queue[int]{Capacity: rapid.IntRange(1, 20).Draw(t, "capacity")}
		deadlines := rapid.SliceOf(rapid.Int64Range(0, 5)).Draw(t, "deadlines")
		want := make([]int, 0, q.Capacity)
		for i, d := range deadlines {
			fits := len(want) < q.Capacity
			must.EqOp(t, fits, q.Push(i, time.Unix(d, 0)))
			if fits {
				want = append(want, i)
			}
		}
		sort.SliceStable(want, func(i, j int) bool { return deadlines[want[i]] < deadlines[want[j]] })
		for _, w := range want {
			first, _, _ := q.Peek()
			got, deadline, ok := q.Pop()
			must.True(t, ok)
			must.EqOp(t, first, got)
			must.EqOp(t, w, got)
			must.EqOp(t, deadlines[w], deadline.Unix())
		}
		_, _, ok := q.Pop()
		must.False(t, ok)
	})
}
