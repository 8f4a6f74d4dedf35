// Package wqdeployment holds deployments in the sizes of today's users, as release
// notes and as load.
//
// # Usage
//
//	s, known := wqdeployment.Find("manometros")
//	note := s.Note("127.0.0.1", 20000)
//	streams := s.Streams(0.5)
//
// Each service is one index: its searchers are spread over shards with two
// replicas each, in different availability zones; a searcher left over is a
// third replica of the first shard.
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
	replicas      = 2    // replicas is how many searchers serve one shard.
	coldSlots     = 1    // coldSlots is how many requests a searcher bears at once in cold start.
	warmMillis    = 5000 // warmMillis is how long a cold start lasts, in milliseconds.
	timeoutMillis = 500  // timeoutMillis is the time for an answer, in milliseconds.
	hedgeQuantile = 0.95 // hedgeQuantile is the latency quantile after which a hedge is sent.
	hedgeShare    = 0.05 // hedgeShare bounds hedges as a share of sub-queries.
	batch         = 8    // batch is how many sub-queries a searcher takes in one request.
	queryRate     = 40   // queryRate is how many queries a second each service gets.
	rowLimit      = 1000 // rowLimit is the most rows of an answer.
)

// Deployment is one user's deployment.
type Deployment struct {
	Name     string
	Region   string
	Zones    []string
	Services []Service
}

// Service is one index with its searchers and its load.
type Service struct {
	Name        string
	Tenant      string
	Class       string
	Searchers   int
	Slots       int
	Connections int
	Rate        float64 // Rate is queries a second.
	Weight      int
	ShedRank    int
}

// Find returns the shape with this name: manometros or verhaegen.
func Find(name string) (Deployment, bool) {
	for _, s := range shapes() {
		if s.Name == name {
			return s, true
		}
	}
	return Deployment{}, false
}

// room is what one searcher bears, over all VMs.
type room struct{ slots, connections int }

// priority is how a class fares under overload.
type priority struct{ weight, rank int }

func shapes() []Deployment {
	front, desk, office := priority{weight: 4}, priority{weight: 2, rank: 1}, priority{weight: 1, rank: 2}
	small, returns, orders := room{3, 30}, room{2, 100}, room{3, 40}
	return []Deployment{
		{
			Name: "manometros", Region: "mendoza", Zones: []string{"mendoza-a", "mendoza-b", "mendoza-c"},
			Services: []Service{
				service("bench", "bench-terminals", 40, small, front),
				service("dispatch", "dispatch-office", 60, small, desk),
				service("returns", "returns-desk", 25, returns, desk),
				service("inventory", "returns-desk", 13, returns, office),
			},
		},
		{
			Name: "verhaegen", Region: "belgium", Zones: []string{"belgium-a", "belgium-b", "belgium-c"},
			Services: []Service{
				service("catalogue", "installers", 40, small, front),
				service("quotation", "counter-staff", 60, small, desk),
				service("orders", "dealers", 17, orders, desk),
				service("invoicing", "counter-staff", 8, orders, office),
			},
		},
	}
}

func service(name, tenant string, searchers int, r room, p priority) Service {
	return Service{
		Name: name, Tenant: tenant, Class: "lookup", Searchers: searchers,
		Slots: r.slots, Connections: r.connections, Rate: queryRate, Weight: p.weight, ShedRank: p.rank,
	}
}

// Note returns the release note that adds the whole shape, with the searchers
// on one host at ports from firstPort on.
func (s *Deployment) Note(host string, firstPort int) *wqnote.Note {
	n := &wqnote.Note{ID: s.Name + "-first"}
	for _, z := range s.Zones {
		n.Added.Zones = append(n.Added.Zones, wqtopology.Zone{ID: z, Region: s.Region})
	}
	port := firstPort
	for i := range s.Services {
		v := &s.Services[i]
		n.Added.Rules = append(n.Added.Rules, v.rule())
		n.Added.Layouts = append(n.Added.Layouts, wqtopology.Layout{Service: v.Name, FirstSnapshot: 1, Shards: v.shards()})
		for j := range v.Searchers {
			address := net.JoinHostPort(host, strconv.Itoa(port))
			n.Added.Searchers = append(n.Added.Searchers, v.searcher(j, s.Zones, address))
			port++
		}
	}
	return n
}

func (v *Service) rule() wqtopology.Rule {
	return wqtopology.Rule{
		Tenant: v.Tenant, Class: v.Class, Service: v.Name, TimeoutMillis: timeoutMillis, Weight: v.Weight,
		HedgeQuantile: hedgeQuantile, HedgeShare: hedgeShare, ShedRank: v.ShedRank,
	}
}

func (v *Service) shards() []string {
	shards := make([]string, v.Searchers/replicas)
	for i := range shards {
		shards[i] = v.shard(i)
	}
	return shards
}

func (v *Service) shard(i int) string { return fmt.Sprintf("%s-%02d", v.Name, i) }

// searcher describes the j-th searcher: replicas of a shard are neighbours in
// the numbering and so in different zones.
func (v *Service) searcher(j int, zones []string, address string) wqtopology.Searcher {
	shard := (j / replicas) % (v.Searchers / replicas)
	return wqtopology.Searcher{
		ID: fmt.Sprintf("%s-s%03d", v.Name, j), Address: address, Zone: zones[j%len(zones)],
		Service: v.Name, Shard: v.shard(shard), Slots: v.Slots, Connections: v.Connections,
		Batch: batch, ColdSlots: coldSlots, WarmMillis: warmMillis,
	}
}

// Streams returns the load of the shape, its rates multiplied by scale.
func (s *Deployment) Streams(scale float64) []wqload.Stream {
	streams := make([]wqload.Stream, 0, len(s.Services))
	for i := range s.Services {
		v := &s.Services[i]
		streams = append(streams, wqload.Stream{
			Tenant: v.Tenant, Class: v.Class, Service: v.Name, Rate: scale * v.Rate, RowLimit: rowLimit,
		})
	}
	return streams
}
