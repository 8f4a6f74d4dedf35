// Package wqfakestore is an in-memory fake of the platform's key-value service
// for tests. It serves values, watches and leases over HTTP and injects outages,
// hanging calls, dropped replies and stale reads.
//
// # Usage
//
//	s := &wqfakestore.Server{}
//	h := httptest.NewServer(s.Handler())
//	s.SetFaults(wqfakestore.Faults{DropReplies: 1})
//
// Over HTTP, POST /control takes Faults as JSON and GET /control returns Counts.
package wqfakestore

import (
	"sync"
	"time"
)

// maxVersions limits the versions kept per key, for stale reads.
const maxVersions = 16

// Server is a key-value service in memory. The zero value is ready to use.
type Server struct {
	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed when the faults change, so that hanging calls continue
	counts        Counts
	entries       map[string]*entry
	leases        map[string]*lease
	leasesGranted int
}

// Faults are the injected faults. SetFaults replaces all of them; the zero value
// injects none.
type Faults struct {
	Outage           bool `json:"outage"`       // Outage answers every call with status 503.
	Hang             bool `json:"hang"`         // Hang blocks every call until the faults change.
	DelayMillis      int  `json:"delay_millis"` // DelayMillis delays every call.
	DropReplies      int  `json:"lose_replies"` // DropReplies is the number of further swaps that take effect without a reply.
	OutageAfterSwaps int  `json:"outage_after"` // OutageAfterSwaps is the number of further swaps before an outage; 0 means none.
	StaleWrites      int  `json:"stale_by"`     // StaleWrites is the number of writes by which reads are stale.
	SuppressWatches  bool `json:"mute_watches"` // SuppressWatches makes watches time out without reporting changes.
}

// Counts are the calls by kind since the server was created, including those that
// a fault made fail.
type Counts struct {
	Gets    int `json:"gets"`
	Swaps   int `json:"swaps"`
	Watches int `json:"watches"`
	Leases  int `json:"leases"`
}

// Total returns the number of calls of all kinds.
func (c Counts) Total() int { return c.Gets + c.Swaps + c.Watches + c.Leases }

type version struct {
	data     []byte
	revision uint64
}

type entry struct {
	versions []version     // oldest first; nil data means that the key was removed
	changed  chan struct{} // closed and replaced at each write
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    []string
}

// SetFaults replaces the faults and unblocks calls that hang.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(f)
}

// Counts returns the number of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) setFaults(f Faults) {
	s.faults = f
	if s.faultsChanged != nil {
		close(s.faultsChanged)
	}
	s.faultsChanged = make(chan struct{})
}

// entry returns the entry of a key and creates it if there is none.
func (s *Server) entry(key string) *entry {
	if s.entries == nil {
		s.entries = map[string]*entry{}
	}
	e := s.entries[key]
	if e == nil {
		e = &entry{changed: make(chan struct{})}
		s.entries[key] = e
	}
	return e
}

// versionBefore returns the version that is the given number of writes older than
// the newest, or the oldest one kept.
func (e *entry) versionBefore(writes int) version {
	if len(e.versions) == 0 {
		return version{}
	}
	return e.versions[max(len(e.versions)-1-writes, 0)]
}

func (e *entry) write(data []byte) uint64 {
	next := version{data, e.versionBefore(0).revision + 1}
	e.versions = append(e.versions, next)
	if len(e.versions) > maxVersions {
		e.versions = e.versions[1:]
	}
	close(e.changed)
	e.changed = make(chan struct{})
	return next.revision
}

// expireLeases removes expired leases and their keys.
func (s *Server) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.removeLease(id)
		}
	}
}

func (s *Server) removeLease(id string) {
	l := s.leases[id]
	if l == nil {
		return
	}
	delete(s.leases, id)
	for _, k := range l.keys {
		s.entry(k).write(nil)
	}
}
