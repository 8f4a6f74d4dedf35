package wqmember_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestMessageRateIsBoundedUnderHeavyLoss(t *testing.T) {
	f := newJoinedFleet(t, 60, 21)
	f.lossRate = 0.6
	sent := f.sent
	f.advance(30 * time.Second)
	perVM := float64(f.sent-sent) / 60 / 30
	t.Logf("60 VMs, 60%% of messages lost: %.1f messages a second each", perVM)
	must.Less(t, 21, perVM, must.Sprint("a VM must send fewer than 21 messages a second, however many are lost"))
}
