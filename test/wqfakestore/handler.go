package wqfakestore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxBody bounds a request: 1 MiB in base64 and the fields around it, in bytes.
const maxBody = 1<<20*4/3 + 4096

// maxValue bounds a value, in bytes.
const maxValue = 1 << 20

// Handler returns the service's calls and its control calls.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/values/{key}", s.counted(func(c *Counts) { c.Gets++ }, s.get))
	m.HandleFunc("PUT /v1/values/{key}", s.counted(func(c *Counts) { c.Swaps++ }, s.swap))
	m.HandleFunc("GET /v1/watch/{key}", s.counted(func(c *Counts) { c.Watches++ }, s.watch))
	m.HandleFunc("POST /v1/leases", s.counted(func(c *Counts) { c.Leases++ }, s.grant))
	m.HandleFunc("PUT /v1/leases/{id}", s.counted(func(c *Counts) { c.Leases++ }, s.renew))
	m.HandleFunc("DELETE /v1/leases/{id}", s.counted(func(c *Counts) { c.Leases++ }, s.drop))
	m.HandleFunc("POST /control", s.control)
	m.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Counts()) })
	return m
}

// counted counts a call and applies the faults that hit every call.
func (s *Server) counted(count func(*Counts), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		count(&s.counts)
		s.expire(time.Now())
		if s.cleared == nil {
			s.setFaults(s.faults)
		}
		faults, cleared := s.faults, s.cleared
		s.mu.Unlock()
		if faults.Hang && !wait(r, cleared, 0) {
			return
		}
		if faults.DelayMillis > 0 {
			wait(r, nil, time.Duration(faults.DelayMillis)*time.Millisecond)
		}
		if faults.Outage {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		next(w, r)
	}
}

// wait blocks until c is closed, the time is over (0 waits for c alone) or the
// caller is gone, and reports whether the caller is still there.
func wait(r *http.Request, c <-chan struct{}, limit time.Duration) bool {
	var over <-chan time.Time
	if limit > 0 {
		t := time.NewTimer(limit)
		defer t.Stop()
		over = t.C
	}
	select {
	case <-c:
	case <-over:
	case <-r.Context().Done():
		return false
	}
	return true
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	v := s.entry(r.PathValue("key")).newest(s.faults.StaleWrites)
	s.mu.Unlock()
	replyVersion(w, r, v, http.StatusNotFound)
}

func (s *Server) swap(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Value      []byte `json:"value"`
		IfRevision uint64 `json:"if_revision"`
		LeaseID    string `json:"lease_id"`
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body)
	if err != nil || len(body.Value) > maxValue {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(r.PathValue("key"))
	found := e.newest(0)
	if current(found) != body.IfRevision {
		replyRevision(w, http.StatusConflict, current(found))
		return
	}
	if body.Value == nil {
		body.Value = []byte{}
	}
	revision := e.write(body.Value)
	if l := s.leases[body.LeaseID]; l != nil {
		l.keys = append(l.keys, r.PathValue("key"))
	}
	s.afterSwap()
	replyRevision(w, http.StatusOK, revision)
}

// afterSwap applies the faults that follow a swap's effect.
func (s *Server) afterSwap() {
	if s.faults.OutageAfterSwaps > 0 {
		s.faults.OutageAfterSwaps--
		s.faults.Outage = s.faults.OutageAfterSwaps == 0
	}
	if s.faults.DropReplies > 0 {
		s.faults.DropReplies--
		panic(http.ErrAbortHandler)
	}
}

// current returns the revision that a swap must name: 0 for a removed key.
func current(v version) uint64 {
	if v.data == nil {
		return 0
	}
	return v.revision
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait_millis"))
	until := time.Now().Add(time.Duration(millis) * time.Millisecond)
	for {
		s.mu.Lock()
		e := s.entry(r.PathValue("key"))
		v, changed, faults := e.newest(s.faults.StaleWrites), e.changed, s.faults
		s.mu.Unlock()
		if v.revision > after && !faults.SuppressWatches {
			replyVersion(w, r, v, http.StatusNoContent)
			return
		}
		left := time.Until(until)
		if left <= 0 {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if !wait(r, changed, left) {
			return
		}
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMillis int64 `json:"ttl_millis"`
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body) != nil || body.TTLMillis <= 0 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(body.TTLMillis) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases = map[string]*lease{}
	}
	s.nextID++
	id := "lease-" + strconv.Itoa(s.nextID)
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, struct {
		LeaseID string `json:"lease_id"`
	}{id})
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[r.PathValue("id")]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) drop(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(r.PathValue("id"))
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, f)
}

func replyVersion(w http.ResponseWriter, r *http.Request, v version, absent int) {
	if v.data == nil {
		w.WriteHeader(absent)
		return
	}
	reply(w, http.StatusOK, struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}{r.PathValue("key"), v.data, v.revision})
}

func replyRevision(w http.ResponseWriter, status int, revision uint64) {
	reply(w, status, struct {
		Revision uint64 `json:"revision"`
	}{revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
