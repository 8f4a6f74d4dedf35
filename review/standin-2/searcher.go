package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a searcher began to work on.
type run struct {
	searcher, id, method, target, host string
	at                                 time.Time
}

// searcher is a stand-in of a searcher. It echoes the id of a request, signs its answers
// and rejects requests that are for another searcher or that find no slot.
type searcher struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	log                     *record

	// loseAnswer, if it returns true, makes the searcher run a request and reset the
	// connection in place of the answer.
	loseAnswer func() bool
	// onArrival, if set, is called with each request that is for this searcher.
	onArrival func(id string, at time.Time)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	runs     []run
	busy     int
	born     int64
	seq      int
	warmEnd  time.Time
}

// start begins to listen. The searcher is cold until warmFor has passed.
func (s *searcher) start(warmFor time.Duration) error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	s.listener, s.conns, s.busy = l, make(map[net.Conn]struct{}), 0
	s.born, s.seq, s.warmEnd = now.UnixMilli(), 0, now.Add(warmFor)
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// crash closes the listener and resets all connections.
func (s *searcher) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(s.conns)
}

// register writes the searcher's entry. It returns false while the store is down.
func (s *searcher) register(st *store) bool {
	s.mu.Lock()
	s.seq++
	left := max(0, time.Until(s.warmEnd).Milliseconds())
	entry := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"warmupLeftMs": left, "seq": s.seq, "born": s.born,
	}
	s.mu.Unlock()
	return st.put("servers/"+s.id, entry)
}

func (s *searcher) takeRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// workTime returns how long a request takes, longer while the searcher is cold.
func (s *searcher) workTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.warmEnd) {
		return s.work * 8 / 5
	}
	return s.work
}

func stamp(searcherID, requestID string) string { return searcherID + "." + requestID }

func answerBody(requestID string) string { return "answer to " + requestID + "\n" }

func (s *searcher) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if r.Header.Get("Expect-Instance") != s.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		now := time.Now()
		if s.onArrival != nil {
			s.onArrival(id, now)
		}
		s.mu.Lock()
		full := s.busy >= s.slots+8
		if !full {
			s.busy++
			s.runs = append(s.runs, run{s.id, id, r.Method, r.RequestURI, r.Host, now})
		}
		s.mu.Unlock()
		if full {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		s.log.add("run searcher=%s id=%s %s %s host=%s", s.id, id, r.Method, r.RequestURI, r.Host)
		time.Sleep(s.workTime())
		s.mu.Lock()
		s.busy--
		s.mu.Unlock()
		if s.loseAnswer != nil && s.loseAnswer() {
			s.log.add("lost searcher=%s id=%s the answer is lost, the connection is reset", s.id, id)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		body := answerBody(id)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, stamp(s.id, id), len(body), body); err != nil {
			return
		}
	}
}
