package wqretryafter_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqretryafter"
)

// Guards against callers that are told to come back before they can be served, much
// later, or all at the same time.
func TestSpreadDelayIsAfterTheWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "wait"))
		must.Between(t, wait, wqretryafter.Spread(wait, rapid.Uint64().Draw(t, "random")), wait+time.Second)
		must.Greater(t, wqretryafter.Spread(wait, 0), wqretryafter.Spread(wait, math.MaxUint64))
	})
}
