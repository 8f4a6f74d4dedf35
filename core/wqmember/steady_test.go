package wqmember_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmember"
)

func TestSteadyMessagesDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{8, 50} {
		f := joined(t, size, 22)
		f.run(10 * time.Second)
		sent, changes := f.sent, 0
		f.filter = func(m wqmember.Message) wqmember.Message {
			changes += len(m.Changes)
			return m
		}
		f.run(10 * time.Second)
		each := float64(f.sent-sent) / float64(size) / 10
		t.Logf("%d VMs: %.2f heartbeats and %.2f changes a second each", size, each, float64(changes)/float64(size)/10)
		must.LessEq(t, 2.1, each, must.Sprint("a steady VM must send at most 2.1 heartbeats a second"))
		must.EqOp(t, 0, changes, must.Sprint("a steady fleet has nothing to tell"))
	}
}
