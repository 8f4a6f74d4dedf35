package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of a searcher to the store.
const heartbeat = 1200 * time.Millisecond

// searcher is a stand-in of a searcher. It runs up to Slots requests at once, queues
// Queue more, and rejects the others with 503 and Not-Executed.
type searcher struct {
	ID      string
	Service string
	Zone    string
	Address string
	Slots   int
	Queue   int
	Work    time.Duration
	Warmup  time.Duration // Duration of the cold start, from the start of the searcher; 0 for none.
	// Spoil, if set, returns the bytes that are sent instead of a complete answer,
	// and whether the connection is closed after them. It may return nil for an answer
	// that is sent as it is.
	Spoil func(x *exchange) (data []byte, closeAfter bool)
	// Extra, if set, returns additional bytes after a complete answer. They are sent on
	// the same connection, late, at the point where the next answer is expected.
	Extra func(x *exchange) []byte

	world *world
	born  time.Time
	seq   int
	state string
	busy  atomic.Int64  // Requests that run or are queued.
	slots chan struct{} // Holds one element for each running request.
	mutex sync.Mutex
	runs  []run
	ended chan struct{}
}

// run is one request that a searcher began to work on.
type run struct {
	ID     string
	Method string
	Target string // Request target as it stood in the request line.
	Host   string
	Body   string
	At     time.Time
	Read   time.Time // When the request had reached the searcher.
}

// exchange is one request at a searcher and the answer to it.
type exchange struct {
	ID       string
	Code     int
	Executed bool
	Stamp    string
	Body     []byte
}

// bytes returns the complete answer. Failures are signed as well.
func (x *exchange) bytes() []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n", x.Code, http.StatusText(x.Code), x.ID, len(x.Body))
	if x.Executed {
		head += "Server-Stamp: " + x.Stamp + "\r\n"
	} else {
		head += "Not-Executed: 1\r\n"
	}
	return append([]byte(head+"\r\n"), x.Body...)
}

// start listens, registers the searcher and keeps its registration up to date.
func (s *searcher) start(w *world) error {
	l, err := net.Listen("tcp", w.address(199, 0))
	if err != nil {
		return err
	}
	s.world, s.born, s.state, s.Address = w, time.Now(), "ready", l.Addr().String()
	s.ended, s.slots = make(chan struct{}), make(chan struct{}, s.Slots)
	w.addSearcher(s)
	go s.accept(l)
	s.register()
	go s.keepRegistered(l)
	return nil
}

func (s *searcher) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// register writes the registration to the store.
func (s *searcher) register() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seq++
	left := max(0, s.Warmup-time.Since(s.born))
	s.world.store.put("servers/"+s.ID, map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": s.state,
		"warmupLeftMs": left.Milliseconds(), "seq": s.seq, "born": s.born.UnixMilli(),
	})
}

func (s *searcher) keepRegistered(l net.Listener) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-s.ended:
			_ = l.Close()
			return
		case <-t.C:
			if time.Since(s.born) < s.Warmup+heartbeat { // The entry changes only while the searcher is cold.
				s.register()
			}
		}
	}
}

// drain reports the searcher as draining, serves on for a while, and ends: all its
// connections are closed.
func (s *searcher) drain(after time.Duration) {
	s.mutex.Lock()
	s.state = "draining"
	s.mutex.Unlock()
	s.register()
	time.AfterFunc(after, func() {
		s.world.record("ended", "searcher", s.ID)
		close(s.ended)
		s.world.store.remove("servers/" + s.ID)
	})
}

func (s *searcher) serve(c net.Conn) {
	defer c.Close()
	go func() {
		<-s.ended
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	var pending []byte // Additional bytes after the previous answer.
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if pending != nil {
			s.world.record("extra", "searcher", s.ID, "before_answer_to", r.Header.Get("Request-Id"))
			if _, err := c.Write(pending); err != nil {
				return
			}
			pending = nil
		}
		x := s.handle(r, string(body))
		if s.Spoil != nil {
			if data, closeAfter := s.Spoil(x); data != nil {
				s.world.record("spoiled", "searcher", s.ID, "id", x.ID, "executed", x.Executed)
				if _, err := c.Write(data); err != nil || closeAfter {
					return
				}
				continue
			}
		}
		if _, err := c.Write(x.bytes()); err != nil {
			return
		}
		if s.Extra != nil {
			pending = s.Extra(x)
		}
	}
}

// handle runs or rejects one request.
func (s *searcher) handle(r *http.Request, body string) *exchange {
	x := &exchange{ID: r.Header.Get("Request-Id")}
	if r.Header.Get("Expect-Instance") != s.ID {
		x.Code = http.StatusMisdirectedRequest
		return x
	}
	read := time.Now()
	if s.busy.Add(1) > int64(s.Slots+s.Queue) {
		s.busy.Add(-1)
		s.world.record("rejected", "searcher", s.ID, "id", x.ID)
		x.Code = http.StatusServiceUnavailable
		return x
	}
	defer s.busy.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mutex.Lock()
	s.runs = append(s.runs, run{ID: x.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: body, At: time.Now(), Read: read})
	s.mutex.Unlock()
	s.world.record("run", "searcher", s.ID, "id", x.ID, "request", r.Method+" "+r.RequestURI)
	time.Sleep(s.Work)
	x.Executed, x.Code, x.Stamp = true, http.StatusOK, s.ID+"."+x.ID
	x.Body = []byte("answer of " + s.ID + " to " + x.ID)
	return x
}

// allRuns returns the runs so far, oldest first.
func (s *searcher) allRuns() []run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]run(nil), s.runs...)
}
