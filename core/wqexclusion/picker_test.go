package wqexclusion_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqexclusion"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqstatement"
	"wisteriaquay/core/wqtopology"
)

// Guards against a pick of a searcher that wants no requests, and against the loss of
// the only searcher of a service before the end of its grace.
func TestSearchersThatWantNoRequestsAreNotPicked(t *testing.T) {
	now := time.Unix(1000, 0)
	leaving := wqstatement.Statement{Leaving: true}
	rejecting := wqstatement.Statement{Wait: 3 * time.Second}
	for name, c := range map[string]struct {
		x, y  wqstatement.Statement
		after time.Duration
		tried []string
		want  string
	}{
		"no reports":                        {want: "x"},
		"one is leaving":                    {x: leaving, want: "y"},
		"the other was tried":               {x: leaving, tried: []string{"y"}, want: "x"},
		"the other was tried, grace over":   {x: leaving, tried: []string{"y"}, after: 2 * time.Second},
		"all are leaving":                   {x: leaving, y: leaving, want: "x"},
		"all are leaving, grace over":       {x: leaving, y: leaving, after: 2 * time.Second},
		"one rejects":                       {x: rejecting, want: "y"},
		"one rejects, the other was tried":  {x: rejecting, tried: []string{"y"}},
		"one rejects, the other is leaving": {x: rejecting, y: leaving, want: "y"},
		"rejection over":                    {x: rejecting, after: 3 * time.Second, want: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			x := &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: "x", Zone: "a", Slots: 1}}
			y := &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: "y", Zone: "b", Slots: 1}}
			p := wqexclusion.Picker[wqselector.LeastLatency]{
				Inner: wqselector.LeastLatency{Tracker: wqselector.New(), Zone: "a"}, Statements: wqstatement.New(),
			}
			p.Statements.Observe(now, x, c.x)
			p.Statements.Observe(now, y, c.y)
			got := ""
			if picked := p.Pick(now.Add(c.after), []*wqdirectory.Target{x, y}, c.tried, 10*time.Millisecond, 1); picked != nil {
				got = picked.Searcher.ID
			}
			must.Eq(t, c.want, got)
		})
	}
}
