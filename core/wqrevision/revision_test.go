package wqrevision_test

import (
	"cmp"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqrevision"
)

// Guards against a state from before a restore that counts as later than one after it.
func TestOrdinalsOrderErasBeforeNumbers(t *testing.T) {
	revisions := rapid.Custom(func(t *rapid.T) wqrevision.Revision {
		return wqrevision.Revision{Era: rapid.Uint64Range(0, wqrevision.MaxEra).Draw(t, "era"), Number: rapid.Uint64Range(0, wqrevision.MaxNumber).Draw(t, "number")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := revisions.Draw(t, "a"), revisions.Draw(t, "b")
		must.Eq(t, a, wqrevision.Of(a.Ordinal()))
		must.Eq(t, cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Number, b.Number)), cmp.Compare(a.Ordinal(), b.Ordinal()))
	})
}

func TestRevisionWithoutEraIsItsOrdinal(t *testing.T) {
	must.Eq(t, 530, wqrevision.Revision{Number: 530}.Ordinal())
}

func TestOrdinalsOutOfRangeAreBounded(t *testing.T) {
	r := wqrevision.Revision{Era: 1 << 63, Number: 1 << 63}
	must.Eq(t, wqrevision.Revision{Era: wqrevision.MaxEra, Number: wqrevision.MaxNumber}, wqrevision.Of(r.Ordinal()))
}
