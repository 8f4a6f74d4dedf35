package wqtenant_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqtenant"
)

const key = "k-5f2a"

func registry() *wqtenant.Registry {
	return wqtenant.New([]wqtenant.Tenant{
		{Name: "shop", KeyDigests: []wqtenant.Digest{wqtenant.DigestOf(key), wqtenant.DigestOf("second")}},
		{Name: "idle"},
	})
}

// Guards against a form of the header that passes as a key, or a key that is not recognized
// because of spaces or the case of its scheme.
func TestEachFormOfAuthorizationHasOneVerdict(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   wqtenant.Verdict
	}{
		{nil, wqtenant.NoKey},
		{[]string{""}, wqtenant.NoKey},
		{[]string{" \t"}, wqtenant.NoKey},
		{[]string{"Bearer " + key}, wqtenant.Known},
		{[]string{"bearer " + key}, wqtenant.Known},
		{[]string{"BEARER \t " + key + " "}, wqtenant.Known},
		{[]string{"  Bearer second"}, wqtenant.Known},
		{[]string{"Bearer " + strings.ToUpper(key)}, wqtenant.Unknown},
		{[]string{"Bearer " + key + "," + key}, wqtenant.Unknown},
		{[]string{"Bearer other"}, wqtenant.Unknown},
		{[]string{"Bearer"}, wqtenant.Malformed},
		{[]string{"Bearer "}, wqtenant.Malformed},
		{[]string{"Bearer" + key}, wqtenant.Malformed},
		{[]string{"Basic " + key}, wqtenant.Malformed},
		{[]string{key}, wqtenant.Malformed},
		{[]string{"Bearer " + strings.Repeat("a", 10<<10)}, wqtenant.Malformed},
		{[]string{"Bearer " + key, "Bearer " + key}, wqtenant.Malformed},
		{[]string{"", "Bearer " + key}, wqtenant.Malformed},
	} {
		tenant, digest, got := registry().Identify(c.values)
		must.Eq(t, c.want, got, must.Sprint(c.values))
		must.Eq(t, c.want == wqtenant.Known, tenant != nil && tenant.Name == "shop" && registry().Has(digest))
	}
}

// Guards against a configuration that gives one key to two accounts, or quotas that can't
// be counted, and against a message that shows a key.
func TestRegistriesThatCannotBeServedHaveAProblem(t *testing.T) {
	d := wqtenant.DigestOf(key)
	for name, tenants := range map[string][]wqtenant.Tenant{
		"empty name":        {{Name: ""}},
		"name in two lines": {{Name: "a\r\nTenant: b"}},
		"long name":         {{Name: strings.Repeat("a", 300)}},
		"repeated name":     {{Name: "a"}, {Name: "a"}},
		"negative rate":     {{Name: "a", Rate: -1}},
		"rate not a number": {{Name: "a", Rate: math.NaN()}},
		"endless rate":      {{Name: "a", Rate: math.Inf(1)}},
		"huge rate":         {{Name: "a", Rate: 1e300}},
		"huge burst":        {{Name: "a", Burst: 1e300}},
		"negative burst":    {{Name: "a", Burst: -1}},
		"negative priority": {{Name: "a", Priority: -1}},
		"key of two":        {{Name: "a", KeyDigests: []wqtenant.Digest{d}}, {Name: "b", KeyDigests: []wqtenant.Digest{d}}},
		"key twice":         {{Name: "a", KeyDigests: []wqtenant.Digest{d, d}}},
		"empty key":         {{Name: "a", KeyDigests: []wqtenant.Digest{wqtenant.DigestOf("")}}},
		"long key":          {{Name: "a", KeyDigests: []wqtenant.Digest{wqtenant.DigestOf(strings.Repeat("k", 5000))}}},
		"too many":          make([]wqtenant.Tenant, wqtenant.MaxTenants+1),
	} {
		problem := wqtenant.New(tenants).Problem()
		must.NotEq(t, "", problem, must.Sprint(name))
		must.StrHasSuffix(t, wqtenant.Problems(tenants)[0].Text, problem, must.Sprint(name))
		must.StrNotContains(t, problem, key)
		must.StrNotContains(t, problem, fmt.Sprintf("%x", d[:4]))
	}
	must.Eq(t, "", registry().Problem())
	must.SliceEmpty(t, wqtenant.Problems(registry().Tenants()))
	must.Len(t, 5, wqtenant.Problems([]wqtenant.Tenant{{Rate: -1, Burst: -1}, {Name: "a", KeyDigests: []wqtenant.Digest{d, d}}, {Name: "a"}}), must.Sprint("all problems of all accounts"))
	must.Nil(t, wqtenant.New(nil))
	must.Eq(t, "", (*wqtenant.Registry)(nil).Problem())
}

func FuzzIdentify(f *testing.F) {
	f.Add("Bearer " + key)
	f.Fuzz(func(t *testing.T, value string) {
		tenant, _, verdict := registry().Identify([]string{value})
		if (verdict == wqtenant.Known) != (tenant != nil) {
			t.Fatalf("verdict %d", verdict)
		}
	})
}
