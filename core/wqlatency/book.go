package wqlatency

import (
	"sync"
	"time"
)

// maxPaces bounds the memory of a Book; beyond it all routes are learned anew.
const maxPaces = 4096

// Registry holds the Pace of each route. The zero value is ready for concurrent use.
type Registry struct {
	mutex sync.RWMutex
	paces map[string]*Estimator
}

// Estimator returns the Pace of a route, which it makes when it is new.
func (b *Registry) Estimator(route string, objective time.Duration) *Estimator {
	b.mutex.RLock()
	p := b.paces[route]
	b.mutex.RUnlock()
	if p != nil {
		return p
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if p := b.paces[route]; p != nil {
		return p
	}
	if b.paces == nil || len(b.paces) >= maxPaces {
		b.paces = make(map[string]*Estimator)
	}
	p = New(objective)
	b.paces[route] = p
	return p
}
