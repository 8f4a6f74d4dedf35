package wqroute

import (
	"slices"
	"sync"
)

// WeightedRoundRobin deals the requests of weighted routes out to their parts. Each route's
// share of every part is exact to within one request at any moment, so that a
// short run of requests shows the weights too. It is safe for concurrent use.
type WeightedRoundRobin struct {
	mutex  sync.Mutex
	routes map[string]*deal // routes are by name.
}

// deal is what the parts of one route are owed. It ends when a version names
// other parts or weights.
type deal struct {
	parts []Part
	debts []float64 // debts are what each part is owed, in its weight's unit.
}

// NextService returns the service that takes the next request of a route, empty for a
// route without parts.
func (s *WeightedRoundRobin) NextService(r *Route) string {
	switch len(r.Parts) {
	case 0:
		return ""
	case 1:
		return r.Parts[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	debts := s.deal(r).debts
	best, total := 0, 0.0
	for i, p := range r.Parts {
		debts[i] += p.Weight
		total += p.Weight
		if debts[i] > debts[best] {
			best = i
		}
	}
	debts[best] -= total
	return r.Parts[best].Service
}

func (s *WeightedRoundRobin) deal(r *Route) *deal {
	if s.routes == nil {
		s.routes = make(map[string]*deal)
	}
	d := s.routes[r.Name]
	if d == nil || !slices.Equal(d.parts, r.Parts) {
		d = &deal{parts: r.Parts, debts: make([]float64, len(r.Parts))}
		s.routes[r.Name] = d
	}
	return d
}
