package wqfakestore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxBodyBytes limits a request: a value of 1 MiB in base64 and 4 KiB for the
// other fields.
const maxBodyBytes = 1<<20*4/3 + 4096

// maxValueBytes limits a decoded value.
const maxValueBytes = 1 << 20

// Handler serves the API of the key-value service and /control.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/values/{key}", s.withFaults(func(c *Counts) { c.Gets++ }, s.get))
	m.HandleFunc("PUT /v1/values/{key}", s.withFaults(func(c *Counts) { c.Swaps++ }, s.swap))
	m.HandleFunc("GET /v1/watch/{key}", s.withFaults(func(c *Counts) { c.Watches++ }, s.watch))
	m.HandleFunc("POST /v1/leases", s.withFaults(func(c *Counts) { c.Leases++ }, s.grantLease))
	m.HandleFunc("PUT /v1/leases/{id}", s.withFaults(func(c *Counts) { c.Leases++ }, s.renewLease))
	m.HandleFunc("DELETE /v1/leases/{id}", s.withFaults(func(c *Counts) { c.Leases++ }, s.revokeLease))
	m.HandleFunc("POST /control", s.control)
	m.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Counts()) })
	return m
}

// withFaults counts a call, expires leases and applies the faults that affect
// every call, before it runs next.
func (s *Server) withFaults(count func(*Counts), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		count(&s.counts)
		s.expireLeases(time.Now())
		if s.faultsChanged == nil {
			s.setFaults(s.faults)
		}
		faults, changed := s.faults, s.faultsChanged
		s.mu.Unlock()
		if faults.Hang && !waitUntil(r, changed, 0) {
			return
		}
		if faults.DelayMillis > 0 {
			waitUntil(r, nil, time.Duration(faults.DelayMillis)*time.Millisecond)
		}
		if faults.Outage {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		next(w, r)
	}
}

// waitUntil blocks until done is closed, the limit has passed (0 means no limit)
// or the request is canceled. It returns false if the request was canceled.
func waitUntil(r *http.Request, done <-chan struct{}, limit time.Duration) bool {
	var timeout <-chan time.Time
	if limit > 0 {
		t := time.NewTimer(limit)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-done:
	case <-timeout:
	case <-r.Context().Done():
		return false
	}
	return true
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	v := s.entry(r.PathValue("key")).versionBefore(s.faults.StaleWrites)
	s.mu.Unlock()
	replyVersion(w, r, v, http.StatusNotFound)
}

func (s *Server) swap(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Value      []byte `json:"value"`
		IfRevision uint64 `json:"if_revision"`
		LeaseID    string `json:"lease_id"`
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body)
	if err != nil || len(body.Value) > maxValueBytes {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(r.PathValue("key"))
	newest := e.versionBefore(0)
	if swapRevision(newest) != body.IfRevision {
		replyRevision(w, http.StatusConflict, swapRevision(newest))
		return
	}
	if body.Value == nil {
		body.Value = []byte{}
	}
	revision := e.write(body.Value)
	if l := s.leases[body.LeaseID]; l != nil {
		l.keys = append(l.keys, r.PathValue("key"))
	}
	s.applySwapFaults()
	replyRevision(w, http.StatusOK, revision)
}

// applySwapFaults applies the faults that occur once a swap has taken effect.
func (s *Server) applySwapFaults() {
	if s.faults.OutageAfterSwaps > 0 {
		s.faults.OutageAfterSwaps--
		s.faults.Outage = s.faults.OutageAfterSwaps == 0
	}
	if s.faults.DropReplies > 0 {
		s.faults.DropReplies--
		panic(http.ErrAbortHandler)
	}
}

// swapRevision returns the revision that if_revision of a swap has to match: 0 for
// a missing or removed key.
func swapRevision(v version) uint64 {
	if v.data == nil {
		return 0
	}
	return v.revision
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait_millis"))
	deadline := time.Now().Add(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mu.Lock()
		e := s.entry(r.PathValue("key"))
		v, changed, faults := e.versionBefore(s.faults.StaleWrites), e.changed, s.faults
		s.mu.Unlock()
		if v.revision > after && !faults.SuppressWatches {
			replyVersion(w, r, v, http.StatusNoContent)
			return
		}
		remaining := time.Until(deadline)
		if remaining <= 0 {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if !waitUntil(r, changed, remaining) {
			return
		}
	}
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMillis int64 `json:"ttl_millis"`
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body) != nil || body.TTLMillis <= 0 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(body.TTLMillis) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases = map[string]*lease{}
	}
	s.leasesGranted++
	id := "lease-" + strconv.Itoa(s.leasesGranted)
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, struct {
		LeaseID string `json:"lease_id"`
	}{id})
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLease(r.PathValue("id"))
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, f)
}

func replyVersion(w http.ResponseWriter, r *http.Request, v version, absentStatus int) {
	if v.data == nil {
		w.WriteHeader(absentStatus)
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
