package wqlatency_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqlatency"
)

func TestSecondSendIsInTimeForTheObjective(t *testing.T) {
	p := wqlatency.New(200 * time.Millisecond)
	must.Eq(t, 90*time.Millisecond, p.HedgeDelay(), must.Sprint("before anything is known"))
	now := time.Unix(1000, 0)
	for i := range 2000 {
		p.Observe(now.Add(time.Duration(i)*time.Millisecond), 20*time.Millisecond)
	}
	must.Between(t, 20*time.Millisecond, p.HedgeDelay(), 40*time.Millisecond)
	must.Between(t, 18*time.Millisecond, p.MeanLatency(), 22*time.Millisecond)
	for i := range 2000 {
		p.Observe(now.Add(time.Duration(2000+i)*time.Millisecond), time.Second)
	}
	must.Eq(t, 90*time.Millisecond, p.HedgeDelay(), must.Sprint("later it would be of no use"))
}

func TestBookKeepsOnePaceForEachRoute(t *testing.T) {
	var b wqlatency.Registry
	first := b.Estimator("r", time.Second)
	must.True(t, first == b.Estimator("r", time.Second))
	must.False(t, first == b.Estimator("s", time.Second))
}
