package wqmember_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestMessagesStayBoundedWhenMostAreLost(t *testing.T) {
	f := joined(t, 60, 21)
	f.loss = 0.6
	sent := f.sent
	f.run(30 * time.Second)
	each := float64(f.sent-sent) / 60 / 30
	t.Logf("60 VMs, 60%% of messages lost: %.1f messages a second each", each)
	must.Less(t, 21, each, must.Sprint("a VM must send at most 21 messages a second whatever fails"))
}
