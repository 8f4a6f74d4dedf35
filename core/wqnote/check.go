package wqnote

import (
	"fmt"
	"strconv"
	"strings"

	"wisteriaquay/core/wqtopology"
)

// Bounds of a topology and of its entries.
const (
	maxNameBytes   = 64
	maxSearchers   = 16384
	maxZones       = 64
	maxRules       = 4096
	maxLayouts     = 1024
	maxShards      = 16384 // maxShards is the most shards of one layout.
	maxSlots       = 10000
	maxConnections = 100000
	maxBatch       = 4096
	maxWarmMillis  = 3600000
	maxTimeout     = 600000 // maxTimeout is the longest time for an answer, in milliseconds.
	maxWeight      = 1000
	maxShedRank    = 100
	maxPort        = 65535
)

// checkNote records what is wrong with the entries of a note, given the
// topology that would follow.
func checkNote(n *Note, next *wqtopology.Topology, f *faults) {
	checkName(f, "the note's id", n.ID)
	f.add(len(DescribeChanges(n)) == 0, "the note changes nothing", "list what is added, changed, withdrawn, out or back")
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

// lookup is the next topology with what the checks look up in it.
type lookup struct {
	*wqtopology.Index

	addresses map[string]int
}

// addresses counts the searchers at each address.
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

func checkCount(f *faults, noun string, count, most int) {
	f.add(count > most, fmt.Sprintf("the configuration would have %d %s", count, noun),
		fmt.Sprintf("withdraw some, so that at most %d are left", most))
}

func checkSearcher(s *wqtopology.Searcher, x *lookup, f *faults) {
	who := "searcher " + s.ID
	checkName(f, who+": id", s.ID)
	checkName(f, who+": service", s.Service)
	checkName(f, who+": shard", s.Shard)
	if s.Group != "" {
		checkName(f, who+": group", s.Group)
	}
	f.add(!isAddress(s.Address), fmt.Sprintf("%s: address %q is not an IP number and port", who, s.Address), "use a form such as 192.0.2.7:9000")
	f.add(x.addresses[s.Address] > 1, fmt.Sprintf("%s: address %s belongs to another searcher too", who, s.Address), "give each searcher an address of its own")
	f.add(x.Zone(s.Zone) == nil, fmt.Sprintf("%s: zone %q does not exist", who, s.Zone), "correct the zone, or add it")
	checkRange(f, who+": slots", s.Slots, 1, maxSlots)
	checkRange(f, who+": connections", s.Connections, 1, maxConnections)
	checkRange(f, who+": batch", s.Batch, 0, maxBatch)
	checkRange(f, who+": warm_millis", s.WarmMillis, 0, maxWarmMillis)
	least := 0
	if s.WarmMillis > 0 {
		least = 1
	}
	checkRange(f, who+": cold_slots", s.ColdSlots, least, max(s.Slots, 1))
}

func checkZone(z *wqtopology.Zone, f *faults) {
	who := "zone " + z.ID
	checkName(f, who+": id", z.ID)
	checkName(f, who+": region", z.Region)
	f.add(z.Out, who+" is marked out in its entry", "name it in the note's out or back instead")
}

func checkRule(r *wqtopology.Rule, x *lookup, f *faults) {
	who := "rule " + ruleName(*r).String()
	checkName(f, who+": tenant", r.Tenant)
	checkName(f, who+": class", r.Class)
	checkName(f, who+": service", r.Service)
	f.add(!x.hasLayout(r.Service), who+": the service has no layout", "correct the service, or add its layout")
	checkRange(f, who+": timeout_millis", r.TimeoutMillis, 1, maxTimeout)
	checkRange(f, who+": weight", r.Weight, 1, maxWeight)
	checkRange(f, who+": shed_rank", r.ShedRank, 0, maxShedRank)
	checkShare(f, who+": least_coverage", r.LeastCoverage)
	checkShare(f, who+": hedge_quantile", r.HedgeQuantile)
	checkShare(f, who+": hedge_share", r.HedgeShare)
}

func checkLayout(l *wqtopology.Layout, x *lookup, f *faults) {
	who := "layout " + layoutName(*l).String()
	checkName(f, who+": service", l.Service)
	checkRange(f, who+": number of shards", len(l.Shards), 1, maxShards)
	seen := make(map[string]bool, len(l.Shards))
	for _, s := range l.Shards {
		checkName(f, who+": shard", s)
		f.add(seen[s], who+" names shard "+s+" twice", "name each shard once")
		f.add(!seen[s] && len(x.Replicas(l.Service, s)) == 0, who+": no searcher serves shard "+s, "add a searcher for it, or leave the shard out")
		seen[s] = true
	}
}

// checkWithdrawn records what still refers to withdrawn zones and layouts.
func checkWithdrawn(n *Note, next *wqtopology.Topology, x *lookup, f *faults) {
	for _, z := range n.Withdrawn.Zones {
		count := 0
		for i := range next.Searchers {
			if next.Searchers[i].Zone == z {
				count++
			}
		}
		f.add(count > 0, fmt.Sprintf("zone %s is withdrawn but %d searchers are in it", z, count), "withdraw or move these searchers in the same note")
	}
	for _, l := range n.Withdrawn.Layouts {
		if x.hasLayout(l.Service) {
			continue
		}
		for i := range next.Rules {
			r := ruleName(next.Rules[i])
			f.add(r.Service == l.Service, fmt.Sprintf("the last layout of %s is withdrawn but rule %s needs it", l.Service, r), "withdraw the rule in the same note, or keep the layout")
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

func checkName(f *faults, what, name string) {
	f.add(name == "", what+" is empty", "give it a name")
	f.add(len(name) > maxNameBytes, fmt.Sprintf("%s has %d bytes", what, len(name)), fmt.Sprintf("use at most %d", maxNameBytes))
	f.add(strings.IndexFunc(name, notInName) >= 0, fmt.Sprintf("%s %.80q holds other characters", what, name), "use letters, digits, '-', '_' and '.'")
}

func notInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
}

func checkRange(f *faults, what string, value, least, most int) {
	f.add(value < least || value > most, fmt.Sprintf("%s is %d", what, value), fmt.Sprintf("use %d to %d", least, most))
}

func checkShare(f *faults, what string, value float64) {
	f.add(!(value >= 0 && value <= 1), fmt.Sprintf("%s is %v", what, value), "use 0 to 1")
}

// isAddress reports whether an address is an IP number and a port.
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

// isIPv6 accepts what looks like an IPv6 number in brackets.
func isIPv6(host string) bool {
	inner, found := strings.CutPrefix(host, "[")
	inner, closed := strings.CutSuffix(inner, "]")
	colons := strings.Count(inner, ":")
	other := strings.Trim(strings.ToLower(inner), "0123456789abcdef:.")
	return found && closed && colons >= 2 && colons <= 7 && other == ""
}
