package wqmember_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmember"
)

func TestSteadyMessageRateIsIndependentOfFleetSize(t *testing.T) {
	for _, size := range []int{8, 50} {
		f := newJoinedFleet(t, size, 22)
		f.advance(10 * time.Second)
		sent, changes := f.sent, 0
		f.transform = func(m wqmember.Message) wqmember.Message {
			changes += len(m.Changes)
			return m
		}
		f.advance(10 * time.Second)
		perVM := float64(f.sent-sent) / float64(size) / 10
		t.Logf("%d VMs: %.2f heartbeats and %.2f changes a second each", size, perVM, float64(changes)/float64(size)/10)
		must.LessEq(t, 2.1, perVM, must.Sprint("a steady VM must send at most 2.1 heartbeats a second"))
		must.EqOp(t, 0, changes, must.Sprint("a steady fleet must send no changes"))
	}
}
