package wqlatency

import (
	"sync"
	"time"
)

// maxEstimators bounds the memory of a Registry: when it is reached, all
// estimators are dropped and start again.
const maxEstimators = 4096

// Registry holds the Estimator of each route. The zero value is ready for
// concurrent use.
type Registry struct {
	mutex      sync.RWMutex
	estimators map[string]*Estimator
}

// Estimator returns the Estimator of a route, and creates it at the first call.
// The objective of later calls is ignored.
func (r *Registry) Estimator(route string, objective time.Duration) *Estimator {
	r.mutex.RLock()
	e := r.estimators[route]
	r.mutex.RUnlock()
	if e != nil {
		return e
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e := r.estimators[route]; e != nil {
		return e
	}
	if r.estimators == nil || len(r.estimators) >= maxEstimators {
		r.estimators = make(map[string]*Estimator)
	}
	e = New(objective)
	r.estimators[route] = e
	return e
}
