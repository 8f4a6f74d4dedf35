package wqverdict_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqverdict"
)

// evaluate passes rows of one second each to a new test, this many times.
func evaluate(times int, rows func(second int) []wqverdict.Row) *wqverdict.Test {
	t := wqverdict.New()
	for i := range times {
		t.Add(time.Unix(int64(1000+i), 0), rows(i))
	}
	return t
}

func oldRow(failed uint64) wqverdict.Row {
	return wqverdict.Row{Route: "r", Answered: 100 - failed, Failed: failed}
}

func newRow(searcher string, failed uint64) wqverdict.Row {
	return wqverdict.Row{Route: "r", New: true, Searcher: searcher, Answered: 5 - failed, Failed: failed}
}

// Guards against a good version that is given up because of faults that hit both sides.
func TestFaultOfBothSidesIsNotHeldAgainstTheNewOne(t *testing.T) {
	test := evaluate(30, func(second int) []wqverdict.Row {
		if second < 10 || second >= 20 {
			return []wqverdict.Row{oldRow(0), newRow("a", 0), newRow("b", 0)}
		}
		return []wqverdict.Row{oldRow(40), newRow("a", 2), newRow("b", 2)}
	})
	must.Eq(t, "", test.Bad())
}

// Guards against good responses that hide a fault which starts late.
func TestFaultThatStartsLateIsFound(t *testing.T) {
	test := evaluate(103, func(second int) []wqverdict.Row {
		if second < 100 {
			return []wqverdict.Row{oldRow(0), newRow("a", 0), newRow("b", 0)}
		}
		return []wqverdict.Row{oldRow(0), newRow("a", 2), newRow("b", 2)}
	})
	must.StrContains(t, test.Bad(), "failures")
}

// Guards against a verdict on the version because of one broken machine.
func TestOneBadSearcherIsNotTheVersion(t *testing.T) {
	test := evaluate(20, func(int) []wqverdict.Row {
		return []wqverdict.Row{oldRow(0), newRow("a", 4), newRow("b", 0)}
	})
	must.Eq(t, "", test.Bad())
	must.False(t, test.Suspicious())
}

// Guards against slow versions that answer without a failure, and against a slow limit that
// follows the old side once that has hardly any load.
func TestSlowAnswersAreFound(t *testing.T) {
	latency := func(d time.Duration, n uint32) []uint32 {
		buckets := make([]uint32, wqverdict.BucketCount)
		buckets[wqverdict.Bucket(d)] = n
		return buckets
	}
	for factor, bad := range map[time.Duration]bool{1: false, 2: false, 4: true} {
		test := wqverdict.New()
		for i := range 20 {
			test.LatencyFrozen = i > 10
			usual := 20 * time.Millisecond
			if test.LatencyFrozen {
				usual = 2 * time.Millisecond
			}
			test.Add(time.Unix(int64(1000+i), 0), []wqverdict.Row{
				{Route: "r", Answered: 50, Latency: latency(usual, 50)},
				{Route: "r", New: true, Searcher: "a", Answered: 5, Latency: latency(factor*20*time.Millisecond, 5)},
			})
		}
		must.Eq(t, bad, test.Bad() != "", must.Sprintf("%d times slower: %s", factor, test.Bad()))
	}
}
