package wqconnecterror

import (
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
)

func TestDecodeReturnsTheEncodedFault(t *testing.T) {
	sent := wqfault.New(wqfault.Overloaded, "512 queries are in progress", "retry after the given time")
	got := Decode(Encode(sent))
	must.Eq(t, sent.Error(), got.Error())
	must.Eq(t, wqfault.Overloaded, wqfault.KindOf(got))
}
