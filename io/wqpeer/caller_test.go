package wqpeer

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqtenant"
)

// Guards against a key that reaches a hub, and a hub that does not know who the caller is.
func TestCallerOfAFanOutReachesTheHubWithoutItsKey(t *testing.T) {
	for _, c := range []wqcall.Call{
		{Identified: true, Tenant: "shop", Priority: 2, Key: wqcall.KeyUse{Digest: wqtenant.DigestOf("secret"), Version: 7}, Authorization: []string{"Bearer secret"}},
		{Identified: true},
		{Authorization: []string{"Bearer a", ""}, Priority: 1},
	} {
		data, err := json.Marshal(encodeCaller(&c))
		must.NoError(t, err)
		must.StrNotContains(t, string(data), "secret")
		var e caller
		must.NoError(t, json.Unmarshal(data, &e))
		var got wqcall.Call
		e.decodeInto(&got)
		if c.Identified {
			c.Authorization = nil
		}
		must.Eq(t, c, got)
	}
}
