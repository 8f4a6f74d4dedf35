package wqroute

import "sync"

// Split deals the requests of weighted routes out to their parts. Each route's
// share of every part is exact to within one request at any moment, so that a
// short run of requests shows the weights too. It is safe for concurrent use.
type Split struct {
	mutex sync.Mutex
	debts map[string][]float64 // debts holds how many requests each part of a route is owed, by route name.
}

// Next returns the service that takes the next request of a route, empty for a
// route without parts.
func (s *Split) Next(r *Route) string {
	switch len(r.Parts) {
	case 0:
		return ""
	case 1:
		return r.Parts[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	debts := s.debt(r)
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

func (s *Split) debt(r *Route) []float64 {
	if s.debts == nil {
		s.debts = make(map[string][]float64)
	}
	if len(s.debts[r.Name]) != len(r.Parts) {
		s.debts[r.Name] = make([]float64, len(r.Parts))
	}
	return s.debts[r.Name]
}
