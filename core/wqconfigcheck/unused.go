package wqconfigcheck

import (
	"fmt"
	"strings"

	"wisteriaquay/core/wqroute"
)

// findUnused returns the entries that no request can ever use, and uses of entries that
// are missing.
func findUnused(c *Configuration) []Finding {
	findings := findHiddenRoutes(c)
	for i := range c.Routes {
		findings = append(findings, findUnusedParts(c, i)...)
	}
	findings = append(findings, findUnusedServices(c)...)
	findings = append(findings, findUnusedAccounts(c)...)
	return findings
}

// findHiddenRoutes returns the routes that match no request.
func findHiddenRoutes(c *Configuration) []Finding {
	t := wqroute.NewTable(c.Version, c.Routes, nil, wqroute.Limits{})
	var findings []Finding
	names := make(map[string]int)
	for i := range c.Routes {
		r := &c.Routes[i]
		if problem := unmatchable(r); problem != "" {
			findings = append(findings, Finding{Warning, c.at(i, Prefix), problem, "correct the host and the prefix; the route matches no request"})
		} else if other := t.Match(r.Host, r.Prefix); other != r {
			findings = append(findings, Finding{
				Warning, c.at(i, Prefix), fmt.Sprintf("the route is hidden by %q, which has the same host and prefix", other.Name), "remove one of them",
			})
		} else if !strings.HasSuffix(r.Prefix, "/") {
			findings = append(findings, Finding{Warning, c.at(i, Prefix), "the prefix does not end with a slash; it also matches longer names", "end it with a slash"})
		}
		if first, repeated := names[r.Name]; repeated {
			findings = append(findings, Finding{Warning, c.at(i, Name), fmt.Sprintf("the name is also that of entry %d; both share weights, latencies and metrics", first), "rename one"})
		} else {
			names[r.Name] = i
		}
	}
	return findings
}

// unmatchable returns why no request can match a route, empty if one can. A path is
// matched as it was sent, and a host without its port.
func unmatchable(r *wqroute.Route) string {
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		return "the prefix does not begin with a slash"
	case strings.ContainsAny(r.Prefix, "?# "):
		return "the prefix has a character that no path has"
	case strings.Contains(r.Host, "/") || strings.Contains(r.Host, ":") && !strings.HasPrefix(r.Host, "["):
		return "the host has a port or a path"
	case r.Host == "":
		return "the host is empty"
	}
	return ""
}

// findUnusedParts returns the parts of a route that get no requests.
func findUnusedParts(c *Configuration, i int) []Finding {
	r := &c.Routes[i]
	var findings []Finding
	switch {
	case len(r.Parts) == 0 && !r.FanOut():
		findings = append(findings, Finding{Warning, c.at(i, Parts), "the route has no service; each request is refused", "name a service"})
	case r.FanOut() && len(r.Parts) > 0:
		findings = append(findings, Finding{Warning, c.at(i, Parts), "the services are not used, because the route is a fan-out", "remove them or the shards"})
	}
	seen := make(map[string]bool)
	for _, p := range r.Parts {
		if p.Weight == 0 {
			findings = append(findings, Finding{Warning, c.at(i, Parts), fmt.Sprintf("service %q has weight 0 and gets no requests", p.Service), "remove it or raise its weight"})
		}
		if seen[p.Service] {
			findings = append(findings, Finding{Warning, c.at(i, Parts), fmt.Sprintf("service %q is named twice; its weights add up", p.Service), "name it once"})
		}
		seen[p.Service] = true
	}
	return findings
}

// findUnusedServices returns the services that no route names, that are listed twice,
// and that routes name without an entry.
func findUnusedServices(c *Configuration) []Finding {
	var findings []Finding
	listed := make(map[string]int)
	for i, s := range c.Services {
		if first, repeated := listed[s.Name]; repeated {
			findings = append(findings, Finding{
				Warning, Location{Section: Services, Index: first, Name: s.Name}, fmt.Sprintf("entry %d has the same name and replaces it", i), "remove one of them",
			})
		}
		listed[s.Name] = i
	}
	named := make(map[string]bool)
	for i := range c.Routes {
		missing := func(name string, f Field) {
			if _, ok := listed[name]; !ok && !named[name] {
				findings = append(findings, Finding{Warning, c.at(i, f), fmt.Sprintf("service %q has no entry; defaults hold for it", name), "add the service or correct the name"})
			}
			named[name] = true
		}
		for _, p := range c.Routes[i].Parts {
			missing(p.Service, Parts)
		}
		for _, s := range c.Routes[i].Shards {
			missing(s, Shards)
		}
	}
	for i, s := range c.Services {
		if !named[s.Name] {
			findings = append(findings, Finding{Warning, Location{Section: Services, Index: i, Name: s.Name}, "no route names the service", "remove it or add a route"})
		}
	}
	return findings
}

// findUnusedAccounts returns the client accounts that nobody can use, and what has no
// effect without accounts.
func findUnusedAccounts(c *Configuration) []Finding {
	var findings []Finding
	keyCount, anonymousCount := 0, 0
	for i, a := range c.Accounts {
		keyCount += len(a.KeyDigests)
		if len(a.KeyDigests) == 0 {
			findings = append(findings, Finding{Warning, Location{Section: Accounts, Index: i, Name: a.Name, Field: Keys}, "the client account has no key; nobody can use it", "add a key or remove it"})
		}
	}
	for i := range c.Routes {
		if !c.Routes[i].AllowAnonymous {
			continue
		}
		anonymousCount++
		if len(c.Accounts) == 0 {
			findings = append(findings, Finding{Warning, c.at(i, AllowAnonymous), "it has no effect without client accounts; every caller may use every route", "remove it or add client accounts"})
		}
	}
	if len(c.Accounts) > 0 && keyCount == 0 && anonymousCount == 0 {
		findings = append(findings, Finding{Warning, Location{Section: Accounts, Index: -1}, "no client account has a key, and no route allows callers without one; every request is refused", "add keys"})
	}
	return findings
}
