package wqconfigcheck

import (
	"fmt"
	"slices"
	"strings"

	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtenant"
)

// maxShownServices is the number of services up to which a change shows them all.
const maxShownServices = 5

// findChanges returns the entries that differ, section by section, by their names.
func findChanges(before, after *Configuration) []Change {
	changes := compareEntries(Routes, before.Routes, after.Routes, func(r *wqroute.Route) string { return r.Name }, compareRoutes)
	changes = append(changes, compareEntries(Services, before.Services, after.Services, func(s *wqroute.Service) string { return s.Name }, compareServices)...)
	changes = append(changes, compareEntries(Accounts, before.Accounts, after.Accounts, func(a *wqtenant.Tenant) string { return a.Name }, compareAccounts)...)
	limits := Change{Kind: "changed", Section: Limits, Fields: compareLimits(&before.Limits, &after.Limits)}
	if len(limits.Fields) > 0 {
		changes = append(changes, limits)
	}
	return changes
}

// occurrence identifies an entry by its name. Nth tells entries of the same name apart.
type occurrence struct {
	name string
	nth  int
}

// occurrences returns the identity of each entry in order, and the entries by it.
func occurrences[E any](entries []E, name func(*E) string) ([]occurrence, map[occurrence]*E) {
	order, found, counts := make([]occurrence, len(entries)), make(map[occurrence]*E, len(entries)), make(map[string]int)
	for i := range entries {
		n := name(&entries[i])
		order[i] = occurrence{n, counts[n]}
		found[order[i]] = &entries[i]
		counts[n]++
	}
	return order, found
}

// compareEntries returns the differences of a section. Compare fills in what differs
// between two entries, of which one may be nil.
func compareEntries[E any](section Section, before, after []E, name func(*E) string, compare func(c *Change, before, after *E)) []Change {
	var changes []Change
	oldOrder, old := occurrences(before, name)
	newOrder, current := occurrences(after, name)
	for _, o := range oldOrder {
		c := Change{Kind: "changed", Section: section, Name: o.name}
		if current[o] == nil {
			c.Kind = "removed"
		}
		compare(&c, old[o], current[o])
		if c.Kind != "changed" || len(c.Fields) > 0 || c.KeysAdded > 0 || c.KeysRemoved > 0 {
			changes = append(changes, c)
		}
	}
	for _, o := range newOrder {
		if old[o] == nil {
			c := Change{Kind: "added", Section: section, Name: o.name}
			compare(&c, nil, current[o])
			changes = append(changes, c)
		}
	}
	return changes
}

// appendChange appends the change of a field if its value differs.
func appendChange[V any](changes []FieldChange, f Field, before, after V) []FieldChange {
	b, a := fmt.Sprint(before), fmt.Sprint(after)
	if a == b {
		return changes
	}
	return append(changes, FieldChange{f, b, a})
}

func compareRoutes(c *Change, before, after *wqroute.Route) {
	if before == nil || after == nil {
		return
	}
	f := appendChange(nil, Host, before.Host, after.Host)
	f = appendChange(f, Prefix, before.Prefix, after.Prefix)
	f = appendChange(f, Idempotent, before.Idempotent, after.Idempotent)
	f = appendChange(f, Parts, describeParts(before.Parts), describeParts(after.Parts))
	if !slices.Equal(before.Shards, after.Shards) {
		f = append(f, FieldChange{Shards, describeShards(before.Shards, after.Shards), describeShards(after.Shards, before.Shards)})
	}
	f = appendChange(f, Top, before.Top, after.Top)
	f = appendChange(f, LeastShare, before.LeastShare, after.LeastShare)
	f = appendChange(f, Attempts, before.Attempts, after.Attempts)
	f = appendChange(f, Timeout, before.Timeout, after.Timeout)
	f = appendChange(f, Objective, before.Objective, after.Objective)
	f = appendChange(f, Priority, before.Priority, after.Priority)
	c.Fields = appendChange(f, AllowAnonymous, before.AllowAnonymous, after.AllowAnonymous)
}

func describeParts(parts []wqroute.Part) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = fmt.Sprintf("%s %v", p.Service, p.Weight)
	}
	return strings.Join(texts, ", ")
}

// describeShards describes the shards of one version: how many, and which of them the
// other version does not have.
func describeShards(shards, other []string) string {
	var only []string
	for _, s := range shards {
		if !slices.Contains(other, s) {
			only = append(only, s)
		}
	}
	text := fmt.Sprintf("%d shards", len(shards))
	if len(only) == 0 {
		return text
	}
	text += ", only here: " + strings.Join(only[:min(len(only), maxShownServices)], ", ")
	if len(only) > maxShownServices {
		text += fmt.Sprintf(" and %d more", len(only)-maxShownServices)
	}
	return text
}

func compareServices(c *Change, before, after *wqroute.Service) {
	if before == nil || after == nil {
		return
	}
	f := appendChange(nil, HealthPath, before.HealthPath, after.HealthPath)
	f = appendChange(f, MaxConnections, before.MaxConnections, after.MaxConnections)
	f = appendChange(f, ColdStartRate, before.ColdStartRate, after.ColdStartRate)
	c.Fields = appendChange(f, ColdStartDuration, before.ColdStartDuration, after.ColdStartDuration)
}

// compareAccounts compares two client accounts. Keys are counted and never shown.
func compareAccounts(c *Change, before, after *wqtenant.Tenant) {
	if before == nil {
		c.KeysAdded = len(after.KeyDigests)
		return
	}
	if after == nil {
		c.KeysRemoved = len(before.KeyDigests)
		return
	}
	c.KeysAdded = countMissing(after.KeyDigests, before.KeyDigests)
	c.KeysRemoved = countMissing(before.KeyDigests, after.KeyDigests)
	c.Fields = appendChange(nil, Rate, before.Rate, after.Rate)
	c.Fields = appendChange(c.Fields, Burst, before.Burst, after.Burst)
	c.Fields = appendChange(c.Fields, Priority, describePriority(before), describePriority(after))
}

func describePriority(a *wqtenant.Tenant) string {
	if !a.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(a.Priority)
}

// countMissing returns how many keys are not among others.
func countMissing(keys, others []wqtenant.Digest) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}

func compareLimits(before, after *wqroute.Limits) []FieldChange {
	f := appendChange(nil, MaxHeaderBytes, before.MaxHeaderBytes, after.MaxHeaderBytes)
	f = appendChange(f, MaxBodyBytes, before.MaxBodyBytes, after.MaxBodyBytes)
	f = appendChange(f, HeaderTimeout, before.HeaderTimeout, after.HeaderTimeout)
	return appendChange(f, IdleTimeout, before.IdleTimeout, after.IdleTimeout)
}
