package wqconfigcheck_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqconfigcheck"
	"wisteriaquay/core/wqretryquota"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtenant"
)

// clean returns a configuration without findings.
func clean() *wqconfigcheck.Configuration {
	route := func(name string) wqroute.Route {
		return wqroute.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 200 * time.Millisecond,
		}
	}
	c := &wqconfigcheck.Configuration{
		Version: 2, Limits: wqroute.Limits{MaxBodyBytes: 100},
		Routes:   []wqroute.Route{route("one"), route("all")},
		Services: []wqroute.Service{{Name: "s"}, {Name: "s1"}, {Name: "s2"}, {Name: "s3"}},
		Accounts: []wqtenant.Tenant{{Name: "x", KeyDigests: []wqtenant.Digest{{1}, {2}}, Rate: 10, Burst: 5}, {Name: "y", KeyDigests: []wqtenant.Digest{{3}}}},
	}
	c.Routes[0].Parts = []wqroute.Part{{Service: "s", Weight: 1}}
	c.Routes[1].Shards, c.Routes[1].Top, c.Routes[1].LeastShare = []string{"s1", "s2", "s3"}, 5, 0.6
	return c
}

type (
	configuration = wqconfigcheck.Configuration
	account       = wqtenant.Tenant
)

// Guards against problems that the check does not find, and against findings at the
// wrong place or without a remedy.
func TestEachProblemIsFoundAtItsPlace(t *testing.T) {
	checker := wqconfigcheck.Checker{RetryLimits: &wqretryquota.Limits{Ratio: 0.2, Slack: 3}}
	must.SliceEmpty(t, checker.Check(clean(), nil).Findings)
	for name, c := range map[string]struct {
		change func(c *configuration)
		want   string // severity, section, index and field of the only finding
	}{
		"error of a route":       {func(c *configuration) { c.Routes[0].Objective = -1 }, "error routes 0 "},
		"error of a service":     {func(c *configuration) { c.Services[2].ColdStartRate = math.NaN() }, "error services 2 "},
		"error of the limits":    {func(c *configuration) { c.Limits.MaxHeaderBytes = -1 }, "error limits 0 "},
		"refused by the decoder": {func(c *configuration) { c.Refusal = "x" }, "error  0 "},
		"hidden prefix":          {func(c *configuration) { c.Routes[1].Prefix = "/one/" }, "warning routes 1 prefix"},
		"prefix without a slash": {func(c *configuration) { c.Routes[1].Prefix = "all/" }, "warning routes 1 prefix"},
		"host with a port":       {func(c *configuration) { c.Routes[1].Host = "h:80" }, "warning routes 1 prefix"},
		"prefix of a name":       {func(c *configuration) { c.Routes[1].Prefix = "/all" }, "warning routes 1 prefix"},
		"repeated name":          {func(c *configuration) { c.Routes[1].Name = "one" }, "warning routes 1 name"},
		"unused service":         {func(c *configuration) { c.Services = append(c.Services, wqroute.Service{Name: "z"}) }, "warning services 4 "},
		"missing service":        {func(c *configuration) { c.Services = c.Services[1:] }, "warning routes 0 parts"},
		"repeated service":       {func(c *configuration) { c.Services = append(c.Services, wqroute.Service{Name: "s"}) }, "warning services 0 "},
		"replaced service": {func(c *configuration) {
			c.Services = append([]wqroute.Service{{Name: "s", ColdStartRate: -1}}, c.Services...)
		}, "warning services 0 "},
		"weight 0":                 {func(c *configuration) { c.Routes[0].Parts = append(c.Routes[0].Parts, wqroute.Part{Service: "s1"}) }, "warning routes 0 parts"},
		"no key":                   {func(c *configuration) { c.Accounts[1].KeyDigests = nil }, "warning accounts 1 keys"},
		"repeated key":             {func(c *configuration) { c.Accounts[1].KeyDigests = c.Accounts[0].KeyDigests[1:] }, "error accounts 1 keys"},
		"no account name":          {func(c *configuration) { c.Accounts[0].Name = "" }, "error accounts 0 name"},
		"repeated account":         {func(c *configuration) { c.Accounts[1].Name = "x" }, "error accounts 1 name"},
		"empty key":                {func(c *configuration) { c.Accounts[1].KeyDigests[0] = wqtenant.DigestOf("") }, "error accounts 1 keys"},
		"name in two lines":        {func(c *configuration) { c.Accounts[1].Name = "y\r\nTenant: x" }, "error accounts 1 name"},
		"priority out of range":    {func(c *configuration) { c.Accounts[0].Priority = -1 }, "error accounts 0 priority"},
		"rate out of range":        {func(c *configuration) { c.Accounts[1].Rate = 1e300 }, "error accounts 1 rate"},
		"burst out of range":       {func(c *configuration) { c.Accounts[0].Burst = -1 }, "error accounts 0 burst"},
		"burst under one":          {func(c *configuration) { c.Accounts[0].Burst = 0.5 }, "warning accounts 0 burst"},
		"burst without a rate":     {func(c *configuration) { c.Accounts[0].Rate = 0 }, "warning accounts 0 burst"},
		"anonymous without a need": {func(c *configuration) { c.Accounts = nil; c.Routes[0].AllowAnonymous = true }, "warning routes 0 allow_anonymous"},
		"objective over timeout":   {func(c *configuration) { c.Routes[0].Objective = 2 * time.Second }, "warning routes 0 objective"},
		"no timeout":               {func(c *configuration) { c.Routes[0].Timeout = 0 }, "warning routes 0 timeout"},
		"least share needs all":    {func(c *configuration) { c.Routes[1].LeastShare = 0.9 }, "warning routes 1 least_share"},
		"no records":               {func(c *configuration) { c.Routes[1].Top = 0 }, "warning routes 1 top"},
		"attempts over the sends":  {func(c *configuration) { c.Routes[0].Attempts = 7 }, "warning routes 0 attempts"},
		"attempts over the budget": {func(c *configuration) { c.Routes[0].Attempts = 5 }, "warning routes 0 attempts"},
		"attempts of writes":       {func(c *configuration) { c.Routes[0].Idempotent = false }, "warning routes 0 attempts"},
		"cold start without rate":  {func(c *configuration) { c.Services[0].ColdStartDuration = time.Second }, "warning services 0 cold_start_rate"},
		"no bodies":                {func(c *configuration) { c.Limits.MaxBodyBytes = 0 }, "warning limits 0 max_body_bytes"},
		"no service": {func(c *configuration) {
			c.Routes[0].Parts = nil
			c.Services = c.Services[1:]
		}, "warning routes 0 parts"},
	} {
		t.Run(name, func(t *testing.T) {
			next := clean()
			c.change(next)
			findings := checker.Check(next, nil).Findings
			must.Len(t, 1, findings, must.Sprint(findings))
			l := findings[0].Location
			must.Eq(t, c.want, fmt.Sprintf("%s %s %d %s", findings[0].Severity, l.Section, l.Index, l.Field))
			must.NotEq(t, "", findings[0].Problem)
			must.NotEq(t, "", findings[0].Remedy)
		})
	}
}

// Guards against a deployment that takes access from clients without notice, and
// against reports of losses that are none.
func TestLostAccessIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		before, after func(c *configuration)
		want          []string
	}{
		"key removed": {after: func(c *configuration) { c.Accounts[0].KeyDigests = c.Accounts[0].KeyDigests[:1] }, want: []string{`client account "x"`}},
		"key moved": {after: func(c *configuration) {
			c.Accounts[0].KeyDigests, c.Accounts[1].KeyDigests = nil, []wqtenant.Digest{{1}, {2}, {3}}
		}},
		"account removed":    {after: func(c *configuration) { c.Accounts = c.Accounts[1:] }, want: []string{`client account "x"`}},
		"account renamed":    {after: func(c *configuration) { c.Accounts[0].Name = "z" }},
		"accounts dropped":   {after: func(c *configuration) { c.Accounts = nil }},
		"accounts added":     {before: func(c *configuration) { c.Accounts = nil }, want: []string{`callers without a key of h/one/ of route "one"`, `callers without a key of h/all/ of route "all"`}},
		"anonymous no more":  {before: func(c *configuration) { c.Routes[0].AllowAnonymous = true }, want: []string{`callers without a key of h/one/ of route "one"`}},
		"route removed":      {after: func(c *configuration) { c.Routes = c.Routes[1:] }, want: []string{`all clients of h/one/ of route "one"`}},
		"served by a wider":  {after: func(c *configuration) { c.Routes[0].Prefix = "/" }},
		"hidden one removed": {before: func(c *configuration) { c.Routes = append(c.Routes, c.Routes[0]); c.Routes[2].Name = "hidden" }},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := clean(), clean()
			before.Version = 1
			if c.before != nil {
				c.before(before)
			}
			if c.after != nil {
				c.after(after)
			}
			var got []string
			for _, l := range (wqconfigcheck.Checker{}).Check(after, before).Losses {
				got = append(got, l.Client)
			}
			must.Eq(t, c.want, got)
		})
	}
}

// Guards against differences from the version in force that are not shown.
func TestChangesAreListedByName(t *testing.T) {
	before, after := clean(), clean()
	must.Len(t, 1, wqconfigcheck.Checker{}.Check(after, before).Findings, must.Sprint("the version is not higher"))
	after.Version = 3
	after.Routes[0].Timeout, after.Routes[1].Shards = 2*time.Second, []string{"s1", "s2", "s4"}
	after.Services = append(after.Services[1:], wqroute.Service{Name: "s4"})
	after.Accounts = append(after.Accounts[:1], account{Name: "z", KeyDigests: []wqtenant.Digest{{9}}})
	after.Accounts[0].KeyDigests = []wqtenant.Digest{{1}, {7}, {8}}
	after.Limits.MaxBodyBytes = 200
	r := wqconfigcheck.Checker{}.Check(after, before)
	must.Eq(t, []wqconfigcheck.Change{
		{Kind: "changed", Section: "routes", Name: "one", Fields: []wqconfigcheck.FieldChange{{Field: "timeout", Before: "1s", After: "2s"}}},
		{Kind: "changed", Section: "routes", Name: "all", Fields: []wqconfigcheck.FieldChange{{Field: "shards", Before: "3 shards, only here: s3", After: "3 shards, only here: s4"}}},
		{Kind: "removed", Section: "services", Name: "s"},
		{Kind: "added", Section: "services", Name: "s4"},
		{Kind: "changed", Section: "accounts", Name: "x", KeysAdded: 2, KeysRemoved: 1},
		{Kind: "removed", Section: "accounts", Name: "y", KeysRemoved: 1},
		{Kind: "added", Section: "accounts", Name: "z", KeysAdded: 1},
		{Kind: "changed", Section: "limits", Fields: []wqconfigcheck.FieldChange{{Field: "max_body_bytes", Before: "100", After: "200"}}},
	}, r.Changes)
}
