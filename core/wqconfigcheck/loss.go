package wqconfigcheck

import (
	"fmt"

	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtenant"
)

// findLosses returns the access that clients have with before and not with after.
func findLosses(before, after *Configuration) []Loss {
	return append(findKeyLosses(before, after), findRouteLosses(before, after)...)
}

// findKeyLosses returns the clients whose keys identify no client account any more. A
// key that another account has now is not lost.
func findKeyLosses(before, after *Configuration) []Loss {
	if len(after.Accounts) == 0 {
		return nil // Every caller may use every route.
	}
	valid, names := make(map[wqtenant.Digest]bool), make(map[string]bool)
	for _, a := range after.Accounts {
		names[a.Name] = true
		for _, k := range a.KeyDigests {
			valid[k] = true
		}
	}
	var losses []Loss
	for _, a := range before.Accounts {
		lost := 0
		for _, k := range a.KeyDigests {
			if !valid[k] {
				lost++
			}
		}
		switch {
		case lost == 0:
		case !names[a.Name]:
			losses = append(losses, Loss{fmt.Sprintf("client account %q", a.Name), fmt.Sprintf("it is removed, with %d keys", lost)})
		case lost == len(a.KeyDigests):
			losses = append(losses, Loss{fmt.Sprintf("client account %q", a.Name), fmt.Sprintf("all %d keys are removed; its clients need a new one", lost)})
		default:
			losses = append(losses, Loss{fmt.Sprintf("client account %q", a.Name), fmt.Sprintf("%d of %d keys are removed; clients that use them need another one", lost, len(a.KeyDigests))})
		}
	}
	return losses
}

// findRouteLosses returns the routes that clients can't use any more: those whose
// requests match no route, and those that callers without a key may not use.
func findRouteLosses(before, after *Configuration) []Loss {
	oldTable, oldAnonymous := routeAccess(before)
	table, anonymous := routeAccess(after)
	var losses []Loss
	for i := range before.Routes {
		old := oldTable.Match(before.Routes[i].Host, before.Routes[i].Prefix)
		if old == nil || old.Name != before.Routes[i].Name { // Its requests go to another route, which is compared itself.
			continue
		}
		current := table.Match(old.Host, old.Prefix)
		place := fmt.Sprintf("%s%s of route %q", old.Host, old.Prefix, old.Name)
		switch {
		case current == nil:
			losses = append(losses, Loss{"all clients of " + place, "no route matches"})
		case oldAnonymous[old] && !anonymous[current]:
			losses = append(losses, Loss{"callers without a key of " + place, fmt.Sprintf("route %q requires a key", current.Name)})
		}
	}
	return losses
}

// routeAccess returns the table of a configuration's routes, and those of its routes
// that callers without a key may use.
func routeAccess(c *Configuration) (*wqroute.Table, map[*wqroute.Route]bool) {
	anonymous := make(map[*wqroute.Route]bool)
	for i := range c.Routes {
		anonymous[&c.Routes[i]] = c.Routes[i].AllowAnonymous || len(c.Accounts) == 0
	}
	return wqroute.NewTable(c.Version, c.Routes, nil, wqroute.Limits{}), anonymous
}
