package wqquotawindow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqquotawindow"
)

// Guards against requests that leave the count early, which lets an account exceed its
// quota, or late, which refuses requests under it.
func TestWindowCountsEachEventForItsLengthAndOneSlotMore(t *testing.T) {
	const length, slots = time.Second, 20
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		w := wqquotawindow.New(now, length, slots)
		var events []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "millis")) * time.Millisecond)
			at := now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Millisecond)
			w.Add(now, at)
			events = append(events, at)
			least, most := 0, 0
			for _, e := range events {
				if now.Sub(e) < length {
					least++
				}
				if now.Sub(e) <= length+length/slots {
					most++
				}
			}
			if n := w.Count(now); n < least || n > most {
				t.Fatalf("%d events, of at least %d and at most %d", n, least, most)
			}
			if n := w.Count(now); n != len(w.Ages(now, 100)) || n > 0 && w.UntilLeft(now, 1) > length+length/slots {
				t.Fatalf("%d events, %d ages, the first leaves in %v", n, len(w.Ages(now, 100)), w.UntilLeft(now, 1))
			}
		}
	})
}

func TestRemovedEventNoLongerCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	w := wqquotawindow.New(now, time.Second, 20)
	w.Add(now, now)
	w.Add(now, now.Add(-500*time.Millisecond))
	w.Remove(now, now.Add(-420*time.Millisecond)) // It was counted when it was granted, before the VM that asked knew.
	must.Eq(t, 1, w.Count(now.Add(700*time.Millisecond)))
	w.Remove(now, now)
	w.Remove(now, now)
	must.Eq(t, 0, w.Count(now))
}
