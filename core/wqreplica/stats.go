package wqreplica

import (
	"sync"
	"sync/atomic"
	"time"
)

// latencyGain is the weight of the newest observation in the moving average.
const latencyGain = 0.1

// maxCells bounds the memory of Stats; beyond it all observations start anew.
const maxCells = 65536

// Stats holds what this VM's traffic saw of each candidate. It is safe for use
// by many goroutines.
type Stats struct {
	mutex sync.RWMutex
	cells map[key]*cell
}

type key struct{ searcher, member string }

type cell struct {
	inFlight  atomic.Int64
	latency   atomic.Int64 // latency is a moving average in nanoseconds.
	refusedAt atomic.Int64 // refusedAt is in nanoseconds since 1970.
}

// NewStats returns empty Stats.
func NewStats() *Stats { return &Stats{cells: make(map[key]*cell)} }

// cell returns the observations of a candidate, which remembers where they are.
func (s *Stats) cell(c *Candidate) *cell {
	if c.seen == nil {
		c.seen = s.find(c)
	}
	return c.seen
}

func (s *Stats) find(c *Candidate) *cell {
	k := key{c.SearcherID, c.MemberID}
	s.mutex.RLock()
	found := s.cells[k]
	s.mutex.RUnlock()
	if found != nil {
		return found
	}
	return s.add(k)
}

func (s *Stats) add(k key) *cell {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found := s.cells[k]; found != nil {
		return found
	}
	if len(s.cells) >= maxCells {
		s.cells = make(map[key]*cell)
	}
	added := new(cell)
	s.cells[k] = added
	return added
}

func (c *cell) expected() time.Duration { return time.Duration(c.latency.Load()) }

// observe moves the average; a lost update under contention is harmless.
func (c *cell) observe(latency time.Duration) {
	old := c.latency.Load()
	if old == 0 {
		c.latency.Store(int64(latency))
		return
	}
	c.latency.Store(old + int64(latencyGain*float64(int64(latency)-old)))
}
