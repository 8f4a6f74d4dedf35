package wqfakeplatform

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"wisteriaquay/test/wqproxy"
)

// recordsPerPart is how many records a searcher's part has.
const recordsPerPart = 4

// Behaviour is how a searcher treats its requests.
type Behaviour struct {
	ProcessingTime time.Duration
	Shed           bool // Shed declines every request.
	NoReply        bool // NoReply runs every request and resets the connection instead of answering.
	Duplicate      bool // Duplicate sends every answer a second time, a little later.
	Truncate       bool // Truncate breaks every answer off.
	Hang           bool // Hang never answers.
	Fail           bool // Fail answers every request with its own 500.
}

// Execution is one request that a searcher began to work on.
type Execution struct {
	Searcher  string
	Service   string
	RequestID string
	Request   string // Request is the method, the request target and the body.
	StartedAt time.Time
}

// Searcher is one searcher of a service.
type Searcher struct {
	ID          string
	Service     string
	Zone        string
	Address     string
	StartMillis int64
	Proxy       *wqproxy.Proxy // Proxy is the route to it.

	mutex     sync.Mutex
	behaviour Behaviour
	runs      []Execution
	cancelled int
	server    *httptest.Server
}

func newSearcher(id, service, zone string) *Searcher {
	s := &Searcher{ID: id, Service: service, Zone: zone, StartMillis: time.Now().UnixMilli()}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	s.Address = strings.TrimPrefix(s.server.URL, "http://")
	return s
}

// SetBehaviour changes how the searcher treats its requests.
func (s *Searcher) SetBehaviour(b Behaviour) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.behaviour = b
}

// Executions returns what the searcher began to work on.
func (s *Searcher) Executions() []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Execution(nil), s.runs...)
}

// CancelledCount counts the requests whose caller left before the end.
func (s *Searcher) CancelledCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cancelled
}

// Crash ends the searcher and resets its connections.
func (s *Searcher) Crash() {
	s.server.CloseClientConnections()
	_ = s.server.Listener.Close()
}

func (s *Searcher) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	b := s.behaviour
	s.mutex.Unlock()
	switch {
	case r.Header.Get("Expect-Instance") != s.ID:
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case b.Shed:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("Request-Id")
	s.note(Execution{Searcher: s.ID, Service: s.Service, RequestID: id, Request: r.Method + " " + r.RequestURI + " " + string(body), StartedAt: time.Now()})
	if b.Hang {
		b.ProcessingTime = time.Minute
	}
	select {
	case <-time.After(b.ProcessingTime):
		s.answer(w, b, id)
	case <-r.Context().Done():
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.cancelled++
	}
}

func (s *Searcher) note(r Execution) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs = append(s.runs, r)
}

func (s *Searcher) answer(w http.ResponseWriter, b Behaviour, id string) {
	code, part := http.StatusOK, ResponseBody(s.Service, id)
	if b.Fail {
		code, part = http.StatusInternalServerError, nil
	}
	if !b.NoReply && !b.Duplicate && !b.Truncate {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Stamp", Stamp(s.ID, id))
		w.WriteHeader(code)
		_, _ = w.Write(part) // The caller may have left.
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	s.spoil(c, b, id, part)
}

// spoil writes an answer in a way that a faulty searcher does.
func (s *Searcher) spoil(c net.Conn, b Behaviour, id string, part []byte) {
	raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, Stamp(s.ID, id), len(part), part)
	switch {
	case b.NoReply:
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	case b.Truncate:
		_, _ = io.WriteString(c, raw[:len(raw)-3])
	case b.Duplicate:
		_, _ = io.WriteString(c, raw)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, raw)
		time.Sleep(200 * time.Millisecond) // The next request may already be on this connection.
	}
}

// Stamp returns a searcher's signature of its answer to a request.
func Stamp(searcher, requestID string) string { return searcher + "." + requestID }

// ResponseBody returns a service's answer to a request: records of 16 bytes.
func ResponseBody(service, requestID string) []byte {
	var part []byte
	for i := range recordsPerPart {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%s/%s/%d", service, requestID, i)
		part = h.Sum(part)
	}
	return part
}
