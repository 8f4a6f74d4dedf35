package wqrelay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqstatement"
)

// Guards against requests that wait until their deadline for searchers that reject them
// for longer, and against callers that are told to come back too early.
func TestRefusalStatesWhenSearchersMayBeAskedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		statement wqstatement.Statement
		after     time.Duration
		status    wqcall.Status
		elapsed   time.Duration
		minDelay  time.Duration
	}{
		"rejecting beyond the deadline":  {wqstatement.Statement{Wait: 5 * time.Second}, 0, wqcall.NotRun, 0, 5 * time.Second},
		"rejecting for a part of it":     {wqstatement.Statement{Wait: 300 * time.Millisecond}, 0, wqcall.Answered, 300 * time.Millisecond, 0},
		"leaving":                        {wqstatement.Statement{Leaving: true}, time.Second, wqcall.Answered, 0, 0},
		"leaving, after the grace":       {wqstatement.Statement{Leaving: true}, wqstatement.Grace, wqcall.NotRun, 0, 100 * time.Millisecond},
		"leaving and rejecting after it": {wqstatement.Statement{Leaving: true, Wait: wqstatement.Grace}, time.Second, wqcall.NotRun, 0, 100 * time.Millisecond},
	} {
		for _, path := range []string{"/one/x", "/all/x"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newFakeSender(false)
					r, plan := newRelay(s, nil)
					plan.Table.Match("h", "/all/").LeastShare = 1
					r.Statements = wqstatement.New()
					for _, pool := range plan.Pools {
						r.Statements.Observe(time.Now(), pool[0], c.statement)
					}
					time.Sleep(c.after)
					start := time.Now()
					reply := r.Serve(t.Context(), newCall(path))
					must.Eq(t, c.status, reply.Status)
					must.Between(t, c.elapsed, time.Since(start), c.elapsed+50*time.Millisecond)
					must.Between(t, c.minDelay, reply.RetryAfter, c.minDelay*5/4+50*time.Millisecond)
					must.Eq(t, c.status == wqcall.Answered, s.sends.Load() > 0)
				})
			})
		}
	}
}
