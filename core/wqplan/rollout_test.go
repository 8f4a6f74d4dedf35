package wqplan_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqtopology"
)

// Guards against requests that wait for a connection and reach a version after its
// verdict.
func TestMaySendOnlyToTheVersionOfTheRollout(t *testing.T) {
	now := time.Unix(1000, 0)
	oldTarget := &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: "a", Service: "s"}, Version: "v1"}
	newTarget := &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: "b", Service: "s"}, Version: "v2"}
	for phase, c := range map[wqrollout.Phase]struct{ old, new bool }{
		wqrollout.Running:    {true, true},
		wqrollout.Switching:  {false, true},
		wqrollout.Completed:  {false, true},
		wqrollout.RolledBack: {true, false},
		wqrollout.Held:       {true, false},
	} {
		p := &wqplan.Plan{
			Pools:    wqdirectory.Pools{"s": {oldTarget, newTarget}},
			Rollouts: wqrollout.Directives{"s": {Version: "v2", Phase: phase, Share: 0.5, ValidUntil: now.Add(time.Second)}},
		}
		must.Eq(t, c.old, p.MaySend(now, oldTarget), must.Sprint(phase))
		must.Eq(t, c.new, p.MaySend(now, newTarget), must.Sprint(phase))
	}
}
