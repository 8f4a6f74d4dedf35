package wqlatency_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqlatency"
)

func TestHedgeDelayStaysWithinTheObjective(t *testing.T) {
	e := wqlatency.New(200 * time.Millisecond)
	must.Eq(t, 60*time.Millisecond, e.HedgeDelay(0), must.Sprint("before the first observation"))
	now := time.Unix(1000, 0)
	for i := range 2000 {
		e.Observe(now.Add(time.Duration(i)*time.Millisecond), 20*time.Millisecond)
	}
	must.Between(t, 20*time.Millisecond, e.HedgeDelay(0), 40*time.Millisecond)
	must.Between(t, 18*time.Millisecond, e.MeanLatency(), 22*time.Millisecond)
	for i := range 2000 {
		e.Observe(now.Add(time.Duration(2000+i)*time.Millisecond), time.Second)
	}
	must.Eq(t, 60*time.Millisecond, e.HedgeDelay(0), must.Sprint("a later hedge would miss the objective"))
}

func TestRegistryKeepsOneEstimatorPerRoute(t *testing.T) {
	var r wqlatency.Registry
	first := r.Estimator("r", time.Second)
	must.True(t, first == r.Estimator("r", time.Second))
	must.False(t, first == r.Estimator("s", time.Second))
}
