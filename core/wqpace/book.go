package wqpace

import (
	"sync"
	"time"
)

// maxPaces bounds the memory of a Book; beyond it all routes are learned anew.
const maxPaces = 4096

// Book holds the Pace of each route. The zero value is ready for concurrent use.
type Book struct {
	mutex sync.RWMutex
	paces map[string]*Pace
}

// Pace returns the Pace of a route, which it makes when it is new.
func (b *Book) Pace(route string, objective time.Duration) *Pace {
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
		b.paces = make(map[string]*Pace)
	}
	p = New(objective)
	b.paces[route] = p
	return p
}
