// Package wqfakesearcher is a fake searcher for tests. It has limits on slots
// and connections, cold start, draining, stragglers, snapshots and faulty
// replies. All settings can change while it runs.
//
// # Usage
//
//	s := wqfakesearcher.New("bench-b03-0", "bench", "b03", settings, seed)
//	go s.Serve(ctx, listener)
//	s.Restart()
//	s.Counters()
//
// Handler serves the searchers' protocol and the control endpoints.
// ControlHandler serves the control endpoints alone, for a listener whose
// connections don't count towards the searcher's limit. A checker computes the
// expected rows of an answer with MatchingRows.
package wqfakesearcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Server is one fake searcher. It is safe for use by many goroutines.
type Server struct {
	ID      string
	Service string
	Shard   string

	mu              sync.Mutex
	settings        Settings
	counters        Counters
	executions      []Execution
	random          *rand.Rand
	incarnation     string
	startedAt       time.Time
	down            bool
	inFlight        int
	openConns       map[net.Conn]bool
	stopIncarnation chan struct{}
}

// New returns a searcher that begins with a cold start when its WarmMillis is
// not 0. The seed determines its service times and stragglers.
func New(id, service, shard string, settings Settings, seed uint64) *Server {
	s := &Server{
		ID:              id,
		Service:         service,
		Shard:           shard,
		settings:        settings,
		random:          rand.New(rand.NewPCG(seed, hash(id, "", 0, nil))),
		openConns:       make(map[net.Conn]bool),
		stopIncarnation: make(chan struct{}, 1),
	}
	s.startIncarnation()
	return s
}

// Settings returns a copy of the current settings.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Update changes the settings with edit, which must not call the server.
func (s *Server) Update(edit func(settings *Settings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.settings)
}

// Counters returns the counts since New, over all incarnations.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Executions returns the executions of write-like requests since New, in order.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// Cold reports whether the searcher is in cold start.
func (s *Server) Cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inColdStart()
}

// Restart resets every connection and starts a new incarnation, in cold start,
// after DowntimeMillis.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endIncarnation()
}

func (s *Server) inColdStart() bool {
	return time.Since(s.startedAt) < millis(s.settings.WarmMillis)
}

// startIncarnation starts a new incarnation. The caller holds the lock, except
// for New.
func (s *Server) startIncarnation() {
	s.counters.Starts++
	s.incarnation = fmt.Sprintf("%s.%d", s.ID, s.counters.Starts)
	s.startedAt = time.Now()
	s.down = false
	s.inFlight = 0
}

// endIncarnation stops the incarnation and schedules the next one. The caller
// holds the lock.
func (s *Server) endIncarnation() {
	if s.down {
		return
	}
	s.down = true
	for c := range s.openConns {
		resetConnection(c)
	}
	select {
	case s.stopIncarnation <- struct{}{}:
	default:
	}
	time.AfterFunc(millis(s.settings.DowntimeMillis), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startIncarnation()
	})
}

// sleep waits until d has passed or ctx ends. It reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
