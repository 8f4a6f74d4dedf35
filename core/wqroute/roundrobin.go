package wqroute

import (
	"slices"
	"sync"
)

// WeightedRoundRobin distributes the requests of each route over its parts by
// smooth weighted round-robin. At any time, each part has received its share of the
// requests to within as many requests as the route has parts, so that a short run
// of requests shows the weights too. It is safe for concurrent use; the zero value
// is ready for use.
type WeightedRoundRobin struct {
	mutex  sync.Mutex
	states map[string]*roundRobinState // states by name of the route.
}

// roundRobinState is the state of one route. It is reset when the parts or weights
// of the route change.
type roundRobinState struct {
	parts          []Part
	currentWeights []float64 // currentWeights by part; the highest is chosen next.
}

// NextService returns the service for the next request of a route, empty for a
// route without parts.
func (w *WeightedRoundRobin) NextService(r *Route) string {
	switch len(r.Parts) {
	case 0:
		return ""
	case 1:
		return r.Parts[0].Service
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	weights := w.routeState(r).currentWeights
	chosen, total := 0, 0.0
	for i, p := range r.Parts {
		weights[i] += p.Weight
		total += p.Weight
		if weights[i] > weights[chosen] {
			chosen = i
		}
	}
	weights[chosen] -= total
	return r.Parts[chosen].Service
}

func (w *WeightedRoundRobin) routeState(r *Route) *roundRobinState {
	if w.states == nil {
		w.states = make(map[string]*roundRobinState)
	}
	st := w.states[r.Name]
	if st == nil || !slices.Equal(st.parts, r.Parts) {
		st = &roundRobinState{parts: r.Parts, currentWeights: make([]float64, len(r.Parts))}
		w.states[r.Name] = st
	}
	return st
}
