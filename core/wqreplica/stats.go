package wqreplica

import (
	"sync"
	"sync/atomic"
	"time"
)

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.1

// maxCandidates limits the memory of Stats; when it is reached, all are discarded.
const maxCandidates = 65536

// Stats holds the requests in flight, the mean latency and the last failure of
// each candidate, as observed by this VM. It is safe for concurrent use.
type Stats struct {
	mutex       sync.RWMutex
	byCandidate map[candidateKey]*candidateStats
}

type candidateKey struct{ searcher, member string }

type candidateStats struct {
	inFlight    atomic.Int64
	meanLatency atomic.Int64 // meanLatency is an EWMA in nanoseconds; 0 means no observation.
	failedAt    atomic.Int64 // failedAt is in Unix nanoseconds; it includes refusals.
}

// NewStats returns empty Stats.
func NewStats() *Stats { return &Stats{byCandidate: make(map[candidateKey]*candidateStats)} }

// candidate returns the stats of a candidate and stores the pointer in it.
func (s *Stats) candidate(c *Candidate) *candidateStats {
	if c.stats == nil {
		c.stats = s.find(c)
	}
	return c.stats
}

func (s *Stats) find(c *Candidate) *candidateStats {
	k := candidateKey{c.SearcherID, c.MemberID}
	s.mutex.RLock()
	found := s.byCandidate[k]
	s.mutex.RUnlock()
	if found != nil {
		return found
	}
	return s.add(k)
}

func (s *Stats) add(k candidateKey) *candidateStats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found := s.byCandidate[k]; found != nil {
		return found
	}
	if len(s.byCandidate) >= maxCandidates {
		s.byCandidate = make(map[candidateKey]*candidateStats)
	}
	added := new(candidateStats)
	s.byCandidate[k] = added
	return added
}

func (c *candidateStats) expectedLatency() time.Duration { return time.Duration(c.meanLatency.Load()) }

// observe updates the average. Concurrent calls may lose an update, which is
// harmless.
func (c *candidateStats) observe(latency time.Duration) {
	mean := c.meanLatency.Load()
	if mean == 0 {
		c.meanLatency.Store(int64(latency))
		return
	}
	c.meanLatency.Store(mean + int64(latencyWeight*float64(int64(latency)-mean)))
}
