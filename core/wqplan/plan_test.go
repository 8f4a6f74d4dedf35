package wqplan_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqtopology"
)

// Guards against requests that wait for a connection and reach a searcher that has
// changed since they were placed.
func TestMaySendOnlyToTheSearcherThatWasPicked(t *testing.T) {
	now := time.Unix(1000, 0)
	target := func(change func(*wqdirectory.Target)) *wqdirectory.Target {
		t := &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: "m", Service: "s", Address: "h:1"}, Incarnation: 7, ColdStartRate: 4}
		change(t)
		return t
	}
	warm := func(*wqdirectory.Target) {}
	cold := func(t *wqdirectory.Target) { t.ColdStartEnd = now.Add(time.Second) }
	for name, c := range map[string]struct {
		picked, current func(*wqdirectory.Target)
		want            bool
	}{
		"unchanged":          {warm, warm, true},
		"leaving, in grace":  {warm, func(t *wqdirectory.Target) { t.LastResort = true }, true},
		"left":               {warm, func(t *wqdirectory.Target) { t.Searcher.ID = "n" }, false},
		"other address":      {warm, func(t *wqdirectory.Target) { t.Searcher.Address = "h:2" }, false},
		"restarted":          {warm, func(t *wqdirectory.Target) { t.Incarnation = 8 }, false},
		"became cold":        {warm, cold, false},
		"cold all the while": {cold, cold, true},
		"became warm":        {cold, warm, true},
		"cold without limit": {warm, func(t *wqdirectory.Target) { cold(t); t.ColdStartRate = 0 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := &wqplan.Plan{Pools: wqdirectory.Pools{"s": {target(func(t *wqdirectory.Target) { t.Searcher.ID = "a" }), target(c.current)}}}
			must.Eq(t, c.want, p.MaySend(now, target(c.picked)))
			must.False(t, (&wqplan.Plan{}).MaySend(now, target(c.picked)))
		})
	}
}
