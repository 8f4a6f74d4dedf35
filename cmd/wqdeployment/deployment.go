// Package wqdeployment holds example deployments with the sizes of two users,
// for load tests: as release notes and as query streams.
//
// # Usage
//
//	d, found := wqdeployment.Find("manometros")
//	note := d.Note("127.0.0.1", 20000)
//	streams := d.Streams(0.5)
//
// Each service is one index. Each of its shards has two replicas, in different
// availability zones. With an odd number of searchers, the last one is a third
// replica of the first shard.
package wqdeployment

import (
	"fmt"
	"net"
	"strconv"

	"wisteriaquay/cmd/wqload"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
)

const (
	replicas        = 2    // replicas is the number of searchers of one shard.
	coldSlots       = 1    // coldSlots is the maximum number of requests in flight to a searcher in cold start.
	coldStartMillis = 5000 // coldStartMillis is the duration of a cold start, in milliseconds.
	timeoutMillis   = 500  // timeoutMillis is the time limit of a query, in milliseconds.
	hedgeQuantile   = 0.95 // hedgeQuantile is the latency quantile after which a hedge is sent.
	hedgeShare      = 0.05 // hedgeShare is the largest number of hedges, as a share of sub-queries.
	maxBatch        = 8    // maxBatch is the largest number of sub-queries in one request to a searcher.
	queryRate       = 40   // queryRate is the load of each service, in queries per second.
	rowLimit        = 1000 // rowLimit is the largest number of rows in an answer.
)

// Deployment is the deployment of one user in one region.
type Deployment struct {
	Name     string
	Region   string
	Zones    []string
	Services []Service
}

// Service is one index with its searchers and its load. Slots and Connections
// are the limits of each searcher, over all VMs together.
type Service struct {
	Name        string
	Tenant      string
	Class       string
	Searchers   int
	Slots       int
	Connections int
	Rate        float64 // Rate is the load in queries per second.
	Weight      int
	ShedRank    int
}

// Find returns the deployment with this name, manometros or verhaegen. It
// reports false for any other name.
func Find(name string) (Deployment, bool) {
	for _, d := range deployments() {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// capacity holds the limits of one searcher, over all VMs together.
type capacity struct{ slots, connections int }

// priority holds a rule's share of capacity (weight) and its place in the order
// of load shedding (rank).
type priority struct{ weight, rank int }

func deployments() []Deployment {
	high, normal, low := priority{weight: 4}, priority{weight: 2, rank: 1}, priority{weight: 1, rank: 2}
	smallCapacity, returnsCapacity, ordersCapacity := capacity{3, 30}, capacity{2, 100}, capacity{3, 40}
	return []Deployment{
		{
			Name: "manometros", Region: "mendoza", Zones: []string{"mendoza-a", "mendoza-b", "mendoza-c"},
			Services: []Service{
				newService("bench", "bench-terminals", 40, smallCapacity, high),
				newService("dispatch", "dispatch-office", 60, smallCapacity, normal),
				newService("returns", "returns-desk", 25, returnsCapacity, normal),
				newService("inventory", "returns-desk", 13, returnsCapacity, low),
			},
		},
		{
			Name: "verhaegen", Region: "belgium", Zones: []string{"belgium-a", "belgium-b", "belgium-c"},
			Services: []Service{
				newService("catalogue", "installers", 40, smallCapacity, high),
				newService("quotation", "counter-staff", 60, smallCapacity, normal),
				newService("orders", "dealers", 17, ordersCapacity, normal),
				newService("invoicing", "counter-staff", 8, ordersCapacity, low),
			},
		},
	}
}

func newService(name, tenant string, searchers int, c capacity, p priority) Service {
	return Service{
		Name: name, Tenant: tenant, Class: "lookup", Searchers: searchers,
		Slots: c.slots, Connections: c.connections, Rate: queryRate, Weight: p.weight, ShedRank: p.rank,
	}
}

// Note returns the release note that adds the whole deployment. All searchers
// are on one host, at consecutive ports from firstPort.
func (d *Deployment) Note(host string, firstPort int) *wqnote.Note {
	n := &wqnote.Note{ID: d.Name + "-first"}
	for _, z := range d.Zones {
		n.Added.Zones = append(n.Added.Zones, wqtopology.Zone{ID: z, Region: d.Region})
	}
	port := firstPort
	for i := range d.Services {
		s := &d.Services[i]
		n.Added.Rules = append(n.Added.Rules, s.rule())
		n.Added.Layouts = append(n.Added.Layouts, wqtopology.Layout{Service: s.Name, FirstSnapshot: 1, Shards: s.shardNames()})
		for j := range s.Searchers {
			address := net.JoinHostPort(host, strconv.Itoa(port))
			n.Added.Searchers = append(n.Added.Searchers, s.searcher(j, d.Zones, address))
			port++
		}
	}
	return n
}

func (s *Service) rule() wqtopology.Rule {
	return wqtopology.Rule{
		Tenant: s.Tenant, Class: s.Class, Service: s.Name, TimeoutMillis: timeoutMillis, Weight: s.Weight,
		HedgeQuantile: hedgeQuantile, HedgeShare: hedgeShare, ShedRank: s.ShedRank,
	}
}

func (s *Service) shardNames() []string {
	shards := make([]string, s.Searchers/replicas)
	for i := range shards {
		shards[i] = s.shardName(i)
	}
	return shards
}

func (s *Service) shardName(i int) string { return fmt.Sprintf("%s-%02d", s.Name, i) }

// searcher returns the description of searcher j. The replicas of a shard have
// consecutive numbers and so are in different zones.
func (s *Service) searcher(j int, zones []string, address string) wqtopology.Searcher {
	shard := (j / replicas) % (s.Searchers / replicas)
	return wqtopology.Searcher{
		ID: fmt.Sprintf("%s-s%03d", s.Name, j), Address: address, Zone: zones[j%len(zones)],
		Service: s.Name, Shard: s.shardName(shard), Slots: s.Slots, Connections: s.Connections,
		Batch: maxBatch, ColdSlots: coldSlots, WarmMillis: coldStartMillis,
	}
}

// Streams returns one query stream for each service, with all rates multiplied
// by scale.
func (d *Deployment) Streams(scale float64) []wqload.Stream {
	streams := make([]wqload.Stream, 0, len(d.Services))
	for i := range d.Services {
		s := &d.Services[i]
		streams = append(streams, wqload.Stream{
			Tenant: s.Tenant, Class: s.Class, Service: s.Name, Rate: scale * s.Rate, RowLimit: rowLimit,
		})
	}
	return streams
}
