package wqnote

import (
	"fmt"
	"strconv"
	"strings"

	"wisteriaquay/core/wqtopology"
)

// Limits of a topology and of its entries.
const (
	maxNameBytes     = 64
	maxSearchers     = 16384
	maxZones         = 64
	maxRules         = 4096
	maxLayouts       = 1024
	maxShards        = 16384 // per layout.
	maxSlots         = 10000
	maxConnections   = 100000
	maxBatch         = 4096
	maxWarmMillis    = 3600000
	maxTimeoutMillis = 600000 // of a rule, from the request to its answer.
	maxWeight        = 1000
	maxShedRank      = 100
	maxPort          = 65535
)

// checkNote adds the faults of the entries of a note, given the topology that would
// result.
func checkNote(n *Note, next *wqtopology.Topology, f *faults) {
	checkName(f, "the note's id", n.ID)
	f.addIf(len(DescribeChanges(n)) == 0, "the note changes nothing", "list what is added, changed, withdrawn, out or back")
	checkCounts(next, f)
	x := &lookup{Index: wqtopology.NewIndex(next), addresses: addresses(next)}
	for _, e := range []*Entries{&n.Added, &n.Changed} {
		for i := range e.Searchers {
			checkSearcher(&e.Searchers[i], x, f)
		}
		for i := range e.Zones {
			checkZone(&e.Zones[i], f)
		}
		for i := range e.Rules {
			checkRule(&e.Rules[i], x, f)
		}
		for i := range e.Layouts {
			checkLayout(&e.Layouts[i], x, f)
		}
	}
	checkWithdrawn(n, next, x, f)
}

// lookup is an index over the next topology, with the number of searchers at each
// address.
type lookup struct {
	*wqtopology.Index

	addresses map[string]int
}

// addresses returns the number of searchers at each address.
func addresses(t *wqtopology.Topology) map[string]int {
	counts := make(map[string]int, len(t.Searchers))
	for i := range t.Searchers {
		counts[t.Searchers[i].Address]++
	}
	return counts
}

func checkCounts(t *wqtopology.Topology, f *faults) {
	checkCount(f, "searchers", len(t.Searchers), maxSearchers)
	checkCount(f, "zones", len(t.Zones), maxZones)
	checkCount(f, "rules", len(t.Rules), maxRules)
	checkCount(f, "layouts", len(t.Layouts), maxLayouts)
}

func checkCount(f *faults, noun string, count, limit int) {
	f.addIf(count > limit, fmt.Sprintf("the configuration would have %d %s", count, noun),
		fmt.Sprintf("withdraw some, so that at most %d are left", limit))
}

func checkSearcher(s *wqtopology.Searcher, x *lookup, f *faults) {
	subject := "searcher " + s.ID
	checkName(f, subject+": id", s.ID)
	checkName(f, subject+": service", s.Service)
	checkName(f, subject+": shard", s.Shard)
	if s.Group != "" {
		checkName(f, subject+": group", s.Group)
	}
	f.addIf(!isAddress(s.Address), fmt.Sprintf("%s: address %q is not an IP address and port", subject, s.Address), "use a form such as 192.0.2.7:9000")
	f.addIf(x.addresses[s.Address] > 1, fmt.Sprintf("%s: address %s is used by another searcher too", subject, s.Address), "give each searcher an address of its own")
	f.addIf(x.Zone(s.Zone) == nil, fmt.Sprintf("%s: zone %q does not exist", subject, s.Zone), "correct the zone, or add it")
	checkRange(f, subject+": slots", s.Slots, 1, maxSlots)
	checkRange(f, subject+": connections", s.Connections, 1, maxConnections)
	checkRange(f, subject+": batch", s.Batch, 0, maxBatch)
	checkRange(f, subject+": warm_millis", s.WarmMillis, 0, maxWarmMillis)
	minColdSlots := 0
	if s.WarmMillis > 0 {
		minColdSlots = 1
	}
	checkRange(f, subject+": cold_slots", s.ColdSlots, minColdSlots, max(s.Slots, 1))
}

func checkZone(z *wqtopology.Zone, f *faults) {
	subject := "zone " + z.ID
	checkName(f, subject+": id", z.ID)
	checkName(f, subject+": region", z.Region)
	f.addIf(z.Out, subject+" has out set in its entry", "name it in the note's out or back instead")
}

func checkRule(r *wqtopology.Rule, x *lookup, f *faults) {
	subject := "rule " + ruleName(*r).String()
	checkName(f, subject+": tenant", r.Tenant)
	checkName(f, subject+": class", r.Class)
	checkName(f, subject+": service", r.Service)
	f.addIf(!x.hasLayout(r.Service), subject+": the service has no layout", "correct the service, or add its layout")
	checkRange(f, subject+": timeout_millis", r.TimeoutMillis, 1, maxTimeoutMillis)
	checkRange(f, subject+": weight", r.Weight, 1, maxWeight)
	checkRange(f, subject+": shed_rank", r.ShedRank, 0, maxShedRank)
	checkShare(f, subject+": least_coverage", r.LeastCoverage)
	checkShare(f, subject+": hedge_quantile", r.HedgeQuantile)
	checkShare(f, subject+": hedge_share", r.HedgeShare)
}

func checkLayout(l *wqtopology.Layout, x *lookup, f *faults) {
	subject := "layout " + layoutName(*l).String()
	checkName(f, subject+": service", l.Service)
	checkRange(f, subject+": number of shards", len(l.Shards), 1, maxShards)
	seen := make(map[string]bool, len(l.Shards))
	for _, s := range l.Shards {
		checkName(f, subject+": shard", s)
		f.addIf(seen[s], subject+" names shard "+s+" twice", "name each shard once")
		f.addIf(!seen[s] && len(x.Replicas(l.Service, s)) == 0, subject+": no searcher serves shard "+s, "add a searcher for it, or leave the shard out")
		seen[s] = true
	}
}

// checkWithdrawn adds a fault for each reference to a withdrawn zone or layout.
func checkWithdrawn(n *Note, next *wqtopology.Topology, x *lookup, f *faults) {
	for _, z := range n.Withdrawn.Zones {
		count := 0
		for i := range next.Searchers {
			if next.Searchers[i].Zone == z {
				count++
			}
		}
		f.addIf(count > 0, fmt.Sprintf("zone %s is withdrawn but %d searchers are in it", z, count), "withdraw or move these searchers in the same note")
	}
	for _, l := range n.Withdrawn.Layouts {
		if x.hasLayout(l.Service) {
			continue
		}
		for i := range next.Rules {
			r := ruleName(next.Rules[i])
			f.addIf(r.Service == l.Service, fmt.Sprintf("the last layout of %s is withdrawn but rule %s needs it", l.Service, r), "withdraw the rule in the same note, or keep the layout")
		}
	}
}

func (x *lookup) hasLayout(service string) bool {
	for i := range x.Topology.Layouts {
		if x.Topology.Layouts[i].Service == service {
			return true
		}
	}
	return false
}

func checkName(f *faults, subject, name string) {
	f.addIf(name == "", subject+" is empty", "give it a name")
	f.addIf(len(name) > maxNameBytes, fmt.Sprintf("%s has %d bytes", subject, len(name)), fmt.Sprintf("use at most %d", maxNameBytes))
	f.addIf(strings.IndexFunc(name, invalidInName) >= 0, fmt.Sprintf("%s %.80q contains invalid characters", subject, name), "use letters, digits, '-', '_' and '.'")
}

func invalidInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
}

func checkRange(f *faults, subject string, value, lowest, highest int) {
	f.addIf(value < lowest || value > highest, fmt.Sprintf("%s is %d", subject, value), fmt.Sprintf("use %d to %d", lowest, highest))
}

func checkShare(f *faults, subject string, value float64) {
	f.addIf(!(value >= 0 && value <= 1), fmt.Sprintf("%s is %v", subject, value), "use 0 to 1")
}

// isAddress reports whether an address is an IP address and a port.
func isAddress(address string) bool {
	i := strings.LastIndexByte(address, ':')
	if i < 0 {
		return false
	}
	port, err := strconv.Atoi(address[i+1:])
	if err != nil || port < 1 || port > maxPort {
		return false
	}
	return isIPv4(address[:i]) || isIPv6(address[:i])
}

func isIPv4(host string) bool {
	parts := strings.Split(host, ".")
	for _, p := range parts {
		n, err := strconv.ParseUint(p, 10, 8)
		if err != nil || strconv.FormatUint(n, 10) != p {
			return false
		}
	}
	return len(parts) == 4
}

// isIPv6 reports whether host looks like an IPv6 address in brackets. The check is
// approximate: it tests the characters and the number of colons.
func isIPv6(host string) bool {
	inner, found := strings.CutPrefix(host, "[")
	inner, closed := strings.CutSuffix(inner, "]")
	colons := strings.Count(inner, ":")
	rest := strings.Trim(strings.ToLower(inner), "0123456789abcdef:.")
	return found && closed && colons >= 2 && colons <= 7 && rest == ""
}
