// Package wqfakestore is a small stand-in of the platform's key-value service
// for tests, with its faults.
//
// # Usage
//
//	s := &wqfakestore.Server{}
//	h := httptest.NewServer(s.Handler())
//	s.SetFaults(wqfakestore.Faults{LoseReplies: 1})
//
// Over HTTP, POST /control takes Faults as JSON and GET /control returns the
// Counts of calls so far.
package wqfakestore

import (
	"sync"
	"time"
)

// historyLength is how many old values of a key are kept for stale reads.
const historyLength = 16

// Server is one key-value service in memory. The zero value is ready to use.
type Server struct {
	mu      sync.Mutex
	faults  Faults
	cleared chan struct{} // cleared is closed when the faults change, so that hanging calls go on.
	counts  Counts
	keys    map[string]*entry
	leases  map[string]*lease
	nextID  int
}

// Faults are what goes wrong. Setting them replaces them all.
type Faults struct {
	Outage           bool `json:"outage"`       // Outage refuses every call with status 503.
	Hang             bool `json:"hang"`         // Hang answers no call until the faults change.
	DelayMillis      int  `json:"delay_millis"` // DelayMillis is added to every call, in milliseconds.
	DropReplies      int  `json:"lose_replies"` // DropReplies drops the replies of that many more swaps after they took effect.
	OutageAfterSwaps int  `json:"outage_after"` // OutageAfterSwaps starts an outage after that many more swaps took effect; 0 never.
	StaleWrites      int  `json:"stale_by"`     // StaleWrites answers reads with the value that many writes ago.
	SuppressWatches  bool `json:"mute_watches"` // SuppressWatches lets watches wait out their time, whatever changes.
}

// Counts counts calls by kind since the start.
type Counts struct {
	Gets    int `json:"gets"`
	Swaps   int `json:"swaps"`
	Watches int `json:"watches"`
	Leases  int `json:"leases"`
}

// Total returns the calls of all kinds.
func (c Counts) Total() int { return c.Gets + c.Swaps + c.Watches + c.Leases }

type version struct {
	data     []byte
	revision uint64
}

type entry struct {
	versions []version // versions are oldest first; a nil data means that the key was removed.
	changed  chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    []string
}

// SetFaults replaces the faults and wakes calls that hang.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(f)
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) setFaults(f Faults) {
	s.faults = f
	if s.cleared != nil {
		close(s.cleared)
	}
	s.cleared = make(chan struct{})
}

// entry returns the record of a key, making it at need.
func (s *Server) entry(key string) *entry {
	if s.keys == nil {
		s.keys = map[string]*entry{}
	}
	e := s.keys[key]
	if e == nil {
		e = &entry{changed: make(chan struct{})}
		s.keys[key] = e
	}
	return e
}

// newest returns the version back writes before the newest one.
func (e *entry) newest(back int) version {
	if len(e.versions) == 0 {
		return version{}
	}
	return e.versions[max(len(e.versions)-1-back, 0)]
}

func (e *entry) write(data []byte) uint64 {
	next := version{data, e.newest(0).revision + 1}
	e.versions = append(e.versions, next)
	if len(e.versions) > historyLength {
		e.versions = e.versions[1:]
	}
	close(e.changed)
	e.changed = make(chan struct{})
	return next.revision
}

// expire removes lapsed leases and their keys.
func (s *Server) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.release(id)
		}
	}
}

func (s *Server) release(id string) {
	l := s.leases[id]
	if l == nil {
		return
	}
	delete(s.leases, id)
	for _, k := range l.keys {
		s.entry(k).write(nil)
	}
}
