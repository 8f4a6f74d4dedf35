package wqtopology

import "sort"

// Index provides lookups over one Topology. It is immutable and safe for
// concurrent use.
type Index struct {
	Topology  *Topology
	searchers map[string]*Searcher
	zones     map[string]*Zone
	rules     map[ruleKey]*Rule
	replicas  map[shardKey][]*Searcher
	layouts   map[string][]Layout
}

type ruleKey struct{ tenant, class, service string }

type shardKey struct{ service, shard string }

// NewIndex returns an index over t, which must not change afterwards.
func NewIndex(t *Topology) *Index {
	x := &Index{
		Topology:  t,
		searchers: make(map[string]*Searcher, len(t.Searchers)),
		zones:     make(map[string]*Zone, len(t.Zones)),
		rules:     make(map[ruleKey]*Rule, len(t.Rules)),
		replicas:  make(map[shardKey][]*Searcher, len(t.Searchers)),
		layouts:   make(map[string][]Layout),
	}
	x.addSearchers()
	x.addZones()
	x.addRules()
	x.addLayouts()
	return x
}

func (x *Index) addSearchers() {
	for i := range x.Topology.Searchers {
		s := &x.Topology.Searchers[i]
		x.searchers[s.ID] = s
		k := shardKey{s.Service, s.Shard}
		x.replicas[k] = append(x.replicas[k], s)
	}
}

func (x *Index) addZones() {
	for i := range x.Topology.Zones {
		z := &x.Topology.Zones[i]
		x.zones[z.ID] = z
	}
}

func (x *Index) addRules() {
	for i := range x.Topology.Rules {
		r := &x.Topology.Rules[i]
		x.rules[ruleKey{r.Tenant, r.Class, r.Service}] = r
	}
}

func (x *Index) addLayouts() {
	for _, l := range x.Topology.Layouts {
		x.layouts[l.Service] = append(x.layouts[l.Service], l)
	}
	for _, l := range x.layouts {
		sort.Slice(l, func(i, j int) bool { return l[i].FirstSnapshot < l[j].FirstSnapshot })
	}
}

// Searcher returns the searcher with this id, or nil.
func (x *Index) Searcher(id string) *Searcher { return x.searchers[id] }

// Zone returns the availability zone with this id, or nil.
func (x *Index) Zone(id string) *Zone { return x.zones[id] }

// Rule returns the rule for a tenant, class and service, or nil.
func (x *Index) Rule(tenant, class, service string) *Rule {
	return x.rules[ruleKey{tenant, class, service}]
}

// Replicas returns the searchers of a shard in the order of the topology, including
// those in zones that are taken out.
func (x *Index) Replicas(service, shard string) []*Searcher {
	return x.replicas[shardKey{service, shard}]
}

// Shards returns the shards of a service at a snapshot, nil when the service has no
// layout for it.
func (x *Index) Shards(service string, snapshot uint64) []string {
	var shards []string
	for _, l := range x.layouts[service] {
		if l.FirstSnapshot > snapshot {
			break
		}
		shards = l.Shards
	}
	return shards
}

// Services returns the names of the services that have a layout, sorted.
func (x *Index) Services() []string {
	names := make([]string, 0, len(x.layouts))
	for n := range x.layouts {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// ZoneOut reports whether the zone is taken out and must not get new requests. It
// is also true for a zone that is not in the topology.
func (x *Index) ZoneOut(id string) bool {
	z := x.zones[id]
	return z == nil || z.Out
}
