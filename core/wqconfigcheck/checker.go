// Package wqconfigcheck checks a version of the operators' configuration before it is
// put in force: it finds what VMs refuse, entries that can never be used, limits that
// contradict each other, and what changes for clients.
//
// Errors are found by the code with which a VM decides whether it can serve a version,
// wqroute.Table.Problem and wqtenant.Problems, applied to each entry so that all of them
// are found.
//
// # Usage
//
//	c := wqconfigcheck.Checker{RetryLimits: &limits}
//	report := c.Check(next, inForce)
//	errors, warnings := report.Count()
package wqconfigcheck

import (
	"fmt"
	"slices"
	"strings"

	"wisteriaquay/core/wqretryquota"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtenant"
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
	services := make(map[string]wqroute.Service, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = s
	}
	t := wqroute.NewTable(c.Version, c.Routes, services, c.Limits)
	t.Tenants = wqtenant.New(c.Accounts)
	return t
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
		add(c.at(i, Whole), wqroute.NewTable(0, c.Routes[i:i+1], nil, wqroute.Limits{}))
	}
	last := make(map[string]int) // VMs use the last entry of a name only.
	for i, s := range c.Services {
		last[s.Name] = i
	}
	for i, s := range c.Services {
		if last[s.Name] != i {
			continue
		}
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

// accountRemedies are the remedies for the fields of client accounts.
var accountRemedies = map[Field]string{
	Whole:    "use fewer client accounts",
	Name:     "give each client account a name of its own, of up to 256 bytes; searchers get it with each request",
	Keys:     "give each client a key of its own, of 1 to 4096 bytes",
	Rate:     "use 0 for no limit, or at most 1e9 a second",
	Burst:    "use a value from 0 to 1e9",
	Priority: "use 0 or a higher number, or leave it out for that of the route",
}

// findAccountErrors returns the reasons for which VMs refuse the client accounts.
func findAccountErrors(accounts []wqtenant.Tenant) []Finding {
	var findings []Finding
	for _, p := range wqtenant.Problems(accounts) {
		l := Location{Section: Accounts, Index: p.Index, Field: Field(p.Field)}
		if p.Index >= 0 {
			l.Name = accounts[p.Index].Name
		}
		findings = append(findings, Finding{Error, l, p.Text, accountRemedies[l.Field]})
	}
	return findings
}
