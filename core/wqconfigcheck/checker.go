// Package wqconfigcheck checks a version of the operators' configuration before it is
// put in force: it finds what VMs refuse, entries that can never be used, limits that
// contradict each other, and what changes for clients.
//
// Errors are found by the code with which a VM decides whether it can serve a version,
// wqroute.Table.Problem, applied to each entry alone so that all of them are found.
//
// # Usage
//
//	c := wqconfigcheck.Checker{RetryLimits: &limits}
//	report := c.Check(next, inForce)
//	errors, warnings := report.Count()
package wqconfigcheck

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"wisteriaquay/core/wqretryquota"
	"wisteriaquay/core/wqroute"
)

// Checker checks configurations. The zero value is ready to use.
type Checker struct {
	RetryLimits *wqretryquota.Limits // RetryLimits are those of the deployment; nil if they are not known.
}

// Check returns the findings of next. If inForce is not nil, it also returns what
// changes from that version.
func (c Checker) Check(next, inForce *Configuration) Report {
	r := Report{Findings: slices.Concat(next.Findings, findErrors(next))}
	r.Findings = append(r.Findings, findUnused(next)...)
	r.Findings = append(r.Findings, c.findContradictions(next)...)
	if inForce != nil {
		r.Findings = append(r.Findings, findOldVersion(next, inForce)...)
		r.Changes = findChanges(inForce, next)
		r.Losses = findLosses(inForce, next)
	}
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return strings.Compare(string(a.Severity), string(b.Severity)) }) // Errors first.
	return r
}

// findOldVersion returns a warning if next would not replace the version in force.
func findOldVersion(next, inForce *Configuration) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Warning, Location{Section: Version}, fmt.Sprintf("version %d is not higher than %d, which is in force; VMs ignore it", next.Version, inForce.Version), "raise the version",
	}}
}

// table returns the table that a VM would make of a configuration.
func (c *Configuration) table() *wqroute.Table {
	routes := make([]wqroute.Route, len(c.Routes))
	for i := range c.Routes {
		routes[i] = c.Routes[i].Route
	}
	services := make(map[string]wqroute.Service, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = s
	}
	return wqroute.NewTable(c.Version, routes, services, c.Limits)
}

// at returns the location of a field of a route.
func (c *Configuration) at(i int, f Field) Location {
	return Location{Section: Routes, Index: i, Name: c.Routes[i].Name, Field: f}
}

// findErrors returns the reasons for which VMs refuse a configuration.
func findErrors(c *Configuration) []Finding {
	const remedy = "correct it; VMs refuse the whole version"
	var findings []Finding
	add := func(l Location, t *wqroute.Table) {
		if problem := t.Problem(); problem != "" {
			findings = append(findings, Finding{Error, l, problem, remedy})
		}
	}
	for i := range c.Routes {
		add(c.at(i, Whole), wqroute.NewTable(0, []wqroute.Route{c.Routes[i].Route}, nil, wqroute.Limits{}))
	}
	for i, s := range c.Services {
		add(Location{Section: Services, Index: i, Name: s.Name}, wqroute.NewTable(0, nil, map[string]wqroute.Service{s.Name: s}, wqroute.Limits{}))
	}
	add(Location{Section: Limits}, wqroute.NewTable(0, nil, nil, c.Limits))
	findings = append(findings, findAccountErrors(c.Accounts)...)
	if len(findings) == 0 {
		add(Location{}, c.table())
	}
	if len(findings) == 0 && c.Refusal != "" {
		findings = append(findings, Finding{Error, Location{}, c.Refusal, remedy})
	}
	return findings
}

const (
	maxRate  = 1e9 // requests per second, as for services
	maxBurst = 1e9
)

// findAccountErrors returns the client accounts with names, keys or quotas that can't
// be used.
func findAccountErrors(accounts []Account) []Finding {
	var findings []Finding
	names, keys := make(map[string]int), make(map[[32]byte]Location)
	for i, a := range accounts {
		l := Location{Section: Accounts, Index: i, Name: a.Name}
		add := func(f Field, problem, remedy string) {
			at := l
			at.Field = f
			findings = append(findings, Finding{Error, at, problem, remedy})
		}
		if first, repeated := names[a.Name]; a.Name == "" {
			add(Name, "the client account has no name", "name it; searchers get the name with each request")
		} else if repeated {
			add(Name, fmt.Sprintf("the name is also that of entry %d", first), "merge the two or rename one")
		} else {
			names[a.Name] = i
		}
		if !inRange(a.Rate, maxRate) {
			add(Rate, fmt.Sprintf("the rate %v is out of range", a.Rate), "use 0 for no limit, or at most 1e9 a second")
		}
		if !inRange(a.Burst, maxBurst) {
			add(Burst, fmt.Sprintf("the burst %v is out of range", a.Burst), "use 0 for no limit, or at most 1e9")
		}
		for n, k := range a.Keys {
			if first, repeated := keys[k]; repeated {
				add(Keys, fmt.Sprintf("key %d is also a key of entry %d (%q)", n, first.Index, first.Name), "give each client a key of its own")
			} else {
				keys[k] = l
			}
		}
	}
	return findings
}

// inRange reports whether v is between 0 and limit; NaN is not.
func inRange(v, limit float64) bool { return v >= 0 && v <= limit && !math.IsNaN(v) }
