package tier_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

const (
	oldKey = "sk-old-4b1d90"
	newKey = "sk-new-77ac02"
)

// bearer returns the header of a caller with a key that claims another client account.
func bearer(key string) http.Header {
	return http.Header{"Authorization": {"bearer  " + key}, "Tenant": {"other", "shop"}, "tenant": {"other"}}
}

// tenantConfiguration returns a configuration whose only client account has these keys;
// its route /one/ admits anonymous callers.
func tenantConfiguration(f *wqfakeplatform.Fleet, version int, keys ...string) wqfakeplatform.Configuration {
	c := f.Configuration(version, initialShards)
	c.Tenants = []wqfakeplatform.Tenant{{Name: "shop", APIKeys: keys}}
	c.Routes[1].AllowAnonymous = true
	return c
}

// checkIdentities checks what all searchers got: the account of the key, or none, and no
// key; and that no VM logged a key.
func checkIdentities(t *testing.T, f *wqfakeplatform.Fleet) {
	t.Helper()
	for _, s := range f.AllSearchers() {
		for _, e := range s.Executions() {
			must.SliceEmpty(t, e.Authorization)
			must.True(t, slices.Equal(e.Tenant, []string{"shop"}) || s.Service == "orders" && len(e.Tenant) == 0, must.Sprint(e))
		}
	}
	for _, vm := range f.VMs {
		must.StrNotContains(t, vm.Log(), "sk-")
	}
}

// Guards against keys that are accepted or refused on some route, VM or hub only, and keys
// and accounts of the caller's own that reach a searcher. With 14 VMs, fan-outs go through
// hubs.
func TestCallersAreIdentifiedByTheirKeys(t *testing.T) {
	f := startFleet(t, 14)
	f.Eventually(10*time.Second, func() bool { return len(hubVMs(f)) == 6 })
	f.PutConfiguration(tenantConfiguration(f, 2, oldKey))
	time.Sleep(wqfakeplatform.MaxApplyTime)
	for _, vm := range f.VMs[:6] {
		for target, method := range map[string]string{"/all/x": http.MethodGet, "/one/x": http.MethodGet, "/write/x": http.MethodPost} {
			anonymous := http.StatusUnauthorized
			if target == "/one/x" {
				anonymous = http.StatusOK
			}
			must.Eq(t, http.StatusOK, f.SendWithHeader(vm, method, target, "", time.Second, bearer(oldKey)).Code)
			must.Eq(t, anonymous, f.SendWithHeader(vm, method, target, "", time.Second, http.Header{"Tenant": {"other"}}).Code)
			must.Eq(t, http.StatusUnauthorized, f.SendWithHeader(vm, method, target, "", time.Second, bearer("sk-wrong")).Code)
		}
	}
	checkGuarantees(t, f)
	checkIdentities(t, f)
}

// Guards against a key that stays valid on a VM that the store alone refuses, and against
// one that is refused with 401 by a VM that has no configuration yet.
func TestKeysChangeEverywhereWhileTheStoreRefusesOneVM(t *testing.T) {
	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 4, Shards: shardCount})
	code := 0
	for deadline := time.Now().Add(10 * time.Second); code == 0 && time.Now().Before(deadline); { // Until the process listens.
		code = f.SendWithHeader(f.VMs[0], http.MethodGet, "/one/x", "", time.Second, bearer(oldKey)).Code
	}
	must.Eq(t, http.StatusServiceUnavailable, code)
	f.PutConfiguration(tenantConfiguration(f, 1, oldKey))
	f.WaitReady()
	f.VMs[1].StoreProxy.Disconnect()
	f.PutConfiguration(tenantConfiguration(f, 2, newKey))
	time.Sleep(wqfakeplatform.MaxApplyTime)
	for _, vm := range f.VMs {
		must.Eq(t, http.StatusUnauthorized, f.SendWithHeader(vm, http.MethodPost, "/write/x", "", time.Second, bearer(oldKey)).Code)
		must.Eq(t, http.StatusOK, f.SendWithHeader(vm, http.MethodPost, "/write/x", "", time.Second, bearer(newKey)).Code)
	}
	checkGuarantees(t, f)
	checkIdentities(t, f)
}

// Guards against a request that waits for a connection while its key is withdrawn, and is
// sent afterwards.
func TestRequestThatWaitsIsNotSentAfterItsKeyWasWithdrawn(t *testing.T) {
	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 1, Shards: shardCount})
	c := tenantConfiguration(f, 1, oldKey)
	c.Routes[2].TimeoutMs = 9000
	for i := range c.Services {
		c.Services[i].MaxConnections = 2 // One for each searcher and VM.
	}
	f.PutConfiguration(c)
	f.WaitReady()
	setBehaviour(f, "invoices", wqfakeplatform.Behaviour{ProcessingTime: 5 * time.Second})
	replies := make(chan wqfakeplatform.Reply, 8)
	for range cap(replies) {
		go func() {
			replies <- f.SendWithHeader(f.VMs[0], http.MethodPost, "/write/x", "order", 9*time.Second, bearer(oldKey))
		}()
	}
	time.Sleep(500 * time.Millisecond)
	c.Version, c.Tenants[0].APIKeys = 2, []string{newKey}
	f.PutConfiguration(c)
	codes := make(map[int]int)
	for range cap(replies) {
		codes[(<-replies).Code]++
	}
	must.Eq(t, map[int]int{http.StatusOK: 2, http.StatusUnauthorized: 6}, codes)
	checkGuarantees(t, f)
	checkIdentities(t, f)
}
