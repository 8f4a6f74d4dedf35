package wqcost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqcost"
)

var start = time.Unix(1000, 0)

const prior = 100 * time.Millisecond

func kind(tenant, path string) wqcost.Kind {
	return wqcost.Kind{Route: "r", Tenant: tenant, Method: "GET", Path: path}
}

// Guards against estimates that don't tell cheap kinds of request from expensive ones.
func TestCostIsLearnedByPath(t *testing.T) {
	e, r := wqcost.New(), rand.New(rand.NewPCG(7, 1))
	now := start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		spread := math.Exp(0.5 * r.NormFloat64())
		e.Observe(now, kind("a", "/cheap/x"), time.Duration(spread*40e6))
		e.Observe(now, kind("a", "/dear/x"), time.Duration(spread*400e6))
	}
	cheap, dear := e.Estimate(now, kind("a", "/cheap/y"), prior), e.Estimate(now, kind("a", "/dear/y"), prior)
	must.Between(t, 35*time.Millisecond, cheap.Mean(), 65*time.Millisecond)
	must.Between(t, 350*time.Millisecond, dear.Mean(), 650*time.Millisecond)
	must.Less(t, cheap.Mean()+300*time.Millisecond, cheap.Remaining(200*time.Millisecond), must.Sprint("a request that has run for long is expected to run on"))
	must.Less(t, dear.Mean(), dear.Remaining(100*time.Millisecond))
}

// Guards against a client account that sends most requests, all expensive, and makes
// the requests of others look expensive.
func TestOneClientDoesNotDistortTheOthers(t *testing.T) {
	e := wqcost.New()
	now := start
	for n := range 4000 {
		now = now.Add(time.Millisecond)
		if n%50 == 0 {
			for i := range 9 {
				e.Observe(now, kind(fmt.Sprint("small", i), "/x/y"), 20*time.Millisecond)
			}
		}
		e.Observe(now, kind("flood", "/x/y"), 800*time.Millisecond)
	}
	must.Less(t, 45*time.Millisecond, e.Estimate(now, kind("small1", "/x/y"), prior).Mean())
	must.Greater(t, 300*time.Millisecond, e.Estimate(now, kind("flood", "/x/y"), prior).Mean())
}

// Guards against a few wrong responses, as of a searcher that reports success at once
// or hangs, that move an estimate for long.
func TestFewWrongResponsesMoveLittle(t *testing.T) {
	e := wqcost.New()
	now := start
	observe := func(count int, cost time.Duration) {
		for range count {
			now = now.Add(5 * time.Millisecond)
			e.Observe(now, kind("a", "/x/y"), cost)
		}
	}
	observe(500, 50*time.Millisecond)
	before := e.Estimate(now, kind("a", "/x/y"), prior).Mean()
	observe(3, time.Hour)
	observe(3, 0)
	observe(3, -time.Hour)
	after := e.Estimate(now, kind("a", "/x/y"), prior).Mean()
	must.Between(t, before*3/4, after, before*5/4)
}

// Guards against memory that grows with the paths and accounts that clients make up, and
// against values out of range for any input and any clock.
func TestEstimatesAreFiniteForAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := wqcost.New()
		for range 300 {
			now := start.Add(time.Duration(rapid.Int64Range(-1<<60, 1<<60).Draw(t, "clock")))
			k := wqcost.Kind{Route: rapid.StringN(0, 2, 4).Draw(t, "route"), Tenant: rapid.String().Draw(t, "tenant"), Path: rapid.String().Draw(t, "path"), BodyBytes: rapid.Int().Draw(t, "body")}
			e.Observe(now, k, time.Duration(rapid.Int64().Draw(t, "cost")))
			d := e.Estimate(now, k, time.Duration(rapid.Int64().Draw(t, "prior")))
			passed := time.Duration(rapid.Int64Range(0, 1<<55).Draw(t, "passed"))
			if d.Scale < time.Microsecond || d.Mean() <= 0 || d.Remaining(passed) < 0 || d.Done(passed) < 0 || d.Done(passed) > d.Mean() {
				t.Fatalf("scale %v, mean %v, remaining %v, done %v after %v", d.Scale, d.Mean(), d.Remaining(passed), d.Done(passed), passed)
			}
		}
	})
}

func TestMadeUpPathsDoNotDisplaceKnownOnes(t *testing.T) {
	e := wqcost.New()
	now := start
	for n := range 20000 {
		now = now.Add(time.Millisecond)
		e.Observe(now, kind("flood", fmt.Sprintf("/%d/x/", n)), 100*time.Millisecond)
		e.Observe(now, kind("a", "/dear/x/"), 900*time.Millisecond)
	}
	must.Greater(t, 400*time.Millisecond, e.Estimate(now, kind("a", "/dear/x/"), prior).Mean())
}
