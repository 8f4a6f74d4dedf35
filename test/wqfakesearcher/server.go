// Package wqfakesearcher is a stand-in for a searcher: slots, connections, cold
// start, drain, stragglers, snapshots and spoiled replies, all changeable while
// it runs.
//
// # Usage
//
//	s := wqfakesearcher.New("bench-b03-0", "bench", "b03", knobs, seed)
//	go s.Serve(ctx, listener)
//	s.Restart()
//	s.Counters()
//
// Handler serves the searchers' protocol and the controls; Control serves the
// controls alone, for a listener that does not count as a connection. A checker
// works out the rows of an answer with Rows.
package wqfakesearcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Server is one searcher.
type Server struct {
	ID      string
	Service string
	Shard   string

	mu          sync.Mutex
	knobs       Settings
	counters    Counters
	runs        []Execution
	random      *rand.Rand
	incarnation string
	started     time.Time
	down        bool
	inFlight    int
	open        map[net.Conn]bool
	restart     chan struct{}
}

// New returns a searcher that starts cold when its WarmMillis is not 0.
func New(id, service, shard string, k Settings, seed uint64) *Server {
	s := &Server{
		ID:      id,
		Service: service,
		Shard:   shard,
		knobs:   k,
		random:  rand.New(rand.NewPCG(seed, hash(id, "", 0, nil))),
		open:    make(map[net.Conn]bool),
		restart: make(chan struct{}, 1),
	}
	s.start()
	return s
}

// Settings returns the present knobs.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knobs
}

// Update edits the knobs.
func (s *Server) Update(edit func(k *Settings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.knobs)
}

// Counters returns what it has seen.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Executions returns the write-like requests that it executed.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.runs...)
}

// Cold reports whether it is in cold start.
func (s *Server) Cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold()
}

// Restart closes every connection and starts it again, cold, with a new
// incarnation, after FallMillis.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fall()
}

func (s *Server) cold() bool {
	return time.Since(s.started) < millis(s.knobs.WarmMillis)
}

// start begins an incarnation; the caller holds the lock, but for New.
func (s *Server) start() {
	s.counters.Starts++
	s.incarnation = fmt.Sprintf("%s.%d", s.ID, s.counters.Starts)
	s.started = time.Now()
	s.down = false
	s.inFlight = 0
}

// fall ends the incarnation; the caller holds the lock.
func (s *Server) fall() {
	if s.down {
		return
	}
	s.down = true
	for c := range s.open {
		reset(c)
	}
	select {
	case s.restart <- struct{}{}:
	default:
	}
	time.AfterFunc(millis(s.knobs.DowntimeMillis), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.start()
	})
}

// pause waits for d or for the end of the request; it reports whether d passed.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
