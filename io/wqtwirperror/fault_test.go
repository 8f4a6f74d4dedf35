package wqtwirperror

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
)

func TestFaultRoundTrips(t *testing.T) {
	for _, k := range []wqfault.Kind{wqfault.BadInput, wqfault.UnknownName, wqfault.Conflict, wqfault.Denied, wqfault.Overloaded, wqfault.Expired, wqfault.Leaving} {
		sent := wqfault.New(k, "message", "remedy")
		must.Eq(t, sent.Error(), Decode(Encode(sent)).Error())
	}
	other := errors.New("other")
	must.Eq(t, other, Decode(Encode(other)))
}
